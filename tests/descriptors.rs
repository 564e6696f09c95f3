//! Idle connections use up the descriptors while discovery is down. Those that discovery, operators and
//! endpoints need stay available, and complete requests are served.

mod stubs;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The lowest limit on open descriptors that the platform sets.
const MIN_DESCRIPTORS: u32 = 256;

/// Starts a discovery on a reserved port. It responds to the first poll with a list and leaves the next one
/// open. The thread returns the time at which the first connection was accepted.
fn serve_discovery(port: ReservedPort, list: String) -> thread::JoinHandle<Instant> {
    let listener = port.open();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a poll");
        let accepted_at = Instant::now();
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
        accepted_at
    })
}

#[test]
fn idle_connections_at_the_descriptor_limit_block_no_client_while_discovery_is_down() {
    let (first, second) = (MockEndpoint::new([ok("first")]), MockEndpoint::new([ok("second")]));
    let mut setup = Setup::with_endpoints(&[&first]);
    setup.max_sockets = MIN_DESCRIPTORS;
    setup.descriptors = Some(MIN_DESCRIPTORS);
    let (unreachable, reachable_again) = (ReservedPort::new(), ReservedPort::new());
    let down = unreachable.address();
    let config = with_operators_address(&setup.config(down));
    let proxy = start_with_descriptor_limit(&config, MIN_DESCRIPTORS);
    // Far more idle connections than the limit allows: without any byte, with a part of a head, and with a
    // complete request whose response is not read. A connection that is not accepted in time is skipped.
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
    let cpu_time_before = proxy.cpu_time_ns();
    let since = Instant::now();
    // Each complete request is served in time.
    let mut longest = Duration::ZERO;
    for number in 0..40 {
        let started_at = Instant::now();
        assert_eq!(proxy.request(&read(&format!("whole-{number}"), 9_000)).status(), 200);
        longest = longest.max(started_at.elapsed());
        assert!(
            started_at.elapsed() < Duration::from_millis(3_500),
            "request {number} took {:?}",
            started_at.elapsed()
        );
    }
    println!("the longest of forty requests took {longest:?}");
    let (status, _) = proxy.operator_request("GET", "/status/metrics", "");
    assert_eq!(status, 200, "the operators' address does not respond");
    let used = Duration::from_nanos(proxy.cpu_time_ns() - cpu_time_before);
    assert!(
        used < since.elapsed() / 2 + Duration::from_millis(500),
        "{used:?} of CPU time in {:?}: the event loop spins",
        since.elapsed()
    );
    // Discovery recovers at an address that a new configuration names, and lists an endpoint without
    // connections.
    let new_address = reachable_again.address();
    let updated_list = list(7, true, &[host("s-new", second.address, "SERVING")]);
    let polled_at = serve_discovery(reachable_again, updated_list);
    let reloaded = Instant::now();
    proxy.reload(&config.replace(&down.to_string(), &new_address.to_string()));
    let polled_at = polled_at.join().expect("no panic");
    assert!(polled_at - reloaded < Duration::from_secs(6), "polled after {:?}", polled_at - reloaded);
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let response = proxy.request(&read(&format!("new-{:?}", deadline.elapsed().as_nanos()), 9_000));
        if response.body == b"second" {
            break;
        }
        assert!(Instant::now() < deadline, "the new endpoint is never used");
    }
    let log = proxy.log();
    assert!(log.lines().count() < 20, "the log is flooded: {log}");
    assert!(proxy.descriptors_and_memory().0 <= MIN_DESCRIPTORS as usize);
    drop(idle);
}
