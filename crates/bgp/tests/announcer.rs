//! When an address is announced and when not, in simulated time over many seeds.

use std::collections::BTreeMap;

use bgp::{
    Address, AnnouncementLevel, Announcer, Attributes, Damping, EndpointHealth, Micros, PoolHealth,
    ProcessHealth, StateReason, Thresholds, SECOND,
};

const MS: Micros = 1000;
const WELL: ProcessHealth = ProcessHealth { accepting: true, alive: true, memory_full: false };
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

fn node(answers: Option<bool>) -> EndpointHealth {
    EndpointHealth { weight: 1.0, ready: true, warm: true, healthy: answers }
}

fn pool(answers: &[Option<bool>]) -> PoolHealth {
    PoolHealth { endpoints: Some(answers.iter().map(|a| node(*a)).collect()), stale: false }
}

/// Ten nodes, of which so many answer.
fn of_ten(well: usize) -> PoolHealth {
    pool(&(0..10).map(|i| Some(i < well)).collect::<Vec<_>>())
}

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
        Site { announcer, now: 0, pools: BTreeMap::new(), process: WELL }
    }

    fn health(&mut self, name: &str, health: PoolHealth) -> &mut Site {
        self.pools.insert(name.to_owned(), health);
        self
    }

    /// Goes on to this time, as the shell does: decides at once and whenever the announcer asks for it.
    fn until(&mut self, then: Micros) -> &mut Site {
        self.announcer.decide(self.now, self.process, &self.pools);
        while let Some(at) = self.announcer.next_decision(self.now).filter(|at| *at <= then) {
            self.now = at.max(self.now);
            self.announcer.decide(self.now, self.process, &self.pools);
        }
        self.now = self.now.max(then);
        self.announcer.decide(self.now, self.process, &self.pools);
        self
    }

    /// Decides by what is known now.
    fn now_on(&mut self) -> &mut Site {
        self.until(self.now)
    }

    fn level(&self) -> AnnouncementLevel {
        self.announcer.views(self.now).next().expect("an address").level
    }

    fn why(&self) -> StateReason {
        self.announcer.views(self.now).next().expect("an address").reason
    }

    fn up() -> Site {
        let mut site = Site::new(&[address(&["p"])]);
        site.health("p", of_ten(10)).until(5 * SECOND);
        assert_eq!(site.level(), AnnouncementLevel::Normal);
        site
    }
}

#[test]
fn announced_after_the_hold_up_and_not_a_microsecond_before() {
    let mut site = Site::new(&[address(&["p"])]);
    site.health("p", of_ten(10)).until(5 * SECOND - 1);
    assert_eq!((site.level(), site.why()), (AnnouncementLevel::Withdrawn, StateReason::HoldUp));
    site.until(5 * SECOND);
    assert_eq!((site.level(), site.why()), (AnnouncementLevel::Normal, StateReason::Ready));
    assert_eq!(site.announcer.announcements().values().next().expect("one").med, Some(10));
}

#[test]
fn only_what_is_truly_ready_counts_before_it_is_announced() {
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
    for (health, why) in unready {
        let mut site = Site::new(&[address(&["p"])]);
        site.health("p", health.clone()).until(1000 * SECOND);
        assert_eq!((site.level(), site.why()), (AnnouncementLevel::Withdrawn, why), "{health:?}");
    }
    for process in [
        ProcessHealth { accepting: false, ..WELL },
        ProcessHealth { alive: false, ..WELL },
        ProcessHealth { memory_full: true, ..WELL },
    ] {
        let mut site = Site::new(&[address(&["p"])]);
        site.process = process;
        site.health("p", of_ten(10)).until(1000 * SECOND);
        assert_eq!(site.level(), AnnouncementLevel::Withdrawn, "{process:?}");
    }
}

#[test]
fn every_pool_behind_an_address_has_to_serve() {
    let mut site = Site::new(&[address(&["p", "q"])]);
    site.health("p", of_ten(10)).health("q", of_ten(10)).until(10 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Normal);
    site.health("q", of_ten(0)).until(10 * SECOND);
    assert_eq!(
        (site.level(), site.why()),
        (AnnouncementLevel::Withdrawn, StateReason::NoEndpointAvailable("q".to_owned()))
    );
    site.pools.remove("q");
    site.until(11 * SECOND);
    assert_eq!(site.why(), StateReason::UnknownPool("q".to_owned()));
}

#[test]
fn a_withdrawal_waits_for_nothing() {
    for flaps in 0..20 {
        let mut site = Site::up();
        for _ in 0..flaps {
            site.health("p", of_ten(0)).now_on();
            let then = site.now + 100 * SECOND;
            site.health("p", of_ten(10)).until(then);
        }
        assert_eq!(site.level(), AnnouncementLevel::Normal);
        site.health("p", of_ten(0));
        assert!(site.announcer.decide(site.now, WELL, &site.pools));
        assert_eq!(site.level(), AnnouncementLevel::Withdrawn, "after {flaps} flaps");
    }
}

#[test]
fn an_old_list_withdraws_nothing_and_announces_nothing() {
    let mut site = Site::up();
    site.health("p", PoolHealth { stale: true, ..of_ten(10) }).until(10_000 * SECOND);
    assert_eq!(
        (site.level(), site.why()),
        (AnnouncementLevel::Normal, StateReason::StaleEndpointList("p".to_owned()))
    );
    // It says that they drain: that may be long over.
    let mut draining = PoolHealth { stale: true, ..of_ten(10) };
    draining.endpoints.iter_mut().flatten().for_each(|n| n.ready = false);
    site.health("p", draining).until(20_000 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Normal);
    // But that nobody answers is seen, however old the list.
    site.health("p", PoolHealth { stale: true, ..of_ten(0) }).until(20_000 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn);
    site.health("p", PoolHealth { stale: true, ..of_ten(10) }).until(30_000 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn);
    site.health("p", of_ten(10)).until(30_100 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Normal);
}

#[test]
fn worse_at_once_and_better_after_a_hold_up() {
    let mut site = Site::up();
    site.health("p", of_ten(7)).now_on();
    assert_eq!(site.level(), AnnouncementLevel::Degraded);
    let told = site.announcer.announcements().into_values().next().expect("one");
    assert_eq!((told.med, told.prepend), (Some(100), 2));
    let then = site.now + 100 * SECOND;
    site.until(then).health("p", of_ten(9)).until(then + 4 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Degraded);
    site.until(then + 20 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Normal);
    // Announced again while there is less than usual, it is announced as that.
    site.health("p", of_ten(0)).until(then + 20 * SECOND);
    site.health("p", of_ten(6)).until(then + 200 * SECOND);
    assert_eq!(site.level(), AnnouncementLevel::Degraded);
}

#[test]
fn an_operator_holds_and_releases_and_that_is_no_flap() {
    let mut site = Site::up();
    let prefix = "192.0.2.1/32".parse().expect("a prefix");
    assert!(site.announcer.hold(prefix, true));
    assert!(!site.announcer.hold("192.0.2.2/32".parse().expect("a prefix"), true));
    site.until(site.now);
    assert_eq!((site.level(), site.why()), (AnnouncementLevel::Withdrawn, StateReason::HeldByOperator));
    site.announcer.hold(prefix, false);
    let then = site.now;
    site.until(then + 5 * SECOND - 1);
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn, "also then it has to be ready for a while");
    site.until(then + 5 * SECOND);
    let view = site.announcer.views(site.now).next().expect("one");
    assert_eq!((view.level, view.flaps, view.hold_up), (AnnouncementLevel::Normal, 0, 5 * SECOND));
}

#[test]
fn the_end_is_announced_before_it_comes() {
    let mut site = Site::up();
    let start = site.now;
    site.announcer.begin_shutdown(start, 3 * SECOND);
    site.until(start);
    let told = site.announcer.announcements().into_values().next().expect("one");
    assert_eq!(
        (site.level(), told.communities, told.local_pref),
        (AnnouncementLevel::GracefulShutdown, vec![0xffff_0000], 0)
    );
    site.until(start + 3 * SECOND - 1);
    assert_eq!(site.level(), AnnouncementLevel::GracefulShutdown);
    site.until(start + 3 * SECOND);
    assert!(site.announcer.announcements().is_empty());
    // One whose nodes go in the meantime does not wait, and one that was down does not come up.
    let mut site = Site::up();
    site.announcer.begin_shutdown(site.now, 3 * SECOND);
    site.health("p", of_ten(0)).now_on();
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn);
    let then = site.now + SECOND;
    site.health("p", of_ten(10)).until(then);
    assert_eq!(site.level(), AnnouncementLevel::Withdrawn);
}

#[test]
fn a_reload_leaves_what_did_not_change_as_it_is() {
    let mut site = Site::up();
    let other = Address { prefix: "192.0.2.9/32".parse().expect("a prefix"), ..address(&["p"]) };
    let since = site.announcer.views(site.now).next().expect("one").since;
    site.now += SECOND;
    site.announcer.set(site.now, &[address(&["p"]), other.clone()]);
    site.until(site.now);
    let levels: Vec<_> = site.announcer.views(site.now).map(|v| (v.level, v.since)).collect();
    assert_eq!(levels[0], (AnnouncementLevel::Normal, since));
    assert_eq!(levels[1].0, AnnouncementLevel::Withdrawn);
    site.until(site.now + 5 * SECOND);
    assert_eq!(site.announcer.announcements().len(), 2);
    site.announcer.set(site.now, &[other]);
    assert_eq!(site.announcer.announcements().len(), 1);
}

/// Plays nodes that come and go for a minute, and says when they last changed and each time of an
/// announcement.
fn flapping(seed: u64, least: Micros, most: Micros) -> (Micros, Vec<Micros>, Site) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut site = Site::up();
    let (start, mut announced, mut well) = (site.now, Vec::new(), true);
    while site.now < start + 60 * SECOND {
        let then = site.now + rng.i64(least..=most);
        while site.now < then {
            let before = site.level();
            site.until((site.now + 20 * MS).min(then));
            if before == AnnouncementLevel::Withdrawn && site.level() != AnnouncementLevel::Withdrawn {
                announced.push(site.now);
            }
        }
        well = !well;
        site.health("p", of_ten(if well { 10 } else { 0 }));
    }
    site.health("p", of_ten(10));
    (site.now, announced, site)
}

#[test]
fn nodes_that_flap_for_a_minute_cost_few_announcements_and_service_is_back_in_a_stated_time() {
    for seed in 0..200 {
        // Every few hundred milliseconds: quicker than any hold-up, so nothing is announced at all.
        let (last, announced, mut site) = flapping(seed, 100 * MS, 500 * MS);
        assert_eq!(announced.len(), 0, "seed {seed}");
        site.until(last + DAMPING.max_hold_up);
        assert_eq!(site.level(), AnnouncementLevel::Normal, "seed {seed}");
        // Just slower than the hold-up, the worst there is: each flap makes the next hold-up longer.
        let (last, announced, mut site) = flapping(seed, 5 * SECOND, 12 * SECOND);
        assert!(announced.len() <= 3, "seed {seed}: {announced:?}");
        site.until(last + DAMPING.max_hold_up);
        assert_eq!(site.level(), AnnouncementLevel::Normal, "seed {seed}");
    }
}

#[test]
fn in_calm_the_hold_up_shrinks_again() {
    let mut site = Site::up();
    let mut longest = 0;
    for _ in 0..10 {
        site.health("p", of_ten(0)).now_on();
        let hold_up = site.announcer.views(site.now).next().expect("one").hold_up;
        longest = longest.max(hold_up);
        let then = site.now + hold_up;
        site.health("p", of_ten(10)).until(then);
        assert_eq!(site.level(), AnnouncementLevel::Normal, "never longer than it was said to be");
    }
    assert!(longest > 25 * SECOND && longest <= 60 * SECOND, "{longest}");
    site.until(site.now + 600 * SECOND);
    let hold_up = site.announcer.views(site.now).next().expect("one").hold_up;
    assert!(hold_up < 5100 * MS, "{hold_up}");
}

#[test]
fn whatever_happens_what_is_announced_can_serve_and_no_hold_up_is_cut_short() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut site = Site::new(&[address(&["p", "q"])]);
        let mut broken_at = 0;
        for _ in 0..400 {
            let then = site.now + rng.i64(0..8 * SECOND);
            site.until(then);
            let health = match rng.u8(0..6) {
                0 => PoolHealth::default(),
                1 => PoolHealth { stale: true, ..of_ten(rng.usize(0..=10)) },
                _ => of_ten(rng.usize(0..=10)),
            };
            let name = if rng.bool() { "p" } else { "q" };
            let before = site.level();
            site.health(name, health);
            site.process.alive = rng.u8(0..20) > 0;
            site.until(site.now);
            let can = site.process.alive
                && ["p", "q"].iter().all(|p| {
                    site.pools.get(*p).is_some_and(|pool| match &pool.endpoints {
                        None => true,
                        Some(nodes) => nodes.iter().filter(|n| n.healthy == Some(true)).count() >= 3,
                    })
                });
            assert!(can || site.level() == AnnouncementLevel::Withdrawn, "seed {seed}");
            assert!(
                before != AnnouncementLevel::Withdrawn || site.level() == AnnouncementLevel::Withdrawn,
                "seed {seed}: at once"
            );
            let sure = can
                && site.pools.len() == 2
                && site.pools.values().all(|p| !p.stale && p.endpoints.is_some());
            if !sure {
                broken_at = site.now;
            }
            let view = site.announcer.views(site.now).next().expect("one");
            assert!(view.hold_up >= DAMPING.hold_up && view.hold_up <= DAMPING.max_hold_up);
            if view.level == AnnouncementLevel::Normal && before == AnnouncementLevel::Withdrawn {
                assert!(site.now - broken_at >= DAMPING.hold_up, "seed {seed}");
            }
        }
    }
}
