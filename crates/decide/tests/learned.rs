//! Learned state: starts without it, with the balancer's own and with that of its peers, and state that is stale,
//! wrong or implausible.
mod common;

use common::world::{SimulatedEndpoint, World};
use common::{ready_endpoint, sent_to, settings, Proxy};
use decide::learned::{self, DecayedMean, LearnedState};
use decide::Balancer;
use decide::{Class, Endpoint, EndpointId, EndpointState, Micros, Outcome, Semantics, Settings};

const SECOND: Micros = 1_000_000;

/// Three balancers and ten endpoints, two of them slow, at somewhat more than these can serve.
fn world(seed: u64) -> World {
    let settings = Settings { balancers: 3, ..settings() };
    let servers = (0..10)
        .map(|i| SimulatedEndpoint { slots: 4, service_time: if i < 2 { 400_000 } else { 20_000 } })
        .collect();
    let mut world = World::new(&settings, servers, 580.0, seed);
    world.run(10 * SECOND);
    world
}

/// What each balancer has learned, exported this long ago.
fn states(world: &World, age: Micros) -> Vec<LearnedState> {
    let one = |b: &Balancer| LearnedState { age, ..b.learned_state(world.now) };
    world.balancers.iter().map(one).collect()
}

/// Counts of a span of time after a balancer was replaced: requests served within their objective, and attempts at
/// the slow endpoints.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    served: usize,
    /// Requests that a balancer served which was not replaced.
    peer: usize,
    slow: usize,
}

/// What a replaced balancer imports of the state of all of them, and when.
type Import<'a> = &'a dyn Fn(&[LearnedState], &mut Balancer, Micros);

const SPANS: [Micros; 3] = [SECOND, 3 * SECOND, 10 * SECOND];

/// Over some seeds and each span: a balancer goes on, or is replaced by one that imports something.
fn replay_replacement(seeds: u64, replaced: Option<Import<'_>>) -> [Served; 3] {
    let mut all = [Served::default(); 3];
    for seed in 0..seeds {
        let mut world = world(seed);
        let states = states(&world, SECOND);
        world.run(SECOND);
        let from = world.now;
        if let Some(import) = replaced {
            world.restart(0, seed + 77);
            import(&states, &mut world.balancers[0], from);
        }
        world.run(11 * SECOND);
        for (served, span) in all.iter_mut().zip(SPANS) {
            let to = from + span;
            served.served += world.served_in(0, from, to);
            served.peer += world.served_in(1, from, to);
            served.slow += world.sent[0].iter().filter(|(at, s)| (from..to).contains(at) && *s < 2).count();
        }
    }
    all
}

#[test]
fn import_saves_nine_tenths_of_what_a_start_without_state_loses() {
    const SEEDS: u64 = 4;
    let steady = replay_replacement(SEEDS, None);
    let cold = replay_replacement(SEEDS, Some(&|_, _, _| {}));
    let warm = replay_replacement(SEEDS, Some(&|states, b, now| b.import_learned_state(now, &states[..1])));
    let taught = replay_replacement(SEEDS, Some(&|states, b, now| b.import_learned_state(now, &states[1..])));
    for at in 0..SPANS.len() {
        let (steady, cold, warm, taught) = (steady[at], cold[at], warm[at], taught[at]);
        println!(
            "{} s: none replaced {steady:?}, cold {cold:?}, warm {warm:?}, taught {taught:?}",
            SPANS[at] / SECOND
        );
        let lost = |served: Served| steady.served.saturating_sub(served.served);
        assert!(10 * lost(warm) < lost(cold), "{warm:?} {cold:?} {steady:?}");
        assert!(5 * lost(taught) < lost(cold), "{taught:?} {cold:?} {steady:?}");
        // Beside its peers it does no worse than if it had gone on, but for chance.
        let beside = |served: Served| served.served as f64 / served.peer as f64;
        assert!(beside(taught) > 0.95 * beside(steady), "{taught:?} {steady:?}");
        let part = |served: Served| served.slow as f64 / served.served as f64;
        assert!(part(warm) < part(cold), "{warm:?} {cold:?}");
    }
}

#[test]
fn state_that_is_hours_old_has_no_effect() {
    let blind = replay_replacement(2, Some(&|_, _, _| {}))[1];
    for age in [3_600 * SECOND, Micros::MAX] {
        let old = |states: &[LearnedState]| -> Vec<LearnedState> {
            states.iter().map(|l| LearnedState { age, ..l.clone() }).collect()
        };
        let stale =
            replay_replacement(2, Some(&|states, b, now| b.import_learned_state(now, &old(states))))[1];
        let apart = stale.served.abs_diff(blind.served) as f64 / blind.served as f64;
        assert!(apart < 0.1, "{age}: {stale:?} {blind:?}");
    }
}

/// Slow endpoints have recovered, and others have become slow, since a state that is a minute old: within five seconds
/// each gets about its share.
#[test]
fn endpoints_that_changed_since_get_their_share_within_seconds() {
    for seed in 0..3 {
        let mut world = world(seed);
        let states = states(&world, 60 * SECOND);
        for server in &mut world.endpoints {
            server.service_time = 20_000;
        }
        world.endpoints[7].service_time = 400_000;
        world.rate = vec![300.0; 3];
        world.run(10 * SECOND);
        world.restart(0, seed + 3);
        let now = world.now;
        world.balancers[0].import_learned_state(now, &states[..1]);
        world.run(10 * SECOND);
        let calls = |server: usize| {
            world.sent[0].iter().filter(|(at, s)| *at > now + 5 * SECOND && *s == server).count() as f64
        };
        let good = (2..7).map(calls).sum::<f64>() / 5.0;
        assert!(
            calls(0) > good / 2.0 && calls(1) > good / 2.0,
            "seed {seed}: {} {} {good}",
            calls(0),
            calls(1)
        );
        assert!(calls(7) < good / 2.0, "seed {seed}: {} {good}", calls(7));
    }
}

/// A state by which all endpoints but one are dead, by latency and by ejection.
fn all_dead_but(one: u32, servers: u32, classes: usize) -> LearnedState {
    let dead = DecayedMean { sum: 1e12, weight: 1e6, age: 0 };
    let quick = DecayedMean { sum: 1e-6, weight: 1e6, age: 0 };
    let server = |id: u32| learned::LearnedEndpoint {
        id: EndpointId(id),
        classes: vec![if id == one { quick } else { dead }; classes],
        consecutive_failures: if id == one { 0 } else { 99 },
        ejected_for: if id == one { 0 } else { 3_600 * SECOND },
        ..learned::LearnedEndpoint::default()
    };
    LearnedState {
        uptime: 3_600 * SECOND,
        endpoints: (0..servers).map(server).collect(),
        ..LearnedState::default()
    }
}

#[test]
fn no_state_moves_all_requests_onto_one_endpoint() {
    for sources in 1..=3 {
        let settings = settings();
        let servers = (0..10).map(|_| SimulatedEndpoint { slots: 4, service_time: 20_000 }).collect();
        let mut world = World::new(&settings, servers, 400.0, 5);
        world.rate = vec![0.0];
        world.run(SECOND / 10);
        let implausible: Vec<LearnedState> = (0..sources).map(|_| all_dead_but(3, 10, 1)).collect();
        let now = world.now;
        world.balancers[0].import_learned_state(now, &implausible);
        world.rate = vec![400.0];
        world.run(4 * SECOND);
        let to_it = world.sent[0].iter().filter(|(_, s)| *s == 3).count();
        let all = world.sent[0].len();
        assert!(2 * to_it < all, "{to_it} of {all}, told by {sources}");
        let late = |(at, _): &&(Micros, usize)| *at > now + 3 * SECOND;
        let recent = world.sent[0].iter().filter(late).count();
        let recent_to_it = world.sent[0].iter().filter(late).filter(|(_, s)| *s == 3).count();
        assert!(5 * recent_to_it < 2 * recent, "{recent_to_it} of {recent} in the last second");
    }
}

#[test]
fn one_wrong_state_of_three_is_outvoted() {
    let calls_to_slow = |wrong: bool| {
        let good = |b: &Balancer, now| LearnedState { age: SECOND, ..b.learned_state(now) };
        let mut world = world(1);
        let mut all: Vec<LearnedState> = world.balancers[1..].iter().map(|b| good(b, world.now)).collect();
        if wrong {
            all.push(all_dead_but(0, 10, 1));
        }
        world.restart(0, 9);
        let now = world.now;
        world.balancers[0].import_learned_state(now, &all);
        world.run(2 * SECOND);
        world.sent[0].iter().filter(|(at, s)| *at >= now && *s < 2).count()
    };
    let (two, three) = (calls_to_slow(false), calls_to_slow(true));
    assert!(three < 3 * two + 30, "{two} calls to slow servers, {three} with a liar among the tellers");
}

#[test]
fn imported_state_does_not_override_drains_slow_start_or_semantics() {
    // A draining endpoint, a warming one and a class that must not run twice, with very good figures.
    let cold = Endpoint { up_since: Some(1_000_000), ..ready_endpoint(2, 0) };
    let draining = Endpoint { state: EndpointState::Draining, ..ready_endpoint(1, 0) };
    let class = Class { semantics: Semantics::AtMostOnce, ..settings().classes[0].clone() };
    let settings = Settings {
        classes: vec![class],
        slow_start_duration: 10 * SECOND,
        slow_start_min_capacity: 0.1,
        overload_multiple: 2.0,
        overload_window: SECOND,
        ..settings()
    };
    let list = [ready_endpoint(0, 0), draining, cold];
    let recommend = |ids: &[u32]| {
        let quick = DecayedMean { sum: 0.1, weight: 1e6, age: 0 };
        let of = |id: &u32| learned::LearnedEndpoint {
            id: EndpointId(*id),
            uptime: (*id == 2).then_some(0),
            classes: vec![quick],
            slow_start_tokens: 1e9,
            ..learned::LearnedEndpoint::default()
        };
        LearnedState {
            uptime: 3_600 * SECOND,
            endpoints: ids.iter().map(of).collect(),
            ..LearnedState::default()
        }
    };
    let mut importing = Proxy::new(settings.clone(), &list);
    let mut plain = Proxy::new(settings, &list);
    importing.balancer.import_learned_state(importing.now, &[recommend(&[1, 2])]);
    let mut to_cold = [0, 0];
    for (proxy, count) in [&mut importing, &mut plain].into_iter().zip(&mut to_cold) {
        for _ in 0..40 {
            let (id, actions) = proxy.request(0);
            for to in sent_to(&actions) {
                assert_ne!(to, EndpointId(1), "a drain is kept");
                *count += usize::from(to == EndpointId(2));
                let again = proxy.outcome(id, 0, to, Outcome::Reset, 1_000);
                assert!(sent_to(&again).is_empty(), "it may have run");
            }
            proxy.advance(10_000);
        }
    }
    assert!(to_cold[0] <= to_cold[1] + 2, "no cold server is pushed over: {to_cold:?}");
}

#[test]
fn restarted_endpoint_gets_no_state_of_its_former_process() {
    let list = |up: Micros| [Endpoint { up_since: Some(up), ..ready_endpoint(0, 0) }, ready_endpoint(1, 0)];
    let slow = |up_for: Micros| {
        let out = learned::LearnedEndpoint {
            id: EndpointId(0),
            uptime: Some(up_for),
            classes: vec![DecayedMean { sum: 600.0, weight: 100.0, age: 0 }],
            ..learned::LearnedEndpoint::default()
        };
        LearnedState { uptime: 3_600 * SECOND, endpoints: vec![out], ..LearnedState::default() }
    };
    let calls = |states: Option<LearnedState>| {
        let mut proxy = Proxy::new(settings(), &list(-500 * SECOND));
        proxy.balancer.import_learned_state(proxy.now, &states.into_iter().collect::<Vec<_>>());
        (0..20).filter(|_| sent_to(&proxy.request(0).1) == [EndpointId(0)]).count()
    };
    // At 1 s of its clock the process has been up for 501 s.
    assert!(calls(Some(slow(501 * SECOND))) < calls(None) / 2);
    assert_eq!(calls(Some(slow(400 * SECOND))), calls(None), "another start");
    let aged = LearnedState { age: 100 * SECOND, ..slow(401 * SECOND) };
    assert!(calls(Some(aged)) < calls(None), "the same start, told a while ago");
}

#[test]
fn implausible_state_neither_panics_nor_lasts() {
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e-300, 1e300, 1.0];
    let times = [Micros::MIN, -1, 0, 1, SECOND, Micros::MAX];
    let mut random = fastrand::Rng::with_seed(3);
    for round in 0..2_000 {
        let mut mean = || DecayedMean {
            sum: odd[random.usize(..odd.len())],
            weight: odd[random.usize(..odd.len())],
            age: times[random.usize(..times.len())],
        };
        let servers = (0..5).map(|id| learned::LearnedEndpoint {
            id: EndpointId(id),
            uptime: Some(mean().age).filter(|t| *t > 0),
            classes: vec![mean(), mean()],
            consecutive_failures: u32::MAX,
            ejected_for: mean().age,
            slow_start_tokens: mean().sum,
        });
        let servers = servers.collect();
        let implausible = LearnedState {
            age: mean().age,
            uptime: mean().age,
            endpoints: servers,
            latency_by_machine_kind: vec![(0, mean()), (usize::MAX, mean())],
            loss_by_zone: vec![(0, mean()), (9, mean())],
            typical_latency: vec![mean(), mean(), mean()],
            pool_latency: mean(),
            threshold_per_endpoint: mean().sum,
            cursor_position: mean().sum,
            baseline_latency: Some(mean().sum),
        };
        let mut proxy = Proxy::seeded(
            settings(),
            &[ready_endpoint(0, 0), ready_endpoint(1, 0), ready_endpoint(2, 0)],
            round,
        );
        proxy.balancer.import_learned_state(proxy.now, &[implausible.clone(), implausible]);
        proxy.advance(SECOND);
        let stated = proxy.balancer.learned_state(proxy.now);
        assert!(
            stated.threshold_per_endpoint.is_finite() && (0.0..=1.0).contains(&stated.cursor_position),
            "{round}: {stated:?}"
        );
        // Ten seconds later it serves like any other.
        proxy.advance(10 * SECOND);
        for _ in 0..5 {
            let (id, actions) = proxy.request(0);
            let to = sent_to(&actions);
            assert_eq!(to.len(), 1, "{round}: {actions:?}");
            proxy.outcome(id, 0, to[0], Outcome::Ok, 20_000);
        }
    }
}

/// Many balancers that start at once from the same file do not move in step.
#[test]
fn balancers_that_import_the_same_state_do_not_act_in_step() {
    let mut world = world(4);
    world.run(SECOND);
    let known =
        LearnedState { age: SECOND, cursor_position: 0.9, ..world.balancers[1].learned_state(world.now) };
    let places: std::collections::BTreeSet<u64> = (0..20)
        .map(|seed| {
            let mut proxy = Proxy::seeded(settings(), &[ready_endpoint(0, 0), ready_endpoint(1, 0)], seed);
            proxy.balancer.import_learned_state(proxy.now, std::slice::from_ref(&known));
            (proxy.balancer.learned_state(proxy.now).cursor_position * 1e6) as u64
        })
        .collect();
    assert!(places.len() >= 3, "{places:?}");
}
