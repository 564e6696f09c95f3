//! Peers that read slowly or not at all: what this machine's kernel holds is not what the peer has received.

#[path = "stubs/rpc.rs"]
mod rpc;
mod stubs;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rpc::*;
use serde_json::json;
use socket2::SockRef;
use stubs::*;

/// The time that the client of an upload waits, counted from its last byte.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1250);
/// The times of each class; a request with less time than the objective is rejected at once.
const CLASS_TIMES: ClassTimes = ClassTimes { latency_objective_ms: 1000, deadline_ms: 9000 };
/// A response that comes later than this after the client's timeout counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(550);
/// Sizes of uploads. Some fit the buffers of the kernel between the client and the endpoint, some do not.
const UPLOAD_SIZES: [usize; 6] = [200_000, 1 << 20, 3 << 20, 5 << 20, 6 << 20, 8 << 20];

/// How the end of an upload is marked.
#[derive(Clone, Copy, Debug)]
enum BodyFraming {
    ContentLength,
    Chunked,
}

/// The head of an upload.
fn upload_head(id: &str, size: usize, framing: BodyFraming) -> String {
    let head = write(id, CLIENT_TIMEOUT.as_millis() as u32, "");
    let body_field = match framing {
        BodyFraming::ContentLength => format!("Content-Length: {size}"),
        BodyFraming::Chunked => "Transfer-Encoding: chunked".to_owned(),
    };
    head.replace("Content-Length: 0", &body_field)
}

/// Sends an upload and returns the status of its response, and the time from its last byte to the response.
fn upload(address: SocketAddr, size: usize, framing: BodyFraming) -> (Option<u16>, Duration) {
    let head = upload_head(&format!("{framing:?}-{size}"), size, framing);
    let mut client = BufReader::new(TcpStream::connect(address).expect("connects"));
    client.get_ref().set_read_timeout(Some(CLIENT_TIMEOUT + 3 * MAX_LATENESS)).expect("set");
    client.get_ref().set_write_timeout(Some(TEST_TIMEOUT)).expect("set");
    let body = vec![b'r'; size];
    client.get_mut().write_all(head.as_bytes()).expect("written");
    // The proxy reads a body to its end even after its response, so each write completes.
    match framing {
        BodyFraming::ContentLength => client.get_mut().write_all(&body).expect("written"),
        BodyFraming::Chunked => {
            write!(client.get_mut(), "{size:x}\r\n").expect("written");
            client.get_mut().write_all(&body).expect("written");
            client.get_mut().write_all(b"\r\n0\r\n\r\n").expect("written");
        }
    }
    let last_byte_at = Instant::now();
    let response = read_message(&mut client);
    (response.map(|response| response.status()), last_byte_at.elapsed())
}

/// Guards against uploads that are never answered: their time started only when the last byte was read, and
/// nothing was read any more while the endpoint took nothing.
#[test]
fn an_upload_to_an_endpoint_that_stops_reading_is_answered_in_time() {
    let endpoint = raw_endpoint(|stream| {
        let mut head = [0; 64];
        let _ = (&stream).read(&mut head);
        thread::sleep(TEST_TIMEOUT);
    });
    let (mut results, mut late_count) = (Vec::new(), 0);
    for (mode, proxy, _discovery) in start_in_each_mode(endpoint, CLASS_TIMES) {
        for framing in [BodyFraming::ContentLength, BodyFraming::Chunked] {
            let address = proxy.address;
            let uploads = UPLOAD_SIZES.map(|size| thread::spawn(move || upload(address, size, framing)));
            for (size, upload) in UPLOAD_SIZES.iter().zip(uploads) {
                let (status, took) = upload.join().expect("no panic");
                results.push(format!("{mode}, {framing:?}, {size} bytes: {status:?} after {took:?}"));
                let is_in_time = status.is_some() && took < CLIENT_TIMEOUT + MAX_LATENESS;
                late_count += usize::from(!is_in_time);
            }
        }
    }
    assert_eq!(late_count, 0, "{results:#?}");
}

/// The receive buffer of a slow endpoint, in bytes, so that it and not its kernel takes the body.
const ENDPOINT_BUFFER: usize = 16 << 10;
/// The rate at which a slow endpoint reads, in bytes per second.
const ENDPOINT_RATE: usize = 90_000;
/// Sizes of bodies that such an endpoint reads for up to several hundred times as long as the client waits.
const SLOWLY_READ_SIZES: [usize; 6] = [200_000, 900_000, 1_200_000, 1_500_000, 4_000_000, 32_000_000];

/// An endpoint that reads [`ENDPOINT_RATE`] and never responds.
fn slowly_reading_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    SockRef::from(&listener).set_recv_buffer_size(ENDPOINT_BUFFER).expect("set");
    let endpoint = listener.local_addr().expect("bound");
    let read_slowly = |mut stream: TcpStream| {
        let mut part = vec![0; ENDPOINT_RATE / 20];
        while stream.read(&mut part).is_ok_and(|bytes| bytes > 0) {
            thread::sleep(Duration::from_millis(50));
        }
    };
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("accepts");
            thread::spawn(move || read_slowly(stream));
        }
    });
    endpoint
}

/// Guards against answers that come seconds late: while the endpoint took part after part, the time of the client
/// started anew with each of them, and the end of a chunked body was only seen when it was read.
#[test]
fn an_upload_that_its_endpoint_reads_slowly_is_answered_in_time() {
    let (mut results, mut late_count) = (Vec::new(), 0);
    for (mode, proxy, _discovery) in start_in_each_mode(slowly_reading_endpoint(), CLASS_TIMES) {
        let address = proxy.address;
        let uploads = [BodyFraming::ContentLength, BodyFraming::Chunked].map(|framing| {
            SLOWLY_READ_SIZES
                .map(|size| (size, framing, thread::spawn(move || upload(address, size, framing))))
        });
        for (size, framing, upload) in uploads.into_iter().flatten() {
            let (status, took) = upload.join().expect("no panic");
            results.push(format!("{mode}, {framing:?}, {size} bytes: {status:?} after {took:?}"));
            late_count += usize::from(status.is_none() || took >= CLIENT_TIMEOUT + MAX_LATENESS);
        }
        let used_kb = proxy.anonymous_memory_kb();
        assert!(used_kb < MIN_MEMORY_LIMIT_MB << 10, "{mode}: {used_kb} kB");
    }
    assert_eq!(late_count, 0, "{results:#?}");
}

/// Guards against taking a pause of the endpoint for its end: while the client is sending, its time starts anew
/// with each part of the body that the endpoint takes.
#[test]
fn an_upload_that_its_endpoint_reads_with_pauses_is_served() {
    const PARTS: usize = 6;
    const PART_BYTES: usize = 2 << 20;
    let pause = CLIENT_TIMEOUT * 2 / 5;
    let endpoint = raw_endpoint(move |mut stream| {
        let mut part = vec![0; PART_BYTES];
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        let (mut line, mut is_chunked) = (String::new(), false);
        while line != "\r\n" {
            line.clear();
            reader.read_line(&mut line).expect("text");
            is_chunked |= line.eq_ignore_ascii_case("transfer-encoding: chunked\r\n");
        }
        for _ in 0..PARTS {
            thread::sleep(pause);
            if reader.read_exact(&mut part).is_err() {
                return;
            }
        }
        while is_chunked && line != "0\r\n" {
            line.clear();
            let Ok(1..) = reader.read_line(&mut line) else { return };
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        let _ = reader.read_to_end(&mut Vec::new());
    });
    let upload_in_parts = |address: SocketAddr, framing: BodyFraming| {
        let head = upload_head("paused", PARTS * PART_BYTES, framing);
        let mut client = BufReader::new(TcpStream::connect(address).expect("connects"));
        client.get_mut().write_all(head.as_bytes()).expect("written");
        let part = vec![b'r'; PART_BYTES];
        for _ in 0..PARTS {
            match framing {
                BodyFraming::ContentLength => client.get_mut().write_all(&part).expect("written"),
                BodyFraming::Chunked => {
                    write!(client.get_mut(), "{PART_BYTES:x}\r\n").expect("written");
                    client.get_mut().write_all(&part).expect("written");
                    client.get_mut().write_all(b"\r\n").expect("written");
                }
            }
            thread::sleep(pause);
        }
        if let BodyFraming::Chunked = framing {
            client.get_mut().write_all(b"0\r\n\r\n").expect("written");
        }
        read_message(&mut client).expect("a response").status()
    };
    for (mode, proxy, _discovery) in start_in_each_mode(endpoint, CLASS_TIMES) {
        for framing in [BodyFraming::ContentLength, BodyFraming::Chunked] {
            let started_at = Instant::now();
            assert_eq!(upload_in_parts(proxy.address, framing), 200, "{mode}, {framing:?}");
            assert!(
                started_at.elapsed() > 2 * CLIENT_TIMEOUT,
                "the upload takes longer than its client waits"
            );
        }
    }
}

// ---- Responses ----

/// The rate at which a slow client reads, in bytes per second.
const SLOW_RATE: usize = 64_000;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(50);
/// The time after which a client that reads nothing of its response is disconnected.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// More than all buffers of the kernel hold.
const RESPONSE_SIZE: usize = 16 << 20;

/// Reads slowly for longer than [`STALL_TIMEOUT`], then everything that is left or `max_bytes`. Returns the
/// number of bytes.
fn read_slowly(mut stream: TcpStream, max_bytes: usize) -> usize {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    let mut piece = vec![0; SLOW_RATE * SLOW_READ_INTERVAL.as_millis() as usize / 1000];
    let started_at = Instant::now();
    let mut received = 0;
    while started_at.elapsed() < STALL_TIMEOUT * 3 / 2 {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return received,
            Ok(count) => received += count,
        }
        thread::sleep(SLOW_READ_INTERVAL);
    }
    let mut rest = vec![0; 1 << 20];
    while received < max_bytes {
        match stream.read(&mut rest) {
            Ok(0) | Err(_) => return received,
            Ok(count) => received += count,
        }
    }
    received
}

fn large_response_endpoint() -> SocketAddr {
    raw_endpoint(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while read_message(&mut reader).is_some() {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_SIZE}\r\n\r\n");
            if stream.write_all(head.as_bytes()).is_err()
                || stream.write_all(&vec![b'a'; RESPONSE_SIZE]).is_err()
            {
                return;
            }
        }
    })
}

/// Guards against responses that are cut off for a client that reads without a pause: the kernel accepts no
/// bytes for a long time while a large buffer of its own empties, and that was taken for a client that reads
/// nothing.
#[test]
fn a_large_response_is_not_cut_off_for_a_client_that_reads_slowly() {
    let proxies = start_in_each_mode(large_response_endpoint(), CLASS_TIMES);
    let readers: Vec<_> = proxies
        .iter()
        .map(|(mode, proxy, _)| {
            let mut stream = TcpStream::connect(proxy.address).expect("connects");
            stream.write_all(read("slow", 9000).as_bytes()).expect("written");
            (mode, thread::spawn(move || read_slowly(stream, RESPONSE_SIZE)))
        })
        .collect();
    for (mode, reader) in readers {
        let received = reader.join().expect("no panic");
        assert!(received >= RESPONSE_SIZE, "{mode}: cut off after {received} bytes");
    }
}

/// Guards against the same over JSON-RPC, where the responses to many calls are one large stream.
#[test]
fn responses_to_many_calls_are_not_cut_off_for_a_client_that_reads_slowly() {
    const CALLS: usize = 250;
    const CALL_INTERVAL: Duration = Duration::from_millis(10);
    const RESULT_SIZE: usize = 60_000;
    let result = json!("a".repeat(RESULT_SIZE));
    let endpoint = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Result(result)]);
    let proxy = DualProtocolProxy::start(&RpcSite {
        rpc_listener_settings: format!(", calls = {CALLS}"),
        ..RpcSite::rpc(&[endpoint.address])
    });
    let mut client = proxy.rpc();
    for id in 0..CALLS {
        client.send(&testkit::json_rpc::request(id, "standings", json!({})));
        // So many calls at a time would be rejected because of load.
        thread::sleep(CALL_INTERVAL);
    }
    let size = CALLS * RESULT_SIZE;
    let received = read_slowly(client.stream().try_clone().expect("a copy"), size);
    assert!(received >= size, "cut off after {received} bytes");
}

/// Guards the limit itself: a client that reads nothing does not keep its connections for ever.
#[test]
fn a_client_that_reads_nothing_is_disconnected() {
    for (mode, proxy, _discovery) in start_in_each_mode(large_response_endpoint(), CLASS_TIMES) {
        let mut stream = TcpStream::connect(proxy.address).expect("connects");
        stream.write_all(read("unread", 9000).as_bytes()).expect("written");
        proxy.wait_for_log("closing the connection of a client that has read nothing");
        let received = read_slowly(stream, RESPONSE_SIZE);
        assert!(received < RESPONSE_SIZE, "{mode}: {received} bytes");
    }
}
