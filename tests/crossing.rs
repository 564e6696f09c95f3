//! The instant of a close: a request that has come by then is answered, whoever was about to close. The order is forced by
//! halting the process while the request comes.

mod stubs;

use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// A silent connection is given up after this.
const HEAD: Duration = Duration::from_secs(3);

#[test]
fn a_first_request_that_crosses_the_head_timeout_is_answered() {
    let backend = MockEndpoint::new([ok("done")]);
    let proxy = Setup::with_endpoints(&[&backend]).start();
    // On connections of all ages round the one at which they are given up.
    let opened = Instant::now();
    let mut callers: Vec<_> = (0..6).map(|_| proxy.connect()).collect();
    thread::sleep((HEAD - Duration::from_millis(300)).saturating_sub(opened.elapsed()));
    proxy.signal("STOP");
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.send(&read(&format!("id-{number}"), 9_000));
    }
    thread::sleep((HEAD + Duration::from_millis(400)).saturating_sub(opened.elapsed()));
    // Now it finds at once that their time is up and that their requests are there.
    proxy.signal("CONT");
    for caller in &mut callers {
        assert_eq!(caller.receive().body, b"done");
    }
}

#[test]
fn a_request_that_arrives_at_the_end_of_shutdown_is_answered() {
    let backend = MockEndpoint::new([ok("done")]);
    let mut setup = Setup::with_endpoints(&[&backend]);
    setup.deadline_ms = 300;
    setup.latency_objective_ms = 300;
    setup.balancers = 2;
    let mut proxy = setup.start();
    // They rest, and rest on until the proxy ends them.
    let mut callers: Vec<_> = (0..8).map(|_| proxy.connect()).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        assert_eq!(caller.ask(&read(&format!("first-{number}"), 250)).status(), 200);
    }
    proxy.terminate();
    proxy.wait_for_log("told to end");
    // By its settings it takes requests for 0.5 s, and is killed after one second.
    thread::sleep(Duration::from_millis(300));
    proxy.signal("STOP");
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.send(&read(&format!("last-{number}"), 250));
    }
    thread::sleep(Duration::from_millis(600));
    proxy.signal("CONT");
    for (number, caller) in callers.iter_mut().enumerate() {
        let status = caller.receive().status();
        assert!([200, 503].contains(&status), "last-{number}: {status}");
    }
    assert!(proxy.wait_for_exit().success());
}

#[test]
fn unsolicited_bytes_on_an_idle_upstream_connection_are_no_response() {
    let second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen";
    for rest in ["H", "HTTP/1.1 200 OK\r\nContent-Le", second] {
        let connections = Arc::<AtomicUsize>::default();
        let counted = Arc::clone(&connections);
        let address = raw_endpoint(move |mut stream| {
            let number = counted.fetch_add(1, Ordering::Relaxed);
            let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
            while read_message(&mut reader).is_some() {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
                if number == 0 {
                    // A write of its own, after the answer.
                    thread::sleep(Duration::from_millis(30));
                    let _ = stream.write_all(rest.as_bytes());
                }
            }
        });
        let mut setup = Setup::with_endpoints(&[]);
        setup.endpoints.push(host("s-0", address, "SERVING"));
        let proxy = setup.start();
        let mut caller = proxy.connect();
        assert_eq!(caller.ask(&write("id-1", 9_000, "x")).body, b"own");
        thread::sleep(Duration::from_millis(80));
        assert_eq!(caller.ask(&write("id-2", 9_000, "x")).body, b"own", "{rest}");
        assert_eq!(connections.load(Ordering::Relaxed), 2, "{rest}");
    }
}

#[test]
fn an_id_is_free_again_right_after_its_response() {
    let backend = MockEndpoint::new([ok("one"), ok("two")]);
    let proxy = Setup::with_endpoints(&[&backend]).start();
    let mut caller = proxy.connect();
    assert_eq!(caller.ask(&write("id-1", 9_000, "x")).body, b"one");
    assert_eq!(caller.ask(&write("id-1", 9_000, "x")).body, b"two");
    assert_eq!(proxy.request(&write("id-1", 9_000, "x")).body, b"two");
}
