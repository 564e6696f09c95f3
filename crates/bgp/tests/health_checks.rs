//! The time until failed endpoints are detected, and the number of checks that this takes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bgp::{HealthCheckSettings, HealthChecker, Micros, SECOND};

const MS: Micros = 1000;
const SETTINGS: HealthCheckSettings =
    HealthCheckSettings { interval: 250 * MS, timeout: 250 * MS, unhealthy_threshold: 2, max_in_flight: 16 };

fn endpoint(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80))
}

/// Endpoints that accept, refuse or ignore connections, in simulated time.
struct Fleet {
    checker: HealthChecker,
    now: Micros,
    refusing: BTreeSet<SocketAddr>,
    silent: BTreeSet<SocketAddr>,
    /// The results of the checks in flight, by the time when they arrive.
    results: BTreeMap<(Micros, SocketAddr), bool>,
    checks_started: usize,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let mut checker = HealthChecker::new(SETTINGS);
        checker.set_endpoints(0, (0..count).map(endpoint));
        let (refusing, silent) = Default::default();
        Fleet { checker, now: 0, refusing, silent, results: BTreeMap::new(), checks_started: 0 }
    }

    /// Runs until `done` returns true, or until `then`. Returns the time at the end.
    fn run_until(&mut self, then: Micros, done: impl Fn(&HealthChecker) -> bool) -> Micros {
        while !done(&self.checker) {
            let next_result = self.results.keys().next().map(|(at, _)| *at);
            let Some(at) =
                [next_result, self.checker.next_check()].into_iter().flatten().min().filter(|at| *at <= then)
            else {
                self.now = then;
                return then;
            };
            self.now = self.now.max(at);
            while let Some(((at, endpoint), passed)) = self.results.pop_first() {
                if at > self.now {
                    self.results.insert((at, endpoint), passed);
                    break;
                }
                self.checker.on_result(at, &endpoint, passed);
            }
            let started = self.checker.start_due(self.now);
            self.checks_started += started.len();
            for endpoint in started {
                let silent = self.silent.contains(&endpoint);
                let duration = if silent { SETTINGS.timeout } else { MS };
                let passed = !silent && !self.refusing.contains(&endpoint);
                self.results.insert((self.now + duration, endpoint), passed);
            }
            assert!(self.results.len() <= SETTINGS.max_in_flight);
        }
        self.now
    }
}

/// Covers endpoints that refuse connections and endpoints that do not respond, which fail at any moment
/// between two checks.
#[test]
fn failed_endpoints_are_detected_within_the_documented_time() {
    for offset in 0..50 {
        for silent in [false, true] {
            let mut fleet = Fleet::new(10);
            fleet.run_until(SECOND + offset * 5 * MS, |_| false);
            assert!((0..10).all(|i| fleet.checker.is_healthy(&endpoint(i)) == Some(true)));
            let failed = fleet.now;
            let failing = if silent { &mut fleet.silent } else { &mut fleet.refusing };
            failing.extend((0..10).map(endpoint));
            let detected =
                fleet.run_until(10 * SECOND, |c| (0..10).all(|i| c.is_healthy(&endpoint(i)) == Some(false)));
            let max_delay = if silent { 900 * MS } else { 330 * MS };
            assert!(detected - failed <= max_delay, "{} ms, silent: {silent}", (detected - failed) / MS);
        }
    }
}

/// Guards against a detection time that grows with the number of endpoints because of the limit of checks in
/// flight.
#[test]
fn simultaneous_failure_of_1000_endpoints_is_detected_in_little_more_time() {
    let mut fleet = Fleet::new(1000);
    fleet.run_until(30 * SECOND, |_| false);
    let failed = fleet.now;
    fleet.refusing.extend((0..1000).map(endpoint));
    let unhealthy =
        |c: &HealthChecker| (0..1000).filter(|i| c.is_healthy(&endpoint(*i)) == Some(false)).count();
    let detected = fleet.run_until(60 * SECOND, |c| unhealthy(c) >= 750);
    assert!(detected - failed <= 600 * MS, "{} ms", (detected - failed) / MS);
}

/// Guards against a storm of checks: each time an endpoint becomes unhealthy, others are checked at once.
#[test]
fn one_flapping_endpoint_causes_few_extra_checks() {
    let checks_started = |flaps: bool| {
        let mut fleet = Fleet::new(1000);
        fleet.run_until(30 * SECOND, |_| false);
        fleet.checks_started = 0;
        for round in 0..100 {
            if flaps && round % 2 == 0 {
                fleet.refusing.insert(endpoint(7));
            } else {
                fleet.refusing.clear();
            }
            fleet.run_until(30 * SECOND + round * 600 * MS, |_| false);
        }
        fleet.checks_started
    };
    let (steady, flapping) = (checks_started(false), checks_started(true));
    assert!(flapping as f64 <= 1.1 * steady as f64, "flapping {flapping}, steady {steady}");
}

/// Guards against an endpoint that counts as unhealthy after one failed check, and against a result for a
/// removed endpoint that corrupts the number of checks in flight.
#[test]
fn single_failure_is_inconclusive_and_removed_endpoint_is_forgotten() {
    let mut checker = HealthChecker::new(SETTINGS);
    checker.set_endpoints(0, [endpoint(1), endpoint(2), endpoint(1)].into_iter());
    assert_eq!(checker.start_due(0), [endpoint(1), endpoint(2)]);
    assert!(checker.on_result(0, &endpoint(1), true));
    assert!(checker.on_result(0, &endpoint(2), true));
    assert_eq!(checker.start_due(250 * MS), [endpoint(1), endpoint(2)]);
    assert!(!checker.on_result(250 * MS, &endpoint(1), false));
    assert_eq!(checker.is_healthy(&endpoint(1)), Some(true));
    // An endpoint is removed during its check; its replacement is checked at once.
    checker.set_endpoints(300 * MS, [endpoint(1), endpoint(3)].into_iter());
    assert!(!checker.on_result(400 * MS, &endpoint(2), false));
    assert_eq!(checker.is_healthy(&endpoint(2)), None);
    assert_eq!(checker.start_due(400 * MS), [endpoint(3), endpoint(1)]);
    assert!(checker.on_result(401 * MS, &endpoint(1), false), "twice in a row");
    assert_eq!(checker.is_healthy(&endpoint(1)), Some(false));
}
