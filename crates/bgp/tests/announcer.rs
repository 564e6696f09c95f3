//! The conditions under which an address is announced or withdrawn, in simulated time over many seeds.

use std::collections::BTreeMap;

use bgp::{
    Address, AnnouncementLevel, Announcer, Attributes, Damping, EndpointHealth, Micros, PoolHealth,
    ProcessHealth, StateReason, Thresholds, SECOND,
};

const MS: Micros = 1000;
const HEALTHY_PROCESS: ProcessHealth =
    ProcessHealth { accepting: true, alive: true, memory_limit_exceeded: false };
const DAMPING: Damping = Damping { hold_up: 5 * SECOND, max_hold_up: 60 * SECOND, half_life: 60 * SECOND };

fn address(pools: &[&str]) -> Address {
    Address {
        prefix: "192.0.2.1/32".parse().expect("a prefix"),
        pools: pools.iter().map(|p| (*p).to_owned()).collect(),
        thresholds: Thresholds { announce: 0.5, withdraw: 0.3, degrade: 0.8, min_endpoints: 1 },
        damping: DAMPING,
        attributes: Attributes { med: Some(10), ..Attributes::default() },
        degraded: Attributes { med: Some(100), prepend: 2, ..Attributes::default() },
    }
}

fn endpoint(healthy: Option<bool>) -> EndpointHealth {
    EndpointHealth { weight: 1.0, ready: true, warm: true, healthy }
}

fn pool(healthy: &[Option<bool>]) -> PoolHealth {
    PoolHealth { endpoints: Some(healthy.iter().map(|h| endpoint(*h)).collect()), stale: false }
}

/// A pool of ten endpoints, of which `healthy` pass their health checks.
fn of_ten(healthy: usize) -> PoolHealth {
    pool(&(0..10).map(|i| Some(i < healthy)).collect::<Vec<_>>())
}

/// An announcer with its inputs and a simulated clock.
struct Site {
    announcer: Announcer,
    now: Micros,
    pools: BTreeMap<String, PoolHealth>,
    process: ProcessHealth,
}

impl Site {
    fn new(addresses: &[Address]) -> Site {
        let mut announcer = Announcer::default();
        announcer.set(0, addresses);
        Site { announcer, now: 0, pools: BTreeMap::new(), process: HEALTHY_PROCESS }
    }

    fn set_health(&mut self, name: &str, health: PoolHealth) -> &mut Site {
        self.pools.insert(name.to_owned(), health);
        self
    }

    /// Advances the clock to `then` and decides as the speaker does: at once and whenever a decision is due.
    fn run_until(&mut self, then: Micros) -> &mut Site {
        self.announcer.decide(self.now, self.process, &self.pools);
        while let Some(at) = self.announcer.next_decision(self.now).filter(|at| *at <= then) {
            self.now = at.max(self.now);
            self.announcer.decide(self.now, self.process, &self.pools);
        }
        self.now = self.now.max(then);
        self.announcer.decide(self.now, self.process, &self.pools);
        self
    }

    /// Decides with the current inputs.
    fn decide_now(&mut self) -> &mut Site {
        self.run_until(self.now)
    }

    fn level(&self) -> AnnouncementLevel {
        self.announcer.views(self.now).next().expect("an address").level
    }

    fn reason(&self) -> StateReason {
        self.announcer.views(self.now).next().expect("an address").reason
    }

    /// A site whose address is announced.
    fn announced() -> Site {
        let mut site = Site::new(&[address(&["p"])]);
        site.set_health("p", of_ten(10)).run_until(5 * SECOND);
        assert_eq!(site.level(), AnnouncementLevel::Normal);
        site
    }
}

#[test]
fn ready_address_is_announced_exactly_after_the_hold_up_time() {
    let mut site = Site::new(&[address(&["p"])]);
    site.set_health("p", of_ten(10)).run_until(5 * SECOND - 1);
    assert_eq!((site.level(), site.reason()), (AnnouncementLevel::Withdrawn, StateReason::HoldUp));
    site.run_until(5 * SECOND);
    assert_eq!((site.level(), site.reason()), (AnnouncementLevel::Normal, StateReason::Ready));
    assert_eq!(site.announcer.announcements().values().next().expect("one").med, Some(10));
}

/// Guards against announcing an address on incomplete information: a missing or stale list, endpoints in slow
/// start, draining or unchecked, or a process that cannot serve.
#[test]
fn unready_pool_or_process_prevents_an_announcement() {
    let p = || "p".to_owned();
    let mut unready = vec![
        (PoolHealth::default(), StateReason::NoEndpointList(p())),
        (pool(&[]), StateReason::NoEndpointAvailable(p())),
        (of_ten(0), StateReason::NoEndpointAvailable(p())),
        (of_ten(2), StateReason::InsufficientCapacity(p(), 20)),
        (of_ten(4), StateReason::InsufficientCapacity(p(), 40)),
        (pool(&[None, None]), StateReason::WarmingUp(p())),
        (PoolHealth { stale: true, ..of_ten(10) }, StateReason::StaleEndpointList(p())),
    ];
    let mut cold = of_ten(10);
    cold.endpoints.iter_mut().flatten().for_each(|n| n.warm = false);
    unready.push((cold, StateReason::WarmingUp(p())));
    let mut draining = of_ten(10);
    draining.endpoints.iter_mut().flatten().skip(2).for_each(|n| n.ready = false);
    unready.push((draining, StateReason::InsufficientCapacity(p(), 20)));
    for (health, reason) in unready {
        let mut site = Site::new(&[address(&["p"])]);
        site.set_health("p", health.clone()).run_until(1000 * SECOND);
        assert_eq!((site.level(), site.reason()), (AnnouncementLevel::Withdrawn, reason), "{health:?}");
    }
    for process in [
        ProcessHealth { accepting: false, ..HEALTHY_PROCESS },
        ProcessHealth { alive: false, ..HEALTHY_PROCESS },
        ProcessHealth { memory_limit_exceeded: true, ..HEALTHY_PROCESS },
    ] {
        let mut site = Site::new(&[address(&["p"])]);
        site.process = process;
        site.set_health("p", of_ten(10)).run_until(1000 * SECOND);
        assert_eq!(site.level(), AnnouncementLevel::Withdrawn, "{process:?}");
    }
}

#[test]
fn failure_of_one_pool_withdraws_the_address() {
    let mut site = Site::new(&[address(&["p", "q"])]);
    site.set_health("p", of_ten(10)).set_health("q", of_ten(10)).run_until(10 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Normal);
    site.set_health("q", of_ten(0)).run_until(10 * SECOND);
    assert_eq!(
        (site.level(), site.reason()),
        (AnnouncementLevel::Withdrawn, StateReason::NoEndpointAvailable("q".to_owned()))
    );
    site.pools.remove("q");
    site.run_until(11 * SECOND);
    assert_eq!(site.reason(), StateReason::UnknownPool("q".to_owned()));
}

/// Guards against flap damping that also delays withdrawals.
#[test]
fn withdrawal_is_immediate_after_any_number_of_flaps() {
    for flaps in 0..20 {
        let mut site = Site::announced();
        for _ in 0..flaps {
            site.set_health("p", of_ten(0)).decide_now();
            let then = site.now + 100 * SECOND;
            site.set_health("p", of_ten(10)).run_until(then);
        }
        assert_eq!(site.level(), AnnouncementLevel::Normal);
        site.set_health("p", of_ten(0));
        assert!(site.announcer.decide(site.now, HEALTHY_PROCESS, &site.pools));
        assert_eq!(site.level(), AnnouncementLevel::Withdrawn, "after {flaps} flaps");
    }
}

/// Guards against decisions from the readiness in a stale list, which may be outdated. Failed health checks
/// still withdraw the address.
#[test]
fn stale_list_neither_withdraws_nor_announces() {
    let mut site = Site::announced();
    site.set_health("p", PoolHealth { stale: true, ..of_ten(10) }).run_until(10_000 * SECOND);
    assert_eq!(
        (site.level(), site.reason()),
        (AnnouncementLevel::Normal, StateReason::StaleEndpointList("p".to_owned()))
    );
    // The stale list reports the endpoints as draining, which may no longer be the case.
    let mut draining = PoolHealth { stale: true, ..of_ten(10) };
    draining.endpoints.iter_mut().flatten().for_each(|n| n.ready = false);
    site.set_health("p", draining).run_until(20_000 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Normal);
    // Failed health checks count, however old the list is.
    site.set_health("p", PoolHealth { stale: true, ..of_ten(0) }).run_until(20_000 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn);
    site.set_health("p", PoolHealth { stale: true, ..of_ten(10) }).run_until(30_000 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn);
    site.set_health("p", of_ten(10)).run_until(30_100 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Normal);
}

#[test]
fn address_degrades_at_once_and_recovers_after_the_hold_up_time() {
    let mut site = Site::announced();
    site.set_health("p", of_ten(7)).decide_now();
    assert_eq!(site.level(), AnnouncementLevel::Degraded);
    let attributes = site.announcer.announcements().into_values().next().expect("one");
    assert_eq!((attributes.med, attributes.prepend), (Some(100), 2));
    let then = site.now + 100 * SECOND;
    site.run_until(then).set_health("p", of_ten(9)).run_until(then + 4 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Degraded);
    site.run_until(then + 20 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Normal);
    // An address that is announced again below the degrade threshold is announced as degraded.
    site.set_health("p", of_ten(0)).run_until(then + 20 * SECOND);
    site.set_health("p", of_ten(6)).run_until(then + 200 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Degraded);
}

#[test]
fn operator_hold_withdraws_and_is_not_counted_as_a_flap() {
    let mut site = Site::announced();
    let prefix = "192.0.2.1/32".parse().expect("a prefix");
    assert!(site.announcer.hold(prefix, true));
    assert!(!site.announcer.hold("192.0.2.2/32".parse().expect("a prefix"), true));
    site.run_until(site.now);
    assert_eq!((site.level(), site.reason()), (AnnouncementLevel::Withdrawn, StateReason::HeldByOperator));
    site.announcer.hold(prefix, false);
    let then = site.now;
    site.run_until(then + 5 * SECOND - 1);
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn, "the hold-up time applies after a release");
    site.run_until(then + 5 * SECOND);
    let view = site.announcer.views(site.now).next().expect("one");
    assert_eq!((view.level, view.flaps, view.hold_up), (AnnouncementLevel::Normal, 0, 5 * SECOND));
}

/// Guards against a shutdown that drops requests because routers are not warned before the withdrawal.
#[test]
fn shutdown_announces_graceful_shutdown_before_withdrawal() {
    let mut site = Site::announced();
    let start = site.now;
    site.announcer.begin_shutdown(start, 3 * SECOND);
    site.run_until(start);
    let attributes = site.announcer.announcements().into_values().next().expect("one");
    assert_eq!(
        (site.level(), attributes.communities, attributes.local_pref),
        (AnnouncementLevel::GracefulShutdown, vec![0xffff_0000], 0)
    );
    site.run_until(start + 3 * SECOND - 1);
    assert_eq!(site.level(), AnnouncementLevel::GracefulShutdown);
    site.run_until(start + 3 * SECOND);
    assert!(site.announcer.announcements().is_empty());
    // An address whose endpoints fail during the delay is withdrawn at once and is not announced again.
    let mut site = Site::announced();
    site.announcer.begin_shutdown(site.now, 3 * SECOND);
    site.set_health("p", of_ten(0)).decide_now();
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn);
    let then = site.now + SECOND;
    site.set_health("p", of_ten(10)).run_until(then);
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn);
}

#[test]
fn reload_keeps_the_state_of_unchanged_addresses() {
    let mut site = Site::announced();
    let other = Address { prefix: "192.0.2.9/32".parse().expect("a prefix"), ..address(&["p"]) };
    let since = site.announcer.views(site.now).next().expect("one").since;
    site.now += SECOND;
    site.announcer.set(site.now, &[address(&["p"]), other.clone()]);
    site.run_until(site.now);
    let levels: Vec<_> = site.announcer.views(site.now).map(|v| (v.level, v.since)).collect();
    assert_eq!(levels[0], (AnnouncementLevel::Normal, since));
    assert_eq!(levels[1].0, AnnouncementLevel::Withdrawn);
    site.run_until(site.now + 5 * SECOND);
    assert_eq!(site.announcer.announcements().len(), 2);
    site.announcer.set(site.now, &[other]);
    assert_eq!(site.announcer.announcements().len(), 1);
}

/// Lets the endpoints fail and recover for a minute, with random durations from `shortest` to `longest`.
/// Returns when they last changed, the times of announcements, and the site.
fn simulate_flapping(seed: u64, shortest: Micros, longest: Micros) -> (Micros, Vec<Micros>, Site) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut site = Site::announced();
    let (start, mut announced, mut healthy) = (site.now, Vec::new(), true);
    while site.now < start + 60 * SECOND {
        let then = site.now + rng.i64(shortest..=longest);
        while site.now < then {
            let before = site.level();
            site.run_until((site.now + 20 * MS).min(then));
            if before == AnnouncementLevel::Withdrawn && site.level() != AnnouncementLevel::Withdrawn {
                announced.push(site.now);
            }
        }
        healthy = !healthy;
        site.set_health("p", of_ten(if healthy { 10 } else { 0 }));
    }
    site.set_health("p", of_ten(10));
    (site.now, announced, site)
}

/// Guards against an announcement per flap, and against a penalty that keeps the address withdrawn for longer
/// than the maximum hold-up time after the last flap.
#[test]
fn flapping_endpoints_cause_few_announcements_and_recovery_is_bounded() {
    for seed in 0..200 {
        // Flaps every few hundred milliseconds are shorter than any hold-up time, so nothing is announced.
        let (last, announced, mut site) = simulate_flapping(seed, 100 * MS, 500 * MS);
        assert_eq!(announced.len(), 0, "seed {seed}");
        site.run_until(last + DAMPING.max_hold_up);
        assert_eq!(site.level(), AnnouncementLevel::Normal, "seed {seed}");
        // Flaps slightly longer than the hold-up time are the worst case: each one lengthens the next hold-up
        // time.
        let (last, announced, mut site) = simulate_flapping(seed, 5 * SECOND, 12 * SECOND);
        assert!(announced.len() <= 3, "seed {seed}: {announced:?}");
        site.run_until(last + DAMPING.max_hold_up);
        assert_eq!(site.level(), AnnouncementLevel::Normal, "seed {seed}");
    }
}

#[test]
fn hold_up_time_decays_without_flaps() {
    let mut site = Site::announced();
    let mut longest = 0;
    for _ in 0..10 {
        site.set_health("p", of_ten(0)).decide_now();
        let hold_up = site.announcer.views(site.now).next().expect("one").hold_up;
        longest = longest.max(hold_up);
        let then = site.now + hold_up;
        site.set_health("p", of_ten(10)).run_until(then);
        assert_eq!(site.level(), AnnouncementLevel::Normal, "the hold-up time was longer than reported");
    }
    assert!(longest > 25 * SECOND && longest <= 60 * SECOND, "{longest}");
    site.run_until(site.now + 600 * SECOND);
    let hold_up = site.announcer.views(site.now).next().expect("one").hold_up;
    assert!(hold_up < 5100 * MS, "{hold_up}");
}

/// Guards against announcing an address that cannot be served, or before its hold-up time is over, after any
/// order of failures, recoveries and stale or missing lists.
#[test]
fn announced_address_can_serve_and_hold_up_is_complete_in_random_runs() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut site = Site::new(&[address(&["p", "q"])]);
        let mut unready_at = 0;
        for _ in 0..400 {
            let then = site.now + rng.i64(0..8 * SECOND);
            site.run_until(then);
            let health = match rng.u8(0..6) {
                0 => PoolHealth::default(),
                1 => PoolHealth { stale: true, ..of_ten(rng.usize(0..=10)) },
                _ => of_ten(rng.usize(0..=10)),
            };
            let name = if rng.bool() { "p" } else { "q" };
            let before = site.level();
            site.set_health(name, health);
            site.process.alive = rng.u8(0..20) > 0;
            site.run_until(site.now);
            let can_serve = site.process.alive
                && ["p", "q"].iter().all(|p| {
                    site.pools.get(*p).is_some_and(|pool| match &pool.endpoints {
                        None => true,
                        Some(endpoints) => endpoints.iter().filter(|e| e.healthy == Some(true)).count() >= 3,
                    })
                });
            assert!(can_serve || site.level() == AnnouncementLevel::Withdrawn, "seed {seed}");
            assert!(
                before != AnnouncementLevel::Withdrawn || site.level() == AnnouncementLevel::Withdrawn,
                "seed {seed}: announced at once"
            );
            let certain = can_serve
                && site.pools.len() == 2
                && site.pools.values().all(|p| !p.stale && p.endpoints.is_some());
            if !certain {
                unready_at = site.now;
            }
            let view = site.announcer.views(site.now).next().expect("one");
            assert!(view.hold_up >= DAMPING.hold_up && view.hold_up <= DAMPING.max_hold_up);
            if view.level == AnnouncementLevel::Normal && before == AnnouncementLevel::Withdrawn {
                assert!(site.now - unready_at >= DAMPING.hold_up, "seed {seed}");
            }
        }
    }
}
