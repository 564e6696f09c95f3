//! Requests that cross a close on the wire: one that arrives before the proxy closes is answered, whichever
//! side was about to close. The process is stopped while the request arrives, which enforces that order.

mod stubs;

use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The time after which the proxy closes a new connection without a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
fn a_first_request_that_crosses_the_head_timeout_is_answered() {
    let endpoint = MockEndpoint::new([ok("done")]);
    let proxy = Setup::with_endpoints(&[&endpoint]).start();
    // Connections with slightly different ages around the timeout.
    let opened = Instant::now();
    let mut clients: Vec<_> = (0..6).map(|_| proxy.connect()).collect();
    thread::sleep((HEAD_TIMEOUT - Duration::from_millis(300)).saturating_sub(opened.elapsed()));
    proxy.signal("STOP");
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&read(&format!("id-{number}"), 9_000));
    }
    thread::sleep((HEAD_TIMEOUT + Duration::from_millis(400)).saturating_sub(opened.elapsed()));
    // On its next wake-up it finds the timeouts and the requests at the same time.
    proxy.signal("CONT");
    for client in &mut clients {
        assert_eq!(client.receive().body, b"done");
    }
}

#[test]
fn a_request_that_arrives_at_the_end_of_shutdown_is_answered() {
    let endpoint = MockEndpoint::new([ok("done")]);
    let mut setup = Setup::with_endpoints(&[&endpoint]);
    setup.deadline_ms = 300;
    setup.latency_objective_ms = 300;
    setup.balancers = 2;
    let mut proxy = setup.start();
    // These connections are idle until the proxy closes them.
    let mut clients: Vec<_> = (0..8).map(|_| proxy.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.ask(&read(&format!("first-{number}"), 250)).status(), 200);
    }
    proxy.terminate();
    proxy.wait_for_log("graceful shutdown started");
    // By its settings it accepts requests for 0.5 s after the signal, and may be killed after one second.
    thread::sleep(Duration::from_millis(300));
    proxy.signal("STOP");
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&read(&format!("last-{number}"), 250));
    }
    thread::sleep(Duration::from_millis(600));
    proxy.signal("CONT");
    for (number, client) in clients.iter_mut().enumerate() {
        let status = client.receive().status();
        assert!([200, 503].contains(&status), "request last-{number}: {status}");
    }
    assert!(proxy.wait_for_exit().success());
}

#[test]
fn unsolicited_bytes_on_an_idle_upstream_connection_are_no_response() {
    let second_response = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen";
    for unsolicited in ["H", "HTTP/1.1 200 OK\r\nContent-Le", second_response] {
        let connections = Arc::<AtomicUsize>::default();
        let connection_counter = Arc::clone(&connections);
        let address = raw_endpoint(move |mut stream| {
            let number = connection_counter.fetch_add(1, Ordering::Relaxed);
            let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
            while read_message(&mut reader).is_some() {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
                if number == 0 {
                    // Written separately, after the response.
                    thread::sleep(Duration::from_millis(30));
                    let _ = stream.write_all(unsolicited.as_bytes());
                }
            }
        });
        let mut setup = Setup::with_endpoints(&[]);
        setup.endpoints.push(host("s-0", address, "SERVING"));
        let proxy = setup.start();
        let mut client = proxy.connect();
        assert_eq!(client.ask(&write("id-1", 9_000, "x")).body, b"own");
        thread::sleep(Duration::from_millis(80));
        assert_eq!(client.ask(&write("id-2", 9_000, "x")).body, b"own", "{unsolicited}");
        assert_eq!(connections.load(Ordering::Relaxed), 2, "{unsolicited}");
    }
}

#[test]
fn an_id_is_free_again_right_after_its_response() {
    let endpoint = MockEndpoint::new([ok("one"), ok("two")]);
    let proxy = Setup::with_endpoints(&[&endpoint]).start();
    let mut client = proxy.connect();
    assert_eq!(client.ask(&write("id-1", 9_000, "x")).body, b"one");
    assert_eq!(client.ask(&write("id-1", 9_000, "x")).body, b"two");
    assert_eq!(proxy.request(&write("id-1", 9_000, "x")).body, b"two");
}
