//! A process that starts with a list in hand: the list proves no age, so what changed while the process was away binds from its
//! first moment, and nothing is sent by the list past the grace until discovery has confirmed it.

mod stubs;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// What the settings of the stand-in allow to a drain, after which nothing may be begun.
const GRACE: Duration = Duration::from_millis(500);
/// So long requests come.
const PLAYED: Duration = Duration::from_secs(4);

/// The configuration of one proxy of a large fleet, whose decisions take their time over the first question.
fn fleet_config(hosts: Vec<String>, discovery: SocketAddr, seed: u64) -> String {
    let mut setup = Setup::of(&[]);
    (setup.hosts, setup.balancers) = (hosts, 300);
    let config = setup.config(discovery).replace("\"must_ask_in_ms\":2000", "\"must_ask_in_ms\":10000");
    config.replace("8c1f30d27a5be964", &format!("{seed:016x}"))
}

/// Sends requests until the time is up; how many were served.
fn ask_for(proxy: &Process, time: Duration) -> usize {
    let until = Instant::now() + time;
    let (mut served, mut number) = (0, 0);
    while Instant::now() < until {
        number += 1;
        let answer = proxy.caller().ask(&read(&format!("asked-{number}"), 9_000));
        served += usize::from(answer.status() == 200);
        thread::sleep(Duration::from_millis(20));
    }
    served
}

#[test]
fn a_restarted_process_keeps_a_drain_that_came_while_it_was_away() {
    let plays = (1..=3).map(|seed| {
        thread::spawn(move || {
            let ((drained, seen), (other, _)) = (noting_backend(), noting_backend());
            let discovery = MockDiscovery::new();
            // It has been draining for an hour; the list in hand is older.
            let hosts = [host("s-0", drained, "DRAINING"), host("s-1", other, "SERVING")];
            discovery.push(PollResponse::List(list(2, true, &hosts)));
            let old = vec![host("s-0", drained, "SERVING"), host("s-1", other, "SERVING")];
            let proxy = start_config(&fleet_config(old, discovery.address, seed));
            let started = Instant::now();
            let served = ask_for(&proxy, PLAYED);
            let late = seen.lock().expect("unpoisoned").iter().filter(|at| **at > started + GRACE).count();
            assert_eq!(late, 0, "seed {seed}: sent past the grace, {served} served");
            assert!(served > 20, "seed {seed}: {served} served: sends next to nothing");
        })
    });
    for play in plays.collect::<Vec<_>>() {
        play.join().expect("as said");
    }
}
#[test]
fn a_list_that_discovery_does_not_confirm_is_not_sent_by() {
    for way in [PollResponse::Unavailable, PollResponse::Disconnect] {
        let (address, seen) = noting_backend();
        let discovery = MockDiscovery::new();
        discovery.set_default_response(Some(way.clone()));
        let hosts = vec![host("s-0", address, "SERVING")];
        let proxy = start_config(&fleet_config(hosts.clone(), discovery.address, 7));
        let started = Instant::now();
        ask_for(&proxy, PLAYED);
        let late = seen.lock().expect("unpoisoned").iter().filter(|at| **at > started + GRACE).count();
        assert_eq!(late, 0, "{way:?}: sent by a list that nothing proves");
        // Its word that nothing has changed is enough.
        discovery.set_default_response(None);
        discovery.push(PollResponse::List(list(1, false, &[])));
        let until = Instant::now() + TEST_TIMEOUT;
        while proxy.caller().ask(&read("after", 9_000)).status() != 200 {
            assert!(Instant::now() < until, "{way:?}: does not go on");
        }
    }
}
