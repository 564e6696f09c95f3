//! Bodies larger than the buffer: they are streamed under back-pressure, and a truncated one is detectable.
mod stubs;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

const LARGE: usize = 8 << 20;
/// Long enough for a fast request on a busy machine. An upload takes longer.
const LATENCY_OBJECTIVE_MS: u32 = 2000;
/// Well below the 10 s after which a peer that sends nothing of a body counts as stalled.
const WELL_BELOW_STALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Bytes in which a lost, duplicated or moved byte is detected.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i ^ (i >> 8) ^ (i >> 16)) as u8).collect()
}

/// Starts a proxy with an operators' address in platform mode.
fn start(endpoints: &[SocketAddr]) -> (Process, MockDiscovery, InheritedListener) {
    let (discovery, listener) = (MockDiscovery::new(), InheritedListener::new());
    let mut setup = Setup { latency_objective_ms: LATENCY_OBJECTIVE_MS, ..Setup::with_endpoints(&[]) };
    setup.endpoints =
        endpoints.iter().enumerate().map(|(i, b)| host(&format!("s-{i}"), *b, "SERVING")).collect();
    let process = listener.start(&with_operators_address(&setup.config(discovery.address)));
    (process, discovery, listener)
}

/// Reads a head and returns its first line.
fn read_head(from: &mut impl BufRead) -> String {
    let mut first = String::new();
    from.read_line(&mut first).expect("text");
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        assert!(from.read_line(&mut line).expect("text") > 0, "the head ends");
    }
    first
}

/// An endpoint that sends a large response on each connection.
fn large_response_endpoint() -> SocketAddr {
    let body = pattern(LARGE);
    raw_endpoint(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        read_head(&mut reader);
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n").as_bytes());
        let _ = stream.write_all(&body);
        let _ = reader.read_to_end(&mut Vec::new());
    })
}

fn connect(listener: &InheritedListener) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(listener.address).expect("connects");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    BufReader::new(stream)
}

#[test]
fn large_responses_are_streamed_before_they_are_complete() {
    for chunked in [false, true] {
        let release = Arc::new(Release::default());
        let release_signal = Arc::clone(&release);
        let endpoint = raw_endpoint(move |stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
            read_head(&mut reader);
            let (mut stream, body) = (stream, pattern(LARGE));
            let (first, rest) = body.split_at(100_000);
            let (before, after, end) = if chunked {
                (
                    "Transfer-Encoding: chunked\r\n\r\n186a0;x=\"y\"\r\n".to_owned(),
                    format!("\r\n{:x}\r\n", rest.len()),
                    "\r\n0\r\nX-T: 1\r\n\r\n",
                )
            } else {
                (format!("Content-Length: {LARGE}\r\n\r\n"), String::new(), "")
            };
            stream.write_all(format!("HTTP/1.1 200 OK\r\n{before}").as_bytes()).expect("written");
            stream.write_all(first).expect("written");
            release_signal.wait();
            stream.write_all(after.as_bytes()).expect("written");
            stream.write_all(rest).expect("written");
            stream.write_all(end.as_bytes()).expect("written");
            let _ = reader.read_to_end(&mut Vec::new());
        });
        let (process, _discovery, listener) = start(&[endpoint]);
        let mut client = connect(&listener);
        client
            .get_mut()
            .write_all(
                read("large", 9000).replace("HTTP/1.1\r\n", "HTTP/1.1\r\nConnection: close\r\n").as_bytes(),
            )
            .expect("written");
        assert!(read_head(&mut client).contains(" 200 "));
        let mut received = vec![0; 50_000];
        client.read_exact(&mut received).expect("a part, before the rest has been sent");
        assert_eq!(process.metric("edge_lb_active"), 1, "the request is still active");
        release.release();
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).expect("all of it");
        received.extend(rest);
        if chunked {
            // The proxy may split chunks anywhere, so only the length and the end are checked.
            assert!(received.len() >= LARGE && received.ends_with(b"0\r\n\r\n"));
        } else {
            assert!(received == pattern(LARGE), "byte for byte");
        }
        process.wait_for_metric("edge_lb_ok_total{kind=\"read\"}", 1);
        assert_eq!(process.metric("edge_lb_active"), 0);
    }
}

#[test]
fn unread_responses_are_backpressured_and_use_no_memory() {
    let endpoint = large_response_endpoint();
    let (process, _discovery, listener) = start(&[endpoint]);
    let (_, before) = process.descriptors_and_memory();
    let mut clients = Vec::new();
    for i in 0..20 {
        let mut client = connect(&listener);
        client.get_mut().write_all(read(&format!("r-{i}"), 9000).as_bytes()).expect("written");
        assert!(read_head(&mut client).contains(" 200 "));
        clients.push(client);
    }
    let (_, with) = process.descriptors_and_memory();
    assert!(with - before < 20 * 256, "{} kB for 160 MB of responses", with - before);
    for mut client in clients {
        let mut all = vec![0; LARGE];
        client.read_exact(&mut all).expect("all of it");
        assert!(all == pattern(LARGE));
    }
}

#[test]
fn an_interrupted_response_is_visibly_incomplete() {
    let endpoint = raw_endpoint(|stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        read_head(&mut reader);
        let mut stream = stream;
        stream
            .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n").as_bytes())
            .expect("written");
        stream.write_all(&pattern(200_000)).expect("written");
    });
    let (process, _discovery, listener) = start(&[endpoint]);
    let mut client = connect(&listener);
    client.get_mut().write_all(read("broken", 9000).as_bytes()).expect("written");
    assert!(read_head(&mut client).contains(" 200 "));
    let mut got = Vec::new();
    let _ = client.read_to_end(&mut got);
    assert!(got.len() < LARGE && got == pattern(LARGE)[..got.len()]);
    process.wait_for_metric("edge_lb_errors_total{kind=\"read\"}", 1);
    assert_eq!(process.metric("edge_lb_ok_total{kind=\"read\"}"), 0);
}

/// An endpoint that sends the start of a response at once, and nothing more.
fn unfinished_response_endpoint(response: &'static str) -> SocketAddr {
    raw_endpoint(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        read_head(&mut reader);
        let _ = stream.write_all(response.as_bytes());
        let _ = reader.read_to_end(&mut Vec::new());
    })
}

#[test]
fn a_small_response_that_never_ends_fails_at_the_deadline() {
    let (process, _discovery, listener) = start(&[unfinished_response_endpoint(
        "HTTP/1.1 200 OK\r\nContent-Length: 339\r\n\r\nthe first of it",
    )]);
    let started_at = Instant::now();
    let response =
        HttpClient::of(TcpStream::connect(listener.address).expect("connects")).ask(&read("r-1", 700));
    assert!([503, 504].contains(&response.status()), "{response:?}");
    assert!(started_at.elapsed() < WELL_BELOW_STALL_TIMEOUT, "{:?}", started_at.elapsed());
    assert_eq!(process.metric("edge_lb_active"), 0);
}

#[test]
fn an_endless_response_of_unknown_length_is_cut_off_at_the_deadline() {
    let (process, _discovery, listener) = start(&[unfinished_response_endpoint(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nthe first of it.\r\n",
    )]);
    let mut client = connect(&listener);
    let started_at = Instant::now();
    client.get_mut().write_all(read("r-1", 700).as_bytes()).expect("written");
    assert!(read_head(&mut client).contains(" 200 "));
    let mut all = Vec::new();
    let _ = client.read_to_end(&mut all);
    assert!(all.starts_with(b"10\r\n") && !all.ends_with(b"0\r\n\r\n"), "the truncation is not detectable");
    let took = started_at.elapsed();
    assert!(took > Duration::from_millis(500) && took < WELL_BELOW_STALL_TIMEOUT, "{took:?}");
    process.wait_for_metric("edge_lb_errors_total{kind=\"read\"}", 1);
}

#[test]
fn streamed_responses_outlive_an_upgrade() {
    let endpoint = large_response_endpoint();
    let (discovery, listener) = (MockDiscovery::new(), InheritedListener::new());
    let mut setup = Setup { latency_objective_ms: LATENCY_OBJECTIVE_MS, ..Setup::with_endpoints(&[]) };
    setup.endpoints = vec![host("s-0", endpoint, "SERVING")];
    let config = with_operators_address(&setup.config(discovery.address));
    let mut old = listener.start(&config);
    let mut clients: Vec<_> = (0..10).map(|_| connect(&listener)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.get_mut().write_all(read(&format!("r-{i}"), 9000).as_bytes()).expect("written");
        assert!(read_head(client).contains(" 200 "));
    }
    let new = listener.start(&config);
    assert_eq!(new.operator_request("GET", "/status", "").0, 200);
    old.terminate();
    old.wait_for_log("graceful shutdown started");
    // The new process serves. The old one has ten responses to complete, and does not exit before.
    let mut other = connect(&listener);
    other.get_mut().write_all(read("other", 9000).as_bytes()).expect("written");
    assert!(read_head(&mut other).contains(" 200 "));
    assert!(!old.has_exited());
    for mut client in clients {
        let mut all = vec![0; LARGE];
        client.read_exact(&mut all).expect("all of it");
        assert!(all == pattern(LARGE));
    }
    assert!(old.wait_for_exit().success());
    assert_eq!(new.metric("edge_lb_active"), 1);
}

/// An endpoint that reads a large request and responds whether its body was complete.
fn body_checking_endpoint() -> SocketAddr {
    raw_endpoint(|stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        read_head(&mut reader);
        let mut body = vec![0; LARGE];
        let whole = reader.read_exact(&mut body).is_ok() && body == pattern(LARGE);
        let mut stream = stream;
        let body = if whole { "whole" } else { "wrong" };
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{body}").as_bytes());
        let _ = reader.read_to_end(&mut Vec::new());
    })
}

fn large_request(id: &str, timeout_ms: u32) -> String {
    write(id, timeout_ms, "").replace("Content-Length: 0", &format!("Content-Length: {LARGE}"))
}

#[test]
fn large_requests_are_streamed_and_time_out_from_the_last_byte() {
    let (process, _discovery, listener) = start(&[body_checking_endpoint()]);
    let mut client = connect(&listener);
    // The upload takes longer than the client's timeout.
    client.get_mut().write_all(large_request("up", LATENCY_OBJECTIVE_MS).as_bytes()).expect("written");
    let body = pattern(LARGE);
    let since = Instant::now();
    for piece in body.chunks(LARGE / 10) {
        client.get_mut().write_all(piece).expect("written");
        thread::sleep(Duration::from_millis(250));
    }
    assert!(since.elapsed() > Duration::from_millis(u64::from(LATENCY_OBJECTIVE_MS)));
    let response = read_message(&mut client).expect("a response");
    assert_eq!((response.status(), &response.body[..]), (200, &b"whole"[..]));
    assert_eq!(process.metric("edge_lb_tries_total"), 1);
    assert_eq!(process.metric("edge_lb_ok_total{kind=\"write\"}"), 1);
}

#[test]
fn a_rejected_large_request_is_answered_at_once_and_read_to_its_end() {
    let (process, _discovery, listener) = start(&[]);
    let mut client = connect(&listener);
    client.get_mut().write_all(large_request("up", 9000).as_bytes()).expect("written");
    let response = read_message(&mut client).expect("a response before the body has arrived");
    assert_eq!(response.status(), 503);
    client.get_mut().write_all(&pattern(LARGE)).expect("the whole body is read");
    process.wait_for_metric("edge_lb_shed_total{kind=\"write\"}", 1);
    assert_eq!(process.metric("edge_lb_active"), 0);
}

#[test]
fn a_large_request_whose_client_disconnects_is_no_attempt() {
    let (process, _discovery, listener) = start(&[body_checking_endpoint()]);
    let mut client = connect(&listener);
    client.get_mut().write_all(large_request("up", 9000).as_bytes()).expect("written");
    client.get_mut().write_all(&pattern(LARGE)[..LARGE / 2]).expect("written");
    drop(client);
    // Whether it counts as cancelled or as rejected depends on a race.
    let ended =
        || ["errors", "shed"].map(|n| process.metric(&format!("edge_lb_{n}_total{{kind=\"write\"}}")));
    let since = Instant::now();
    while ended().iter().sum::<u64>() != 1 {
        assert!(since.elapsed() < TEST_TIMEOUT, "{:?}", ended());
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!((process.metric("edge_lb_tries_total"), process.metric("edge_lb_active")), (0, 0));
}

/// Guards against waiting for the time that the request's body might have taken, once it has arrived.
#[test]
fn an_endless_response_to_a_large_request_is_cut_off_at_the_deadline() {
    let endpoint = raw_endpoint(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        read_head(&mut reader);
        let _ = reader.read_exact(&mut vec![0; LARGE]);
        let _ = stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nthe first of it.\r\n");
        let _ = reader.read_to_end(&mut Vec::new());
    });
    let (process, _discovery, listener) = start(&[endpoint]);
    let mut client = connect(&listener);
    client.get_mut().write_all(large_request("up", LATENCY_OBJECTIVE_MS).as_bytes()).expect("written");
    client.get_mut().write_all(&pattern(LARGE)).expect("written");
    let last_byte_at = Instant::now();
    assert!(read_head(&mut client).contains(" 200 "));
    let mut all = Vec::new();
    let _ = client.read_to_end(&mut all);
    assert!(all.starts_with(b"10\r\n") && !all.ends_with(b"0\r\n\r\n"), "the truncation is not detectable");
    assert!(last_byte_at.elapsed() < WELL_BELOW_STALL_TIMEOUT, "{:?}", last_byte_at.elapsed());
    process.wait_for_metric("edge_lb_errors_total{kind=\"write\"}", 1);
}

/// Starts a proxy in standalone mode with two pools of the same endpoint, and with a line in `[limits]`.
fn start_standalone_with_limit(endpoint: SocketAddr, limit: &str) -> Process {
    let class = |name: &str, semantics: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\naim_ms = {LATENCY_OBJECTIVE_MS}\ndeadline_ms = 9000\nsemantics = \"{semantics}\"\n\
             [[route]]\nname = \"{name}\"\nmatch = {{ path = \"/{name}/*\" }}\nclass = \"{name}\"\npool = \"p\"\n\
             fallback = [{{ pool = \"q\", when = [\"refused\"] }}]\n"
        )
    };
    start_standalone(
        &format!(
            "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}]\n[operators]\nlisten = \"127.0.0.1:0\"\n\
             [limits]\n{limit}\n[[pool]]\nname = \"p\"\nnodes = [{{ name = \"n\", address = \"{endpoint}\" }}]\n\
             [[pool]]\nname = \"q\"\nnodes = [{{ name = \"n\", address = \"{endpoint}\" }}]\n{}{}",
            class("read", "idempotent"),
            class("write", "at-most-once"),
        ),
        &[],
    )
}

#[test]
fn standalone_mode_streams_large_requests_up_to_the_configured_limit() {
    let process = start_standalone_with_limit(body_checking_endpoint(), &format!("body_bytes = {LARGE}"));
    let send = |request: String, body: &[u8]| {
        let mut client = BufReader::new(TcpStream::connect(process.address).expect("connects"));
        client.get_mut().write_all(request.as_bytes()).expect("written");
        // The response may arrive before the whole body is written.
        let _ = client.get_mut().write_all(body);
        read_message(&mut client).expect("a response")
    };
    let response = send(large_request("up", LATENCY_OBJECTIVE_MS), &pattern(LARGE));
    assert_eq!((response.status(), &response.body[..]), (200, &b"whole"[..]));
    assert_eq!(process.metric("edge_lb_tries_total{pool=\"p\"}"), 1);
    let over =
        large_request("over", LATENCY_OBJECTIVE_MS).replace(&LARGE.to_string(), &(LARGE + 1).to_string());
    assert_eq!(send(over, &[]).status(), 413);
    // A request that is rejected while its body arrives is not sent to the fallback pool with a truncated
    // body.
    for endpoint in ["p/n", "q/n"] {
        assert_eq!(process.operator_request("POST", "/maintenance/enter", endpoint).0, 200);
    }
    assert_eq!(send(large_request("refused", LATENCY_OBJECTIVE_MS), &pattern(LARGE)).status(), 503);
    // Without a configured limit bodies are buffered.
    let process = start_standalone_with_limit(body_checking_endpoint(), "");
    let mut client = process.connect();
    client.send(&large_request("large", LATENCY_OBJECTIVE_MS));
    assert_eq!(client.receive().status(), 413);
}

#[test]
fn standalone_mode_streams_large_responses_up_to_the_configured_limit() {
    let endpoint = large_response_endpoint();
    let process = start_standalone_with_limit(endpoint, &format!("body_bytes = {LARGE}"));
    let response = process.request(&read("down", 9000));
    assert!(response.status() == 200 && response.body == pattern(LARGE));
    // A response one byte over the limit is truncated, and counts as an error.
    let process = start_standalone_with_limit(endpoint, &format!("body_bytes = {}", LARGE - 1));
    let mut client = process.connect();
    client.send(&read("over", 9000));
    assert!(client.try_receive().is_none_or(|response| response.status() == 502));
    process.wait_for_metric("edge_lb_errors_total{kind=\"read\",pool=\"p\"}", 1);
}
