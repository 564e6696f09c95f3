//! Bodies that are larger than what is held whole: they flow, under back-pressure, and their ends are told apart.
mod stubs;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

const LARGE: usize = 8 << 20;
/// Time enough for what is quick on a busy machine; an upload takes longer.
const AIM_MS: u32 = 2000;
/// Who sends nothing of a body counts as stalled after 10 s.
const LONG_BEFORE_A_STALL: Duration = Duration::from_secs(6);

/// Bytes in which none could be lost, doubled or moved unseen.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i ^ (i >> 8) ^ (i >> 16)) as u8).collect()
}

fn start(backends: &[SocketAddr]) -> (Process, MockDiscovery, InheritedListener) {
    let (discovery, held) = (MockDiscovery::new(), InheritedListener::new());
    let mut setup = Setup { latency_objective_ms: AIM_MS, ..Setup::with_endpoints(&[]) };
    setup.endpoints =
        backends.iter().enumerate().map(|(i, b)| host(&format!("s-{i}"), *b, "SERVING")).collect();
    let process = held.start(&with_operators(&setup.config(discovery.address)));
    (process, discovery, held)
}

/// Reads a head: its first line.
fn head(from: &mut impl BufRead) -> String {
    let mut first = String::new();
    from.read_line(&mut first).expect("text");
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        assert!(from.read_line(&mut line).expect("text") > 0, "the head ends");
    }
    first
}

/// A backend with a large answer for each connection.
fn large() -> SocketAddr {
    let body = pattern(LARGE);
    raw_endpoint(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        head(&mut reader);
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n").as_bytes());
        let _ = stream.write_all(&body);
        let _ = reader.read_to_end(&mut Vec::new());
    })
}

fn connect(held: &InheritedListener) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(held.address).expect("it listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    BufReader::new(stream)
}

#[test]
fn large_responses_are_streamed_before_they_are_complete() {
    for chunked in [false, true] {
        let release = Arc::new(Release::default());
        let held_back = Arc::clone(&release);
        let node = raw_endpoint(move |stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
            head(&mut reader);
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
            held_back.wait();
            stream.write_all(after.as_bytes()).expect("written");
            stream.write_all(rest).expect("written");
            stream.write_all(end.as_bytes()).expect("written");
            let _ = reader.read_to_end(&mut Vec::new());
        });
        let (process, _discovery, held) = start(&[node]);
        let mut caller = connect(&held);
        caller
            .get_mut()
            .write_all(
                read("large", 9000).replace("HTTP/1.1\r\n", "HTTP/1.1\r\nConnection: close\r\n").as_bytes(),
            )
            .expect("written");
        assert!(head(&mut caller).contains(" 200 "));
        let mut some = vec![0; 50_000];
        caller.read_exact(&mut some).expect("before the rest has been sent");
        assert_eq!(process.metric("edge_lb_active"), 1, "it has not ended");
        release.release();
        let mut rest = Vec::new();
        caller.read_to_end(&mut rest).expect("all of it");
        some.extend(rest);
        if chunked {
            // Pieces may be cut anywhere; what is left without their sizes is what was sent.
            assert!(some.len() >= LARGE && some.ends_with(b"0\r\n\r\n"));
        } else {
            assert!(some == pattern(LARGE), "byte for byte");
        }
        process.wait_for_metric("edge_lb_ok_total{kind=\"read\"}", 1);
        assert_eq!(process.metric("edge_lb_active"), 0);
    }
}

#[test]
fn unread_responses_are_backpressured_and_use_no_memory() {
    let node = large();
    let (process, _discovery, held) = start(&[node]);
    let (_, before) = process.descriptors_and_memory();
    let mut callers = Vec::new();
    for i in 0..20 {
        let mut caller = connect(&held);
        caller.get_mut().write_all(read(&format!("r-{i}"), 9000).as_bytes()).expect("written");
        assert!(head(&mut caller).contains(" 200 "));
        callers.push(caller);
    }
    let (_, with) = process.descriptors_and_memory();
    assert!(with - before < 20 * 256, "{} kB for 160 MB of answers", with - before);
    for mut caller in callers {
        let mut all = vec![0; LARGE];
        caller.read_exact(&mut all).expect("all of it");
        assert!(all == pattern(LARGE));
    }
}

#[test]
fn an_interrupted_response_is_visibly_incomplete() {
    let node = raw_endpoint(|stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        head(&mut reader);
        let mut stream = stream;
        stream
            .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n").as_bytes())
            .expect("written");
        stream.write_all(&pattern(200_000)).expect("written");
    });
    let (process, _discovery, held) = start(&[node]);
    let mut caller = connect(&held);
    caller.get_mut().write_all(read("broken", 9000).as_bytes()).expect("written");
    assert!(head(&mut caller).contains(" 200 "));
    let mut got = Vec::new();
    let _ = caller.read_to_end(&mut got);
    assert!(got.len() < LARGE && got == pattern(LARGE)[..got.len()]);
    process.wait_for_metric("edge_lb_errors_total{kind=\"read\"}", 1);
    assert_eq!(process.metric("edge_lb_ok_total{kind=\"read\"}"), 0);
}

/// A backend that answers with this at once, and with nothing more.
fn unfinished(answer: &'static str) -> SocketAddr {
    raw_endpoint(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        head(&mut reader);
        let _ = stream.write_all(answer.as_bytes());
        let _ = reader.read_to_end(&mut Vec::new());
    })
}

#[test]
fn a_small_response_that_never_ends_fails_at_the_deadline() {
    let (process, _discovery, held) =
        start(&[unfinished("HTTP/1.1 200 OK\r\nContent-Length: 339\r\n\r\nthe first of it")]);
    let began = Instant::now();
    let answer = HttpClient::of(TcpStream::connect(held.address).expect("it listens")).ask(&read("r-1", 700));
    assert!([503, 504].contains(&answer.status()), "{answer:?}");
    assert!(began.elapsed() < LONG_BEFORE_A_STALL, "{:?}", began.elapsed());
    assert_eq!(process.metric("edge_lb_active"), 0);
}

#[test]
fn an_endless_response_of_unknown_length_is_cut_off_at_the_deadline() {
    let (process, _discovery, held) = start(&[unfinished(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nthe first of it.\r\n",
    )]);
    let mut caller = connect(&held);
    let began = Instant::now();
    caller.get_mut().write_all(read("r-1", 700).as_bytes()).expect("written");
    assert!(head(&mut caller).contains(" 200 "));
    let mut all = Vec::new();
    let _ = caller.read_to_end(&mut all);
    assert!(all.starts_with(b"10\r\n") && !all.ends_with(b"0\r\n\r\n"), "its caller can tell");
    let took = began.elapsed();
    assert!(took > Duration::from_millis(500) && took < LONG_BEFORE_A_STALL, "{took:?}");
    process.wait_for_metric("edge_lb_errors_total{kind=\"read\"}", 1);
}

#[test]
fn streamed_responses_outlive_an_upgrade() {
    let node = large();
    let (discovery, held) = (MockDiscovery::new(), InheritedListener::new());
    let mut setup = Setup { latency_objective_ms: AIM_MS, ..Setup::with_endpoints(&[]) };
    setup.endpoints = vec![host("s-0", node, "SERVING")];
    let config = with_operators(&setup.config(discovery.address));
    let mut old = held.start(&config);
    let mut callers: Vec<_> = (0..10).map(|_| connect(&held)).collect();
    for (i, caller) in callers.iter_mut().enumerate() {
        caller.get_mut().write_all(read(&format!("r-{i}"), 9000).as_bytes()).expect("written");
        assert!(head(caller).contains(" 200 "));
    }
    let new = held.start(&config);
    assert_eq!(new.operator_request("GET", "/status", "").0, 200);
    old.terminate();
    old.wait_for_log("told to end");
    // The new one serves; the old one still has ten answers to finish, and is not gone before.
    let mut other = connect(&held);
    other.get_mut().write_all(read("other", 9000).as_bytes()).expect("written");
    assert!(head(&mut other).contains(" 200 "));
    assert!(!old.has_exited());
    for mut caller in callers {
        let mut all = vec![0; LARGE];
        caller.read_exact(&mut all).expect("all of it");
        assert!(all == pattern(LARGE));
    }
    assert!(old.wait_for_exit().success());
    assert_eq!(new.metric("edge_lb_active"), 1);
}

/// A backend that reads a whole request with this length and says how much came.
fn counting() -> SocketAddr {
    raw_endpoint(|stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        head(&mut reader);
        let mut body = vec![0; LARGE];
        let whole = reader.read_exact(&mut body).is_ok() && body == pattern(LARGE);
        let mut stream = stream;
        let word = if whole { "whole" } else { "wrong" };
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{word}").as_bytes());
        let _ = reader.read_to_end(&mut Vec::new());
    })
}

fn upload(id: &str, timeout_ms: u32) -> String {
    write(id, timeout_ms, "").replace("Content-Length: 0", &format!("Content-Length: {LARGE}"))
}

#[test]
fn large_requests_are_streamed_and_time_out_from_the_last_byte() {
    let (process, _discovery, held) = start(&[counting()]);
    let mut caller = connect(&held);
    // It takes longer to come than its caller waits for the answer.
    caller.get_mut().write_all(upload("up", AIM_MS).as_bytes()).expect("written");
    let body = pattern(LARGE);
    let since = Instant::now();
    for piece in body.chunks(LARGE / 10) {
        caller.get_mut().write_all(piece).expect("written");
        thread::sleep(Duration::from_millis(250));
    }
    assert!(since.elapsed() > Duration::from_millis(u64::from(AIM_MS)));
    let answer = read_message(&mut caller).expect("an answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"whole"[..]));
    assert_eq!(process.metric("edge_lb_tries_total"), 1);
    assert_eq!(process.metric("edge_lb_ok_total{kind=\"write\"}"), 1);
}

#[test]
fn a_rejected_large_request_is_answered_at_once_and_read_to_its_end() {
    let (process, _discovery, held) = start(&[]);
    let mut caller = connect(&held);
    caller.get_mut().write_all(upload("up", 9000).as_bytes()).expect("written");
    let answer = read_message(&mut caller).expect("an answer before its body has come");
    assert_eq!(answer.status(), 503);
    caller.get_mut().write_all(&pattern(LARGE)).expect("all of it is taken");
    process.wait_for_metric("edge_lb_shed_total{kind=\"write\"}", 1);
    assert_eq!(process.metric("edge_lb_active"), 0);
}

#[test]
fn a_large_request_whose_client_disconnects_is_no_attempt() {
    let (process, _discovery, held) = start(&[counting()]);
    let mut caller = connect(&held);
    caller.get_mut().write_all(upload("up", 9000).as_bytes()).expect("written");
    caller.get_mut().write_all(&pattern(LARGE)[..LARGE / 2]).expect("written");
    drop(caller);
    // Whether it ends as left or as refused is a race that nobody waits for.
    let ended =
        || ["errors", "shed"].map(|n| process.metric(&format!("edge_lb_{n}_total{{kind=\"write\"}}")));
    let since = Instant::now();
    while ended().iter().sum::<u64>() != 1 {
        assert!(since.elapsed() < TEST_TIMEOUT, "{:?}", ended());
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!((process.metric("edge_lb_tries_total"), process.metric("edge_lb_active")), (0, 0));
}

/// An own installation before one node, with this line in `[limits]`.
fn own(node: SocketAddr, limit: &str) -> Process {
    let class = |name: &str, semantics: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\naim_ms = {AIM_MS}\ndeadline_ms = 9000\nsemantics = \"{semantics}\"\n\
             [[route]]\nname = \"{name}\"\nmatch = {{ path = \"/{name}/*\" }}\nclass = \"{name}\"\npool = \"p\"\n\
             fallback = [{{ pool = \"q\", when = [\"refused\"] }}]\n"
        )
    };
    start_standalone(
        &format!(
            "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}]\n[operators]\nlisten = \"127.0.0.1:0\"\n\
             [limits]\n{limit}\n[[pool]]\nname = \"p\"\nnodes = [{{ name = \"n\", address = \"{node}\" }}]\n\
             [[pool]]\nname = \"q\"\nnodes = [{{ name = \"n\", address = \"{node}\" }}]\n{}{}",
            class("read", "idempotent"),
            class("write", "at-most-once"),
        ),
        &[],
    )
}

#[test]
fn standalone_mode_streams_large_requests_up_to_the_configured_limit() {
    let process = own(counting(), &format!("body_bytes = {LARGE}"));
    let ask = |request: String, body: &[u8]| {
        let mut caller = BufReader::new(TcpStream::connect(process.address).expect("it listens"));
        caller.get_mut().write_all(request.as_bytes()).expect("written");
        // An answer may come before all of it is written.
        let _ = caller.get_mut().write_all(body);
        read_message(&mut caller).expect("an answer")
    };
    let answer = ask(upload("up", AIM_MS), &pattern(LARGE));
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"whole"[..]));
    assert_eq!(process.metric("edge_lb_tries_total{pool=\"p\"}"), 1);
    let over = upload("over", AIM_MS).replace(&LARGE.to_string(), &(LARGE + 1).to_string());
    assert_eq!(ask(over, &[]).status(), 413);
    // Refused with its body on the way: it is not sent to the next pool with what is left of it.
    for node in ["p/n", "q/n"] {
        assert_eq!(process.operator_request("POST", "/maintenance/enter", node).0, 200);
    }
    assert_eq!(ask(upload("refused", AIM_MS), &pattern(LARGE)).status(), 503);
    // Where no bound is set bodies are held whole.
    let process = own(counting(), "");
    let mut caller = process.connect();
    caller.send(&upload("large", AIM_MS));
    assert_eq!(caller.receive().status(), 413);
}

#[test]
fn standalone_mode_streams_large_responses_up_to_the_configured_limit() {
    let node = large();
    let process = own(node, &format!("body_bytes = {LARGE}"));
    let answer = process.request(&read("down", 9000));
    assert!(answer.status() == 200 && answer.body == pattern(LARGE));
    // One byte more than may be is an answer that breaks off, and counts as one.
    let process = own(node, &format!("body_bytes = {}", LARGE - 1));
    let mut caller = process.connect();
    caller.send(&read("over", 9000));
    assert!(caller.try_receive().is_none_or(|answer| answer.status() == 502));
    process.wait_for_metric("edge_lb_errors_total{kind=\"read\",pool=\"p\"}", 1);
}
