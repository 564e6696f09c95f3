//! A process that starts with a list from its configuration: the list may be of any age, so changes that were
//! made while the process was down count as notified at its start. After the drain grace nothing is forwarded
//! until discovery confirms the list.

mod stubs;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The drain grace in the settings: after it no request may be forwarded.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The time for which clients send requests.
const RUN_TIME: Duration = Duration::from_secs(4);

/// The configuration of one proxy of a large fleet, in which the first poll may be late.
fn fleet_config(hosts: Vec<String>, discovery: SocketAddr, seed: u64) -> String {
    let mut setup = Setup::with_endpoints(&[]);
    (setup.endpoints, setup.balancers) = (hosts, 300);
    let config = setup.config(discovery).replace("\"must_ask_in_ms\":2000", "\"must_ask_in_ms\":10000");
    config.replace("8c1f30d27a5be964", &format!("{seed:016x}"))
}

#[test]
fn a_restarted_process_keeps_a_drain_that_was_made_while_it_was_down() {
    let runs = (1..=3).map(|seed| {
        thread::spawn(move || {
            let ((draining, received_at), (other, _)) = (recording_endpoint(), recording_endpoint());
            let discovery = MockDiscovery::new();
            // The endpoint has been draining for an hour. The configured list is older.
            let hosts = [host("s-0", draining, "DRAINING"), host("s-1", other, "SERVING")];
            discovery.push(PollResponse::List(list(2, true, &hosts)));
            let stale_hosts = vec![host("s-0", draining, "SERVING"), host("s-1", other, "SERVING")];
            let proxy = start_config(&fleet_config(stale_hosts, discovery.address, seed));
            let started_at = Instant::now();
            let served = proxy.send_reads(RUN_TIME).served;
            let late_requests = received_at
                .lock()
                .expect("unpoisoned")
                .iter()
                .filter(|at| **at > started_at + DRAIN_GRACE)
                .count();
            assert_eq!(late_requests, 0, "seed {seed}: forwarded after the drain grace, {served} served");
            assert!(served > 20, "seed {seed}: only {served} served");
        })
    });
    for run in runs.collect::<Vec<_>>() {
        run.join().expect("no panic");
    }
}

#[test]
fn nothing_is_forwarded_by_a_list_that_discovery_does_not_confirm() {
    for failure in [PollResponse::Unavailable, PollResponse::Disconnect] {
        let (address, received_at) = recording_endpoint();
        let discovery = MockDiscovery::new();
        discovery.set_default_response(Some(failure.clone()));
        let hosts = vec![host("s-0", address, "SERVING")];
        let proxy = start_config(&fleet_config(hosts.clone(), discovery.address, 7));
        let started_at = Instant::now();
        proxy.send_reads(RUN_TIME);
        let late_requests = received_at
            .lock()
            .expect("unpoisoned")
            .iter()
            .filter(|at| **at > started_at + DRAIN_GRACE)
            .count();
        assert_eq!(late_requests, 0, "{failure:?}: forwarded by an unconfirmed list");
        // A response without a change confirms the list.
        discovery.set_default_response(None);
        discovery.push(PollResponse::List(list(1, false, &[])));
        let until = Instant::now() + TEST_TIMEOUT;
        while proxy.connect().ask(&read("after", 9_000)).status() != 200 {
            assert!(Instant::now() < until, "{failure:?}: forwarding does not resume");
        }
    }
}
