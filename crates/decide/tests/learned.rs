//! Learned state: starts without it, with the balancer's own state and with that of its peers, and state that
//! is stale, wrong or implausible.
mod common;

use common::world::{SimulatedEndpoint, World};
use common::{ready_endpoint, sent_to, settings, Proxy};
use decide::learned::{self, DecayedMean, LearnedState};
use decide::Balancer;
use decide::{Class, Endpoint, EndpointId, EndpointState, Micros, Outcome, Semantics, Settings};

const SECOND: Micros = 1_000_000;

/// Three balancers and ten endpoints, two of them slow, ten seconds into a load somewhat above their
/// capacity.
fn world(seed: u64) -> World {
    let settings = Settings { balancers: 3, ..settings() };
    let endpoints = (0..10)
        .map(|i| SimulatedEndpoint { slots: 4, service_time: if i < 2 { 400_000 } else { 20_000 } })
        .collect();
    let mut world = World::new(&settings, endpoints, 580.0, seed);
    world.run(10 * SECOND);
    world
}

/// The learned state of each balancer, with the given age since its export.
fn states(world: &World, age: Micros) -> Vec<LearnedState> {
    let export = |b: &Balancer| LearnedState { age, ..b.learned_state(world.now) };
    world.balancers.iter().map(export).collect()
}

/// Counts for balancer 0 and a peer over a span of time that begins when balancer 0 is replaced, if it is.
#[derive(Clone, Copy, Debug, Default)]
struct SpanCounts {
    /// Requests that balancer 0 served within their latency objective.
    served: usize,
    /// Requests that balancer 1, which is never replaced, served within their latency objective.
    served_by_peer: usize,
    /// Attempts of balancer 0 at the slow endpoints.
    slow_attempts: usize,
}

/// A function that imports some of the states of all balancers into the new balancer, at a given time.
type Import<'a> = &'a dyn Fn(&[LearnedState], &mut Balancer, Micros);

const SPANS: [Micros; 3] = [SECOND, 3 * SECOND, 10 * SECOND];

/// Counts over each of `SPANS`, summed over a number of seeds. Balancer 0 is replaced and its successor
/// imports state with `import`; with `None` it is not replaced.
fn count_after_replacement(seeds: u64, import: Option<Import<'_>>) -> [SpanCounts; 3] {
    let mut all = [SpanCounts::default(); 3];
    for seed in 0..seeds {
        let mut world = world(seed);
        let states = states(&world, SECOND);
        world.run(SECOND);
        let from = world.now;
        if let Some(import) = import {
            world.restart(0, seed + 77);
            import(&states, &mut world.balancers[0], from);
        }
        world.run(11 * SECOND);
        for (counts, span) in all.iter_mut().zip(SPANS) {
            let to = from + span;
            counts.served += world.served_in(0, from, to);
            counts.served_by_peer += world.served_in(1, from, to);
            counts.slow_attempts +=
                world.sent[0].iter().filter(|(at, s)| (from..to).contains(at) && *s < 2).count();
        }
    }
    all
}

/// Guards against an import with little effect: the new balancer then serves fewer requests in time and sends
/// more to slow endpoints than if it had not been replaced.
#[test]
fn import_of_own_state_saves_nine_tenths_of_the_loss_of_a_start_without_state() {
    const SEEDS: u64 = 4;
    let not_replaced = count_after_replacement(SEEDS, None);
    let without_state = count_after_replacement(SEEDS, Some(&|_, _, _| {}));
    let with_own_state =
        count_after_replacement(SEEDS, Some(&|states, b, now| b.import_learned_state(now, &states[..1])));
    let with_peer_state =
        count_after_replacement(SEEDS, Some(&|states, b, now| b.import_learned_state(now, &states[1..])));
    for at in 0..SPANS.len() {
        let (not_replaced, without_state, with_own_state, with_peer_state) =
            (not_replaced[at], without_state[at], with_own_state[at], with_peer_state[at]);
        println!(
            "{} s: not replaced {not_replaced:?}, without state {without_state:?}, with own state {with_own_state:?}, \
             with peer state {with_peer_state:?}",
            SPANS[at] / SECOND
        );
        let lost = |counts: SpanCounts| not_replaced.served.saturating_sub(counts.served);
        assert!(
            10 * lost(with_own_state) < lost(without_state),
            "{with_own_state:?} {without_state:?} {not_replaced:?}"
        );
        assert!(
            5 * lost(with_peer_state) < lost(without_state),
            "{with_peer_state:?} {without_state:?} {not_replaced:?}"
        );
        // Relative to a peer it serves as much as if it had not been replaced, apart from chance.
        let relative_to_peer = |counts: SpanCounts| counts.served as f64 / counts.served_by_peer as f64;
        assert!(
            relative_to_peer(with_peer_state) > 0.95 * relative_to_peer(not_replaced),
            "{with_peer_state:?} {not_replaced:?}"
        );
        let slow_fraction = |counts: SpanCounts| counts.slow_attempts as f64 / counts.served as f64;
        assert!(
            slow_fraction(with_own_state) < slow_fraction(without_state),
            "{with_own_state:?} {without_state:?}"
        );
    }
}

/// Guards against old state that still has an effect: as many requests are served as after a start without
/// state, within a tenth.
#[test]
fn state_that_is_hours_old_has_no_effect() {
    let without_state = count_after_replacement(2, Some(&|_, _, _| {}))[1];
    for age in [3_600 * SECOND, Micros::MAX] {
        let old = |states: &[LearnedState]| -> Vec<LearnedState> {
            states.iter().map(|l| LearnedState { age, ..l.clone() }).collect()
        };
        let stale =
            count_after_replacement(2, Some(&|states, b, now| b.import_learned_state(now, &old(states))))[1];
        let difference = stale.served.abs_diff(without_state.served) as f64 / without_state.served as f64;
        assert!(difference < 0.1, "{age}: {stale:?} {without_state:?}");
    }
}

/// Guards against imported state that outweighs current latencies. After an export that is a minute old, the
/// slow endpoints recover and another becomes slow; within five seconds each gets about its share.
#[test]
fn endpoints_that_changed_since_the_export_get_their_share_within_seconds() {
    for seed in 0..3 {
        let mut world = world(seed);
        let states = states(&world, 60 * SECOND);
        for endpoint in &mut world.endpoints {
            endpoint.service_time = 20_000;
        }
        world.endpoints[7].service_time = 400_000;
        world.rate = vec![300.0; 3];
        world.run(10 * SECOND);
        world.restart(0, seed + 3);
        let now = world.now;
        world.balancers[0].import_learned_state(now, &states[..1]);
        world.run(10 * SECOND);
        let attempts = |endpoint: usize| {
            world.sent[0].iter().filter(|(at, s)| *at > now + 5 * SECOND && *s == endpoint).count() as f64
        };
        let mean_of_fast = (2..7).map(attempts).sum::<f64>() / 5.0;
        assert!(
            attempts(0) > mean_of_fast / 2.0 && attempts(1) > mean_of_fast / 2.0,
            "seed {seed}: {} {} {mean_of_fast}",
            attempts(0),
            attempts(1)
        );
        assert!(attempts(7) < mean_of_fast / 2.0, "seed {seed}: {} {mean_of_fast}", attempts(7));
    }
}

/// A state that shows all endpoints but one as dead, by latency and by ejection.
fn all_dead_but(one: u32, endpoints: u32, classes: usize) -> LearnedState {
    let dead = DecayedMean { sum: 1e12, weight: 1e6, age: 0 };
    let quick = DecayedMean { sum: 1e-6, weight: 1e6, age: 0 };
    let endpoint = |id: u32| learned::LearnedEndpoint {
        id: EndpointId(id),
        classes: vec![if id == one { quick } else { dead }; classes],
        consecutive_failures: if id == one { 0 } else { 99 },
        ejected_for: if id == one { 0 } else { 3_600 * SECOND },
        ..learned::LearnedEndpoint::default()
    };
    LearnedState {
        uptime: 3_600 * SECOND,
        endpoints: (0..endpoints).map(endpoint).collect(),
        ..LearnedState::default()
    }
}

/// Guards against a wrong state, also if each source sends the same one, that overloads the one endpoint it
/// favours.
#[test]
fn no_state_moves_all_requests_onto_one_endpoint() {
    for sources in 1..=3 {
        let settings = settings();
        let endpoints = (0..10).map(|_| SimulatedEndpoint { slots: 4, service_time: 20_000 }).collect();
        let mut world = World::new(&settings, endpoints, 400.0, 5);
        world.rate = vec![0.0];
        world.run(SECOND / 10);
        let implausible: Vec<LearnedState> = (0..sources).map(|_| all_dead_but(3, 10, 1)).collect();
        let now = world.now;
        world.balancers[0].import_learned_state(now, &implausible);
        world.rate = vec![400.0];
        world.run(4 * SECOND);
        let to_endpoint = world.sent[0].iter().filter(|(_, s)| *s == 3).count();
        let all = world.sent[0].len();
        assert!(2 * to_endpoint < all, "{to_endpoint} of {all}, with {sources} states");
        let late = |(at, _): &&(Micros, usize)| *at > now + 3 * SECOND;
        let recent = world.sent[0].iter().filter(late).count();
        let recent_to_endpoint = world.sent[0].iter().filter(late).filter(|(_, s)| *s == 3).count();
        assert!(5 * recent_to_endpoint < 2 * recent, "{recent_to_endpoint} of {recent} in the last second");
    }
}

/// Guards against a single wrong state that sends requests to a slow endpoint despite two correct ones.
#[test]
fn one_wrong_state_of_three_is_outvoted() {
    let attempts_at_slow = |wrong: bool| {
        let exported = |b: &Balancer, now| LearnedState { age: SECOND, ..b.learned_state(now) };
        let mut world = world(1);
        let mut all: Vec<LearnedState> =
            world.balancers[1..].iter().map(|b| exported(b, world.now)).collect();
        if wrong {
            all.push(all_dead_but(0, 10, 1));
        }
        world.restart(0, 9);
        let now = world.now;
        world.balancers[0].import_learned_state(now, &all);
        world.run(2 * SECOND);
        world.sent[0].iter().filter(|(at, s)| *at >= now && *s < 2).count()
    };
    let (two, three) = (attempts_at_slow(false), attempts_at_slow(true));
    assert!(
        three < 3 * two + 30,
        "{two} attempts at slow endpoints, {three} with a wrong state among the imported ones"
    );
}

/// Guards against imported figures that make an endpoint look so good that the rules on drains, slow start or
/// repeats are passed over.
#[test]
fn imported_state_does_not_override_drains_slow_start_or_semantics() {
    // A draining endpoint and a warming one, both with very good figures, and a class that must not run
    // twice.
    let warming = Endpoint { up_since: Some(1_000_000), ..ready_endpoint(2, 0) };
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
    let entries = [ready_endpoint(0, 0), draining, warming];
    let very_good = |ids: &[u32]| {
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
    let mut importing = Proxy::new(settings.clone(), &entries);
    let mut plain = Proxy::new(settings, &entries);
    importing.balancer.import_learned_state(importing.now, &[very_good(&[1, 2])]);
    let mut to_warming = [0, 0];
    for (proxy, count) in [&mut importing, &mut plain].into_iter().zip(&mut to_warming) {
        for _ in 0..40 {
            let (id, actions) = proxy.request(0);
            for to in sent_to(&actions) {
                assert_ne!(to, EndpointId(1), "attempt at a draining endpoint");
                *count += usize::from(to == EndpointId(2));
                let again = proxy.outcome(id, 0, to, Outcome::Reset, 1_000);
                assert!(sent_to(&again).is_empty(), "retried although an attempt may have run");
            }
            proxy.advance(10_000);
        }
    }
    assert!(to_warming[0] <= to_warming[1] + 2, "too many attempts at the warming endpoint: {to_warming:?}");
}

/// Guards against latencies of a process that has been replaced: the uptime of the endpoint shows whether it
/// is the same.
#[test]
fn restarted_endpoint_gets_no_state_of_its_former_process() {
    let entries = |up_since: Micros| {
        [Endpoint { up_since: Some(up_since), ..ready_endpoint(0, 0) }, ready_endpoint(1, 0)]
    };
    let slow = |uptime: Micros| {
        let endpoint = learned::LearnedEndpoint {
            id: EndpointId(0),
            uptime: Some(uptime),
            classes: vec![DecayedMean { sum: 600.0, weight: 100.0, age: 0 }],
            ..learned::LearnedEndpoint::default()
        };
        LearnedState { uptime: 3_600 * SECOND, endpoints: vec![endpoint], ..LearnedState::default() }
    };
    let attempts = |states: Option<LearnedState>| {
        let mut proxy = Proxy::new(settings(), &entries(-500 * SECOND));
        proxy.balancer.import_learned_state(proxy.now, &states.into_iter().collect::<Vec<_>>());
        (0..20).filter(|_| sent_to(&proxy.request(0).1) == [EndpointId(0)]).count()
    };
    // The clock is at 1 s, so the process of the endpoint has been up for 501 s.
    assert!(attempts(Some(slow(501 * SECOND))) < attempts(None) / 2);
    assert_eq!(attempts(Some(slow(400 * SECOND))), attempts(None), "state of another process was used");
    let aged = LearnedState { age: 100 * SECOND, ..slow(401 * SECOND) };
    assert!(attempts(Some(aged)) < attempts(None), "older state of the same process was not used");
}

/// Guards against figures such as NaN, infinities and negative ages: they must not make the threshold or the
/// cursor unusable.
#[test]
fn implausible_state_neither_panics_nor_has_a_lasting_effect() {
    let values = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e-300, 1e300, 1.0];
    let times = [Micros::MIN, -1, 0, 1, SECOND, Micros::MAX];
    let mut random = fastrand::Rng::with_seed(3);
    for round in 0..2_000 {
        let mut mean = || DecayedMean {
            sum: values[random.usize(..values.len())],
            weight: values[random.usize(..values.len())],
            age: times[random.usize(..times.len())],
        };
        let endpoints = (0..5).map(|id| learned::LearnedEndpoint {
            id: EndpointId(id),
            uptime: Some(mean().age).filter(|t| *t > 0),
            classes: vec![mean(), mean()],
            consecutive_failures: u32::MAX,
            ejected_for: mean().age,
            slow_start_tokens: mean().sum,
        });
        let endpoints = endpoints.collect();
        let implausible = LearnedState {
            age: mean().age,
            uptime: mean().age,
            endpoints,
            latency_by_machine_kind: vec![(0, mean()), (usize::MAX, mean())],
            loss_by_zone: vec![(0, mean()), (9, mean())],
            typical_latency: vec![mean(), mean(), mean()],
            pool_latency: mean(),
            threshold_per_endpoint: mean().sum,
            cursor_position: mean().sum,
            baseline_latency: Some(mean().sum),
        };
        let mut proxy = Proxy::with_seed(
            settings(),
            &[ready_endpoint(0, 0), ready_endpoint(1, 0), ready_endpoint(2, 0)],
            round,
        );
        proxy.balancer.import_learned_state(proxy.now, &[implausible.clone(), implausible]);
        proxy.advance(SECOND);
        let learned = proxy.balancer.learned_state(proxy.now);
        assert!(
            learned.threshold_per_endpoint.is_finite() && (0.0..=1.0).contains(&learned.cursor_position),
            "{round}: {learned:?}"
        );
        // Ten seconds later the balancer sends each request to an endpoint.
        proxy.advance(10 * SECOND);
        for _ in 0..5 {
            let (id, actions) = proxy.request(0);
            let to = sent_to(&actions);
            assert_eq!(to.len(), 1, "{round}: {actions:?}");
            proxy.outcome(id, 0, to[0], Outcome::Ok, 20_000);
        }
    }
}

/// Guards against balancers that start at once from the same file and then move their cursors in step.
#[test]
fn balancers_that_import_the_same_state_do_not_act_in_step() {
    let mut world = world(4);
    world.run(SECOND);
    let exported =
        LearnedState { age: SECOND, cursor_position: 0.9, ..world.balancers[1].learned_state(world.now) };
    let positions: std::collections::BTreeSet<u64> = (0..20)
        .map(|seed| {
            let mut proxy = Proxy::with_seed(settings(), &[ready_endpoint(0, 0), ready_endpoint(1, 0)], seed);
            proxy.balancer.import_learned_state(proxy.now, std::slice::from_ref(&exported));
            (proxy.balancer.learned_state(proxy.now).cursor_position * 1e6) as u64
        })
        .collect();
    assert!(positions.len() >= 3, "{positions:?}");
}
