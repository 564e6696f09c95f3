//! A fault proxy pauses at each point of a message, in both directions, for up to 2 s: nothing that is still on its
//! way is lost. The rows of `docs/bounds.md` name the clocks.

#[path = "stubs/fault_proxy.rs"]
mod fault_proxy;
#[path = "stubs/rpc.rs"]
mod rpc;
mod stubs;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fault_proxy::{request_fault_proxy, response_fault_proxy, Pause, RESPONSE_PAUSE_FIELD};
use rpc::*;
use serde_json::json;
use stubs::*;

/// The time of each class and client.
const DEADLINE: Duration = Duration::from_millis(1000);
/// A response that comes later than this after the client's timeout counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(550);
const PAUSES_MS: [u64; 4] = [100, 500, 1000, 2000];
/// The data of the chunk of a long message, in bytes.
const LONG_BODY: usize = 100_000;

/// A message in parts, with a pause possible before each byte.
struct Message {
    name: &'static str,
    bytes: Vec<u8>,
    /// Names and offsets of the points at which it pauses. Those before `head` lie in the head.
    points: Vec<(&'static str, usize)>,
    head: usize,
}

/// Builds a message from its head and its body in the three framings of HTTP/1.1.
fn messages(head: &str, close_delimited: bool) -> Vec<Message> {
    let body = vec![b'a'; LONG_BODY];
    let with_head = |field: &str, rest: &[u8]| {
        let head = format!("{head}{field}\r\n");
        ([head.as_bytes(), rest].concat(), head.len())
    };
    let (bytes, head_len) = with_head(&format!("Content-Length: {LONG_BODY}\r\n"), &body);
    let points = points_of(head_len, &[("body", head_len + LONG_BODY / 2), ("last byte", bytes.len() - 1)]);
    let mut all = vec![Message { name: "length", bytes, points, head: head_len }];
    let chunk = [format!("{LONG_BODY:x};x=1\r\n").as_bytes(), &body, b"\r\n0\r\nX-T: 1\r\n\r\n"].concat();
    let (bytes, head_len) = with_head("Transfer-Encoding: chunked\r\n", &chunk);
    let end = bytes.len();
    let chunk_points = [
        ("chunk size", head_len + 2),
        ("chunk data", head_len + LONG_BODY / 2),
        ("chunk end", end - 14),
        ("last chunk", end - 12),
        ("trailer", end - 7),
        ("last byte", end - 1),
    ];
    all.push(Message { name: "chunked", points: points_of(head_len, &chunk_points), bytes, head: head_len });
    if close_delimited {
        let (bytes, head_len) = with_head("", &body);
        let points = [("body", head_len + LONG_BODY / 2), ("close", bytes.len())];
        all.push(Message { name: "close", points: points_of(head_len, &points), bytes, head: head_len });
    }
    all
}

/// The points of a head, and those of the body after it.
fn points_of(head: usize, body: &[(&'static str, usize)]) -> Vec<(&'static str, usize)> {
    let points = [("first byte", 1), ("head", head / 2), ("head end", head - 1), ("body start", head)];
    points.iter().chain(body).copied().collect()
}

fn start(endpoint: SocketAddr) -> (Process, MockDiscovery) {
    start_platform(endpoint, ClassTimes::deadline(DEADLINE.as_millis() as u32))
}

/// What a client got.
struct Outcome {
    name: String,
    response: Option<HttpMessage>,
    took: Duration,
}

fn send(address: SocketAddr, name: String, request: Vec<u8>) -> JoinHandle<Outcome> {
    thread::spawn(move || {
        let mut client = BufReader::new(TcpStream::connect(address).expect("connects"));
        client.get_ref().set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let started_at = Instant::now();
        client.get_mut().write_all(&request).expect("written");
        let response = read_message(&mut client);
        Outcome { name, response, took: started_at.elapsed() }
    })
}

/// Guards every bound on a response: a pause in its head counts against the deadline, and one after it ends nothing.
#[test]
fn a_response_that_pauses_anywhere_comes_whole_or_fails_in_time() {
    let mut outcomes = Vec::new();
    let mut processes = Vec::new();
    for message in messages("HTTP/1.1 200 OK\r\n", true) {
        let bytes = message.bytes.clone();
        let endpoint = raw_endpoint(move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
            let _ = read_message(&mut reader);
            let _ = stream.write_all(&bytes);
        });
        let (process, discovery) = start(response_fault_proxy(endpoint));
        for (point, offset) in &message.points {
            for pause_ms in PAUSES_MS {
                let name = format!("{}, {pause_ms} ms at {point}", message.name);
                let id = name.replace([',', ' '], "-");
                let field = format!("\r\n{RESPONSE_PAUSE_FIELD}: {offset} {pause_ms}\r\n\r\n");
                let request = read(&id, DEADLINE.as_millis() as u32).replace("\r\n\r\n", &field);
                let may_fail = *offset < message.head && pause_ms >= DEADLINE.as_millis() as u64;
                outcomes.push((may_fail, send(process.address, name, request.into_bytes())));
                // All at once would be shed because of load.
                thread::sleep(Duration::from_millis(60));
            }
        }
        processes.push((process, discovery));
    }
    let mut failures = Vec::new();
    for (may_fail, outcome) in outcomes {
        let Outcome { name, response, took } = outcome.join().expect("no panic");
        let whole = response.as_ref().is_some_and(|r| r.status() == 200 && r.body == vec![b'a'; LONG_BODY]);
        let has_failed_in_time =
            response.is_some_and(|r| r.status() != 200) && took < DEADLINE + MAX_LATENESS;
        if !(whole || may_fail && has_failed_in_time) {
            failures.push(format!("{name}: after {took:?}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards every bound on a request: its time counts from its last byte.
#[test]
fn a_request_that_pauses_anywhere_is_served() {
    let endpoint = raw_endpoint(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while let Some(request) = read_message(&mut reader) {
            let length = request.body.len();
            let response =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{length}", length.to_string().len());
            let _ = stream.write_all(response.as_bytes());
        }
    });
    let (process, _discovery) = start(endpoint);
    let mut outcomes = Vec::new();
    let head = write("##", DEADLINE.as_millis() as u32, "");
    let head = head.strip_suffix("Content-Length: 0\r\n\r\n").expect("the end of a head");
    for message in messages(head, false) {
        for (point, offset) in &message.points {
            for pause_ms in PAUSES_MS {
                let name = format!("{}, {pause_ms} ms at {point}", message.name);
                // The id replaces two bytes by as many, so that the offsets stay.
                let id = format!("{:02x}", outcomes.len());
                let mut request = message.bytes.clone();
                let at = request.windows(2).position(|bytes| bytes == b"##").expect("an id");
                request[at..at + 2].copy_from_slice(id.as_bytes());
                let pause = Pause { offset: *offset, duration: Duration::from_millis(pause_ms) };
                outcomes.push(send(request_fault_proxy(process.address, pause), name, request));
                thread::sleep(Duration::from_millis(60));
            }
        }
    }
    let mut failures = Vec::new();
    for outcome in outcomes {
        let Outcome { name, response, took } = outcome.join().expect("no panic");
        let body = response.as_ref().map(|response| (response.status(), response.body.clone()));
        if body != Some((200, LONG_BODY.to_string().into_bytes())) {
            failures.push(format!("{name}: {:?} after {took:?}", response.map(|response| response.line)));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards the bounds of JSON-RPC: a pause in a message, of a client or of an endpoint, ends no call.
#[test]
fn a_json_rpc_message_that_pauses_anywhere_is_answered() {
    let result = json!("r".repeat(2000));
    let endpoint = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Result(result.clone())]);
    for offset in [0, 1, 20, 60] {
        let pause = Pause { offset, duration: Duration::from_secs(2) };
        let paused_endpoint = request_fault_proxy(endpoint.address, pause);
        let proxy = DualProtocolProxy::start(&RpcSite::rpc(&[paused_endpoint]));
        let paused_client = request_fault_proxy(proxy.rpc, pause);
        for address in [proxy.rpc, paused_client] {
            let mut client = RpcClient::connect(address, Framing::Lines);
            client.send(&testkit::json_rpc::request(offset, "standings", json!({ "x": "1" })));
            let response = client.receive();
            assert_eq!(response["result"], result, "pause at byte {offset}");
        }
    }
}
