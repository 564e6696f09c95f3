//! Idle clients fill the descriptors while discovery is down: what discovery, operators and nodes need stays free, and who has
//! a whole request is served.

mod stubs;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The least that the platform gives.
const LEAST: u32 = 256;

/// Answers each call with this list, until the test ends.
fn discovery_at(closed: ReservedPort, list: String) -> thread::JoinHandle<Instant> {
    let listener = closed.open();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("asked");
        let since = Instant::now();
        thread::spawn(move || {
            let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
            if read_message(&mut reader).is_some() {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                let _ = stream.write_all((head + &list).as_bytes());
            }
            // The watch stays open.
            let _ = read_message(&mut reader);
            drop(listener);
        });
        since
    })
}

#[test]
fn idle_connections_at_the_descriptor_limit_block_no_client_while_discovery_is_down() {
    let (first, second) = (MockEndpoint::new([ok("first")]), MockEndpoint::new([ok("second")]));
    let mut setup = Setup::with_endpoints(&[&first]);
    setup.max_sockets = LEAST;
    setup.descriptors = Some(LEAST);
    let (closed, returned) = (ReservedPort::new(), ReservedPort::new());
    let down = closed.address();
    let config = with_operators(&setup.config(down));
    let proxy = start_with_descriptor_limit(&config, LEAST);
    // Three kinds of idle ones, far more than there is room for; all of them wait for one that is never accepted.
    let mut idle: Vec<TcpStream> = Vec::new();
    for number in 0..450 {
        let Ok(mut stream) = TcpStream::connect_timeout(&proxy.address, Duration::from_millis(300)) else {
            continue;
        };
        match number % 3 {
            0 => {}
            1 => drop(stream.write_all(b"GET /read/1 HTTP/1.1\r\nHost: a\r\n")),
            _ => drop(stream.write_all(read(&format!("idle-{number}"), 9_000).as_bytes())),
        }
        idle.push(stream);
    }
    let busy = proxy.cpu_time_ns();
    let since = Instant::now();
    // Whoever has a whole request is served, in time and each time.
    let mut longest = Duration::ZERO;
    for number in 0..40 {
        let began = Instant::now();
        assert_eq!(proxy.request(&read(&format!("whole-{number}"), 9_000)).status(), 200);
        longest = longest.max(began.elapsed());
        assert!(
            began.elapsed() < Duration::from_millis(3_500),
            "request {number} took {:?}",
            began.elapsed()
        );
    }
    println!("the longest of forty requests took {longest:?}");
    let (status, _) = proxy.operator_request("GET", "/status/metrics", "");
    assert_eq!(status, 200, "operators are heard");
    let used = Duration::from_nanos(proxy.cpu_time_ns() - busy);
    assert!(
        used < since.elapsed() / 2 + Duration::from_millis(500),
        "{used:?} of {:?}: it spins",
        since.elapsed()
    );
    // Discovery returns, at another address that a new configuration names, and tells of a node that was never connected to.
    let back = returned.address();
    let told = list(7, true, &[host("s-new", second.address, "SERVING")]);
    let asked = discovery_at(returned, told);
    let reloaded = Instant::now();
    proxy.reload(&config.replace(&down.to_string(), &back.to_string()));
    let asked = asked.join().expect("asked");
    assert!(asked - reloaded < Duration::from_secs(6), "asked after {:?}", asked - reloaded);
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let heard = proxy.request(&read(&format!("new-{:?}", until.elapsed().as_nanos()), 9_000));
        if heard.body == b"second" {
            break;
        }
        assert!(Instant::now() < until, "the new node is never connected to");
    }
    let log = proxy.log();
    assert!(log.lines().count() < 20, "the log is flooded: {log}");
    assert!(proxy.descriptors_and_memory().0 <= LEAST as usize);
    drop(idle);
}
