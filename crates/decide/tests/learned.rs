//! What outlives a balancer: starts that are cold, warm and taught, and figures that are stale, wrong or mad.
mod common;

use common::world::{Server, World};
use common::{sent, server, settings, Proxy};
use decide::learned::{self, DecayedMean, LearnedState};
use decide::Balancer;
use decide::{Class, Endpoint, EndpointId, EndpointState, Micros, Outcome, Semantics, Settings};

const SECOND: Micros = 1_000_000;

/// Three balancers before ten servers, two of them slow, at somewhat more than these can do.
fn world(seed: u64) -> World {
    let settings = Settings { balancers: 3, ..settings() };
    let servers = (0..10).map(|i| Server { slots: 4, takes: if i < 2 { 400_000 } else { 20_000 } }).collect();
    let mut world = World::new(&settings, servers, 580.0, seed);
    world.run(10 * SECOND);
    world
}

/// What each balancer knows, so long ago.
fn told(world: &World, age: Micros) -> Vec<LearnedState> {
    let one = |b: &Balancer| LearnedState { age, ..b.learned_state(world.now) };
    world.balancers.iter().map(one).collect()
}

/// What came of a span of time after a balancer was replaced: served in its aim of what came, and calls to the slow
/// servers.
#[derive(Clone, Copy, Debug, Default)]
struct Came {
    served: usize,
    /// The same of one that went on.
    peer: usize,
    slow: usize,
}

/// What is done with a balancer at its start, given what all of them knew, and when it is.
type Teach<'a> = &'a dyn Fn(&[LearnedState], &mut Balancer, Micros);

const SPANS: [Micros; 3] = [SECOND, 3 * SECOND, 10 * SECOND];

/// Over some seeds and each span: a balancer goes on, or is replaced by one that is told something.
fn after(seeds: u64, replaced: Option<Teach<'_>>) -> [Came; 3] {
    let mut all = [Came::default(); 3];
    for seed in 0..seeds {
        let mut world = world(seed);
        let told = told(&world, SECOND);
        world.run(SECOND);
        let from = world.now;
        if let Some(teach) = replaced {
            world.restart(0, seed + 77);
            teach(&told, &mut world.balancers[0], from);
        }
        world.run(11 * SECOND);
        for (came, span) in all.iter_mut().zip(SPANS) {
            let to = from + span;
            came.served += world.served_in(0, from, to);
            came.peer += world.served_in(1, from, to);
            came.slow += world.sent[0].iter().filter(|(at, s)| (from..to).contains(at) && *s < 2).count();
        }
    }
    all
}

#[test]
fn a_warm_start_loses_less_than_a_tenth_of_what_a_cold_one_does() {
    const SEEDS: u64 = 4;
    let steady = after(SEEDS, None);
    let cold = after(SEEDS, Some(&|_, _, _| {}));
    let warm = after(SEEDS, Some(&|told, b, now| b.import_learned_state(now, &told[..1])));
    let taught = after(SEEDS, Some(&|told, b, now| b.import_learned_state(now, &told[1..])));
    for at in 0..SPANS.len() {
        let (steady, cold, warm, taught) = (steady[at], cold[at], warm[at], taught[at]);
        println!(
            "{} s: none replaced {steady:?}, cold {cold:?}, warm {warm:?}, taught {taught:?}",
            SPANS[at] / SECOND
        );
        let lost = |came: Came| steady.served.saturating_sub(came.served);
        assert!(10 * lost(warm) < lost(cold), "{warm:?} {cold:?} {steady:?}");
        assert!(5 * lost(taught) < lost(cold), "{taught:?} {cold:?} {steady:?}");
        // No worse beside its peers than if it had gone on, but for chance.
        let beside = |came: Came| came.served as f64 / came.peer as f64;
        assert!(beside(taught) > 0.95 * beside(steady), "{taught:?} {steady:?}");
        let part = |came: Came| came.slow as f64 / came.served as f64;
        assert!(part(warm) < part(cold), "{warm:?} {cold:?}");
    }
}

#[test]
fn figures_of_hours_ago_say_nothing() {
    let blind = after(2, Some(&|_, _, _| {}))[1];
    for age in [3_600 * SECOND, Micros::MAX] {
        let old = |told: &[LearnedState]| -> Vec<LearnedState> {
            told.iter().map(|l| LearnedState { age, ..l.clone() }).collect()
        };
        let stale = after(2, Some(&|told, b, now| b.import_learned_state(now, &old(told))))[1];
        let apart = stale.served.abs_diff(blind.served) as f64 / blind.served as f64;
        assert!(apart < 0.1, "{age}: {stale:?} {blind:?}");
    }
}

/// Servers that were slow have recovered, and others have become slow, since a minute-old telling: within five seconds
/// each gets about its share.
#[test]
fn servers_that_changed_since_get_their_share_within_seconds() {
    for seed in 0..3 {
        let mut world = world(seed);
        let told = told(&world, 60 * SECOND);
        for server in &mut world.servers {
            server.takes = 20_000;
        }
        world.servers[7].takes = 400_000;
        world.rate = vec![300.0; 3];
        world.run(10 * SECOND);
        world.restart(0, seed + 3);
        let now = world.now;
        world.balancers[0].import_learned_state(now, &told[..1]);
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

/// A telling by which all servers but one are dead, as figures and as servers that are out.
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
fn no_telling_moves_all_calls_onto_one_server() {
    for tellers in 1..=3 {
        let settings = settings();
        let servers = (0..10).map(|_| Server { slots: 4, takes: 20_000 }).collect();
        let mut world = World::new(&settings, servers, 400.0, 5);
        world.rate = vec![0.0];
        world.run(SECOND / 10);
        let mad: Vec<LearnedState> = (0..tellers).map(|_| all_dead_but(3, 10, 1)).collect();
        let now = world.now;
        world.balancers[0].import_learned_state(now, &mad);
        world.rate = vec![400.0];
        world.run(4 * SECOND);
        let to_it = world.sent[0].iter().filter(|(_, s)| *s == 3).count();
        let all = world.sent[0].len();
        assert!(2 * to_it < all, "{to_it} of {all}, told by {tellers}");
        let late = |(at, _): &&(Micros, usize)| *at > now + 3 * SECOND;
        let recent = world.sent[0].iter().filter(late).count();
        let recent_to_it = world.sent[0].iter().filter(late).filter(|(_, s)| *s == 3).count();
        assert!(5 * recent_to_it < 2 * recent, "{recent_to_it} of {recent} in the last second");
    }
}

#[test]
fn one_wrong_telling_among_three_is_outvoted() {
    let told = |wrong: bool| {
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
    let (two, three) = (told(false), told(true));
    assert!(three < 3 * two + 30, "{two} calls to slow servers, {three} with a liar among the tellers");
}

#[test]
fn what_is_told_touches_no_rule() {
    // A drain, a server that is cold, and a class that must not run twice, with the best of recommendations.
    let cold = Endpoint { up_since: Some(1_000_000), ..server(2, 0) };
    let draining = Endpoint { state: EndpointState::Draining, ..server(1, 0) };
    let class = Class { semantics: Semantics::AtMostOnce, ..settings().classes[0].clone() };
    let settings = Settings {
        classes: vec![class],
        slow_start_duration: 10 * SECOND,
        slow_start_min_capacity: 0.1,
        overload_multiple: 2.0,
        overload_window: SECOND,
        ..settings()
    };
    let list = [server(0, 0), draining, cold];
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
    let (mut told, mut untold) = (Proxy::new(settings.clone(), &list), Proxy::new(settings, &list));
    told.balancer.import_learned_state(told.now, &[recommend(&[1, 2])]);
    let mut to_cold = [0, 0];
    for (proxy, count) in [&mut told, &mut untold].into_iter().zip(&mut to_cold) {
        for _ in 0..40 {
            let (id, actions) = proxy.request(0);
            for to in sent(&actions) {
                assert_ne!(to, EndpointId(1), "a drain is kept");
                *count += usize::from(to == EndpointId(2));
                let again = proxy.outcome(id, 0, to, Outcome::Reset, 1_000);
                assert!(sent(&again).is_empty(), "it may have run");
            }
            proxy.wait(10_000);
        }
    }
    assert!(to_cold[0] <= to_cold[1] + 2, "no cold server is pushed over: {to_cold:?}");
}

#[test]
fn another_process_of_a_server_has_nothing_of_the_former() {
    let list = |up: Micros| [Endpoint { up_since: Some(up), ..server(0, 0) }, server(1, 0)];
    let slow = |up_for: Micros| {
        let out = learned::LearnedEndpoint {
            id: EndpointId(0),
            uptime: Some(up_for),
            classes: vec![DecayedMean { sum: 600.0, weight: 100.0, age: 0 }],
            ..learned::LearnedEndpoint::default()
        };
        LearnedState { uptime: 3_600 * SECOND, endpoints: vec![out], ..LearnedState::default() }
    };
    let calls = |told: Option<LearnedState>| {
        let mut proxy = Proxy::new(settings(), &list(-500 * SECOND));
        proxy.balancer.import_learned_state(proxy.now, &told.into_iter().collect::<Vec<_>>());
        (0..20).filter(|_| sent(&proxy.request(0).1) == [EndpointId(0)]).count()
    };
    // At 1 s of its clock the process has been up for 501 s.
    assert!(calls(Some(slow(501 * SECOND))) < calls(None) / 2);
    assert_eq!(calls(Some(slow(400 * SECOND))), calls(None), "another start");
    let aged = LearnedState { age: 100 * SECOND, ..slow(401 * SECOND) };
    assert!(calls(Some(aged)) < calls(None), "the same start, told a while ago");
}

#[test]
fn no_figures_panic_or_stick() {
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
        let mad = LearnedState {
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
        let mut proxy = Proxy::seeded(settings(), &[server(0, 0), server(1, 0), server(2, 0)], round);
        proxy.balancer.import_learned_state(proxy.now, &[mad.clone(), mad]);
        proxy.wait(SECOND);
        let stated = proxy.balancer.learned_state(proxy.now);
        assert!(
            stated.threshold_per_endpoint.is_finite() && (0.0..=1.0).contains(&stated.cursor_position),
            "{round}: {stated:?}"
        );
        // Ten seconds later it serves as any other.
        proxy.wait(10 * SECOND);
        for _ in 0..5 {
            let (id, actions) = proxy.request(0);
            let to = sent(&actions);
            assert_eq!(to.len(), 1, "{round}: {actions:?}");
            proxy.outcome(id, 0, to[0], Outcome::Ok, 20_000);
        }
    }
}

/// Many that start at once from the same file do not move in step.
#[test]
fn those_who_read_the_same_act_each_a_little_otherwise() {
    let mut world = world(4);
    world.run(SECOND);
    let known =
        LearnedState { age: SECOND, cursor_position: 0.9, ..world.balancers[1].learned_state(world.now) };
    let places: std::collections::BTreeSet<u64> = (0..20)
        .map(|seed| {
            let mut proxy = Proxy::seeded(settings(), &[server(0, 0), server(1, 0)], seed);
            proxy.balancer.import_learned_state(proxy.now, std::slice::from_ref(&known));
            (proxy.balancer.learned_state(proxy.now).cursor_position * 1e6) as u64
        })
        .collect();
    assert!(places.len() >= 3, "{places:?}");
}
