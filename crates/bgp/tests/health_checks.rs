//! How soon it is known that nodes do not answer, and what finding out costs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bgp::{HealthCheckSettings, HealthChecker, Micros, SECOND};

const MS: Micros = 1000;
const SETTINGS: HealthCheckSettings =
    HealthCheckSettings { interval: 250 * MS, timeout: 250 * MS, unhealthy_threshold: 2, max_in_flight: 16 };

fn node(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80))
}

/// Nodes that answer, refuse, or keep silent, in simulated time.
struct Fleet {
    checker: HealthChecker,
    now: Micros,
    refuse: BTreeSet<SocketAddr>,
    silent: BTreeSet<SocketAddr>,
    ends: BTreeMap<(Micros, SocketAddr), bool>,
    asked: usize,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let mut checker = HealthChecker::new(SETTINGS);
        checker.set_endpoints(0, (0..count).map(node));
        let (refuse, silent) = Default::default();
        Fleet { checker, now: 0, refuse, silent, ends: BTreeMap::new(), asked: 0 }
    }

    /// Goes on until `done` or this time; when it stopped.
    fn until(&mut self, then: Micros, done: impl Fn(&HealthChecker) -> bool) -> Micros {
        while !done(&self.checker) {
            let end = self.ends.keys().next().map(|(at, _)| *at);
            let Some(at) =
                [end, self.checker.next_check()].into_iter().flatten().min().filter(|at| *at <= then)
            else {
                self.now = then;
                return then;
            };
            self.now = self.now.max(at);
            while let Some(((at, node), good)) = self.ends.pop_first() {
                if at > self.now {
                    self.ends.insert((at, node), good);
                    break;
                }
                self.checker.on_result(at, &node, good);
            }
            let started = self.checker.start_due(self.now);
            self.asked += started.len();
            for node in started {
                let silent = self.silent.contains(&node);
                let takes = if silent { SETTINGS.timeout } else { MS };
                self.ends.insert((self.now + takes, node), !silent && !self.refuse.contains(&node));
            }
            assert!(self.ends.len() <= SETTINGS.max_in_flight);
        }
        self.now
    }
}

#[test]
fn a_node_that_refuses_or_falls_silent_is_known_within_the_stated_time() {
    for begin in 0..50 {
        for silent in [false, true] {
            let mut fleet = Fleet::new(10);
            fleet.until(SECOND + begin * 5 * MS, |_| false);
            assert!((0..10).all(|i| fleet.checker.is_healthy(&node(i)) == Some(true)));
            let failed = fleet.now;
            let which = if silent { &mut fleet.silent } else { &mut fleet.refuse };
            which.extend((0..10).map(node));
            let known = fleet.until(10 * SECOND, |p| (0..10).all(|i| p.is_healthy(&node(i)) == Some(false)));
            let most = if silent { 900 * MS } else { 330 * MS };
            assert!(known - failed <= most, "{} ms, silent: {silent}", (known - failed) / MS);
        }
    }
}

#[test]
fn a_thousand_that_fail_together_are_found_in_little_more_time() {
    let mut fleet = Fleet::new(1000);
    fleet.until(30 * SECOND, |_| false);
    let failed = fleet.now;
    fleet.refuse.extend((0..1000).map(node));
    let bad = |p: &HealthChecker| (0..1000).filter(|i| p.is_healthy(&node(*i)) == Some(false)).count();
    let known = fleet.until(60 * SECOND, |p| bad(p) >= 750);
    assert!(known - failed <= 600 * MS, "{} ms", (known - failed) / MS);
}

#[test]
fn one_that_comes_and_goes_costs_few_questions() {
    let asked = |flaps: bool| {
        let mut fleet = Fleet::new(1000);
        fleet.until(30 * SECOND, |_| false);
        fleet.asked = 0;
        for round in 0..100 {
            if flaps && round % 2 == 0 {
                fleet.refuse.insert(node(7));
            } else {
                fleet.refuse.clear();
            }
            fleet.until(30 * SECOND + round * 600 * MS, |_| false);
        }
        fleet.asked
    };
    let (calm, restless) = (asked(false), asked(true));
    assert!(restless as f64 <= 1.1 * calm as f64, "{restless} beside {calm}");
}

#[test]
fn a_single_lost_answer_proves_nothing_and_a_node_that_leaves_is_forgotten() {
    let mut checker = HealthChecker::new(SETTINGS);
    checker.set_endpoints(0, [node(1), node(2), node(1)].into_iter());
    assert_eq!(checker.start_due(0), [node(1), node(2)]);
    assert!(checker.on_result(0, &node(1), true));
    assert!(checker.on_result(0, &node(2), true));
    assert_eq!(checker.start_due(250 * MS), [node(1), node(2)]);
    assert!(!checker.on_result(250 * MS, &node(1), false));
    assert_eq!(checker.is_healthy(&node(1)), Some(true));
    // While one is out its node leaves; another takes its place at once.
    checker.set_endpoints(300 * MS, [node(1), node(3)].into_iter());
    assert!(!checker.on_result(400 * MS, &node(2), false));
    assert_eq!(checker.is_healthy(&node(2)), None);
    assert_eq!(checker.start_due(400 * MS), [node(3), node(1)]);
    assert!(checker.on_result(401 * MS, &node(1), false), "twice in a row");
    assert_eq!(checker.is_healthy(&node(1)), Some(false));
}
