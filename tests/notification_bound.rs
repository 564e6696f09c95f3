//! A change counts as notified six seconds after discovery has it and is reachable, whatever the result of
//! the calls. The proxy has real sockets, and discovery fails in different ways.

mod stubs;

use std::io::{BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The drain grace in the settings: after it no request may be forwarded.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The time after which a change counts as notified.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);

/// Sends requests, each on a new connection, until a point in time. Returns the times of the responses with
/// status 200.
fn send_until(proxy: &Process, until: Instant) -> Vec<Instant> {
    let mut served = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        let mut client = proxy.connect();
        number += 1;
        if client.ask(&read(&format!("request-{number}"), 9_000)).status() == 200 {
            served.push(Instant::now());
        }
        thread::sleep(Duration::from_millis(20));
    }
    served
}

/// A proxy with a single endpoint at this address.
fn setup(address: std::net::SocketAddr) -> Setup {
    let mut setup = Setup::with_endpoints(&[]);
    setup.endpoints = vec![host("s-0", address, "SERVING")];
    setup
}

#[test]
fn nothing_is_forwarded_by_a_list_that_failed_calls_cannot_confirm() {
    let cases = [PollResponse::Unavailable, PollResponse::Disconnect].map(|failure| {
        thread::spawn(move || {
            let (address, received_at) = recording_endpoint();
            let proxy = setup(address).start();
            proxy.discovery.wait_for_poll(0);
            proxy.discovery.push(PollResponse::List(list(1, false, &[])));
            proxy.discovery.set_default_response(Some(failure.clone()));
            // From the first failed call on there may be a drain that discovery has not reported.
            let (_, called_at) = proxy.discovery.wait_for_poll(1);
            let served =
                send_until(&proxy, called_at + NOTIFIED_AFTER + DRAIN_GRACE + Duration::from_secs(2));
            let last = *received_at.lock().expect("unpoisoned").last().expect("some were forwarded");
            assert!(
                last < called_at + NOTIFIED_AFTER + DRAIN_GRACE,
                "{failure:?}: forwarded {:?} after the call",
                last - called_at
            );
            let before =
                served.iter().filter(|at| **at > called_at + NOTIFIED_AFTER - Duration::from_secs(1)).count();
            assert!(before > 0, "{failure:?}: forwarding stopped too early");
            assert!(
                (4..=20).contains(&proxy.discovery.poll_count()),
                "{failure:?}: {} calls",
                proxy.discovery.poll_count()
            );
            // The next complete response resumes forwarding.
            proxy.discovery.set_default_response(None);
            proxy.discovery.push(PollResponse::List(list(2, true, &[host("s-0", address, "SERVING")])));
            let until = Instant::now() + TEST_TIMEOUT;
            while proxy.connect().ask(&read("after", 9_000)).status() != 200 {
                assert!(Instant::now() < until, "{failure:?}: forwarding does not resume");
            }
        })
    });
    for case in cases {
        case.join().expect("no panic");
    }
}

#[test]
fn a_drain_is_received_in_time_if_every_second_call_is_rejected() {
    let (address, received_at) = recording_endpoint();
    let (other, other_received_at) = recording_endpoint();
    let mut setup = setup(address);
    setup.endpoints.push(host("s-1", other, "SERVING"));
    let proxy = setup.start();
    let drained_list = [host("s-0", address, "DRAINING"), host("s-1", other, "SERVING")];
    proxy.discovery.push(PollResponse::List(list(2, true, &[])));
    proxy.discovery.push(PollResponse::Unavailable);
    proxy.discovery.push(PollResponse::List(list(3, true, &drained_list)));
    proxy.discovery.set_default_response(Some(PollResponse::Unavailable));
    // The second call is rejected. It could have reported the drain.
    let (_, failed_call_at) = proxy.discovery.wait_for_poll(1);
    let served = send_until(&proxy, failed_call_at + NOTIFIED_AFTER + DRAIN_GRACE + Duration::from_secs(1));
    let late_requests: Vec<_> = received_at
        .lock()
        .expect("unpoisoned")
        .iter()
        .filter(|at| **at > failed_call_at + NOTIFIED_AFTER + DRAIN_GRACE)
        .copied()
        .collect();
    assert!(late_requests.is_empty(), "forwarded {} times to a draining endpoint", late_requests.len());
    let (_, polled_at) = proxy.discovery.wait_for_poll(2);
    assert!(
        polled_at < failed_call_at + NOTIFIED_AFTER,
        "polled again after {:?}",
        polled_at - failed_call_at
    );
    assert!(
        !served.is_empty() && !other_received_at.lock().expect("unpoisoned").is_empty(),
        "the other endpoint did not serve"
    );
}

#[test]
fn an_outage_with_refused_connections_does_not_suspend_forwarding_and_its_end_is_noticed_in_time() {
    let (address, received_at) = recording_endpoint();
    let closed = ReservedPort::new();
    let (other, _other_received_at) = recording_endpoint();
    let mut setup = setup(address);
    setup.endpoints.push(host("s-1", other, "SERVING"));
    let config = setup.config(closed.address());
    let proxy = start_config(&config);
    let started_at = Instant::now();
    let served = send_until(&proxy, started_at + Duration::from_secs(9));
    let last = served.last().expect("some were served");
    assert!(
        started_at + Duration::from_millis(8_500) < *last,
        "forwarding stopped after {:?}",
        *last - started_at
    );
    // Discovery recovers. The drain was made at the end of the outage.
    let recovered_at = Instant::now();
    let listener = closed.open();
    let discovery = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("polled");
        let polled_at = Instant::now();
        read_message(&mut BufReader::new(stream.try_clone().expect("a copy"))).expect("a call");
        let body = list(2, true, &[host("s-0", address, "DRAINING"), host("s-1", other, "SERVING")]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).expect("written");
        (polled_at, listener, stream)
    });
    send_until(&proxy, recovered_at + NOTIFIED_AFTER + DRAIN_GRACE);
    let (polled_at, ..) = discovery.join().expect("no panic");
    assert!(
        polled_at < recovered_at + Duration::from_millis(2_500),
        "polled {:?} after the recovery",
        polled_at - recovered_at
    );
    let late_requests =
        received_at.lock().expect("unpoisoned").iter().filter(|at| **at > polled_at + DRAIN_GRACE).count();
    assert_eq!(late_requests, 0, "forwarded to a draining endpoint");
}

#[test]
fn a_process_without_a_list_polls_until_it_has_one_and_is_ready_then() {
    let (address, _) = recording_endpoint();
    let mut setup = setup(address);
    setup.endpoints.clear();
    let discovery = MockDiscovery::new();
    // The first response is truncated, the second cannot be parsed, and three calls are rejected. Then the
    // list of 1,024 endpoints follows, indented.
    let hosts: Vec<String> =
        (0..1_024).map(|index| host(&format!("s-{index}"), address, "SERVING")).collect();
    let full_list = list(2, true, &hosts).replace(",\"", ",\n  \"").replace("},{", "},\n {");
    discovery.push(PollResponse::Truncated(full_list.clone()));
    discovery.push(PollResponse::List("{\"seq\":2,\"whole\":true,\"hosts\":[[".to_owned()));
    for _ in 0..3 {
        discovery.push(PollResponse::Unavailable);
    }
    discovery.push(PollResponse::List(full_list));
    let config = setup.config(discovery.address);
    let from = config.find("\"known\":").expect("a list");
    let to = from + config[from..].find("]},").expect("its end") + 3;
    let proxy = start_config(&(config[..from].to_owned() + &config[to..]));
    let started_at = Instant::now();
    // Requests before the list is there are rejected, without any other effect.
    assert_eq!(proxy.connect().ask(&read("early", 9_000)).status(), 503);
    let health = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
    while proxy.connect().ask(health).status() != 200 {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "not ready, after {} calls",
            discovery.poll_count()
        );
        thread::sleep(Duration::from_millis(10));
    }
    println!("ready after {:?} and {} calls", started_at.elapsed(), discovery.poll_count());
    assert_eq!(proxy.connect().ask(&read("late", 9_000)).status(), 200);
}
