//! Invariants over arbitrary orders of events, with fixed seeds. A model of the proxy plays events against
//! the balancer and checks every action.
mod common;

use common::model::Model;
use common::ready_endpoint;
use decide::{
    Action, Balancer, Class, DeduplicationGroup, Endpoint, EndpointId, Event, LoadReport, Micros, NewRequest,
    Outcome, RequestId, Semantics, Settings, UpdateScope,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const DEDUPLICATION_WINDOW: Micros = 300_000;

fn classes() -> Vec<Class> {
    let class = |semantics| Class {
        latency_objective: 400_000,
        deadline: 2_000_000,
        priority_weight: 1.0,
        late_answer_value: 0.3,
        semantics,
    };
    let mut all = vec![class(Semantics::Idempotent), class(Semantics::AtMostOnce)];
    for group in [DeduplicationGroup::All, DeduplicationGroup::Zone, DeduplicationGroup::Cell] {
        all.push(class(Semantics::Deduplicated { group, window: DEDUPLICATION_WINDOW }));
    }
    all
}

fn check_invariants(settings: &Settings) {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec((0u8..20, any::<u32>(), any::<u32>()), 1..250);
    TestRunner::new_with_rng(config, rng)
        .run(&(steps, any::<u64>()), |(steps, seed)| {
            let mut model = Model::new(settings.clone(), seed);
            model.update_endpoints(5, 0x7fff_fffe, true);
            steps.into_iter().for_each(|step| model.step(step));
            model.advance(3_000_000);
            Ok(())
        })
        .unwrap_or_else(|e| panic!("{e}"));
}

fn settings() -> Settings {
    Settings {
        balancers: 3,
        rank: 1,
        tiers: 2,
        classes: classes(),
        max_attempts: 3,
        hedging_allowed: true,
        can_cancel: true,
        timer_resolution: 1_000,
        slow_start_min_capacity: 0.2,
        slow_start_duration: 5_000_000,
        overload_multiple: 3.0,
        overload_window: 2_000_000,
        max_poll_interval: 10_000_000,
        send_retry_after: true,
        max_retry_after: 1_000_000,
        ..Settings::default()
    }
}

#[test]
fn invariants_hold_with_pushed_discovery() {
    check_invariants(&settings());
}

#[test]
fn invariants_hold_with_gossip_and_without_hedging() {
    check_invariants(&Settings {
        gossip_allowed: true,
        hedging_allowed: false,
        can_cancel: false,
        ..settings()
    });
}

#[test]
fn invariants_hold_in_a_deeper_tier_with_polled_discovery() {
    check_invariants(&Settings { poll_discovery: true, tier: 1, max_attempts: 2, ..settings() });
}

/// Guards against decisions that depend on anything but the seed and the events.
#[test]
fn equal_events_give_equal_actions() {
    let play = || {
        let mut balancer = Balancer::new(settings(), 11);
        let endpoints: Vec<Endpoint> = (0..20).map(|id| ready_endpoint(id, id as usize % 3)).collect();
        let mut out = Vec::new();
        balancer.handle(
            0,
            Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &endpoints },
            &mut out,
        );
        for id in 0..300u64 {
            let request = NewRequest { id: RequestId(id), time_left: 1_000_000, ..NewRequest::default() };
            balancer.handle(id as Micros * 500, Event::Request(request), &mut out);
        }
        out
    };
    assert_eq!(play(), play());
}

#[test]
fn unusable_settings_and_absurd_events_never_panic() {
    let (far, nan) = (Micros::MAX, f64::NAN);
    let unusable = Settings {
        balancers: 0,
        rank: 9,
        tier: 7,
        classes: vec![
            Class { latency_objective: far, priority_weight: nan, ..Class::default() },
            Class::default(),
        ],
        cross_zone_price: f64::INFINITY,
        timer_resolution: far,
        slow_start_duration: Micros::MIN,
        overload_window: far,
        max_poll_interval: far,
        poll_discovery: true,
        ..settings()
    };
    assert!(unusable.check().is_err() && settings().check().is_ok());
    for settings in [unusable, Settings { classes: Vec::new(), ..settings() }, settings()] {
        let mut balancer = Balancer::new(settings, 3);
        let mut out = Vec::new();
        for now in [0, far, Micros::MIN, 0, 5] {
            let entry = Endpoint { up_since: Some(far - now.max(0)), ..ready_endpoint(3, usize::MAX) };
            balancer.handle(
                now,
                Event::EndpointUpdate { scope: UpdateScope::Delta, endpoints: &[entry] },
                &mut out,
            );
            for (id, class) in [(1, 0), (1, 0), (2, usize::MAX), (u64::MAX, 1)] {
                let request = NewRequest {
                    id: RequestId(id),
                    class,
                    time_left: if id == 1 { far } else { -far },
                    tenant: Some(usize::MAX),
                    ..NewRequest::default()
                };
                balancer.handle(now, Event::Request(request), &mut out);
            }
            let report =
                LoadReport { in_flight: Some(nan), utilisation: Some(-1.0), ..LoadReport::default() };
            for (request, attempt, endpoint) in [(1, usize::MAX, 3), (77, 0, 99), (1, 0, 3)] {
                balancer.handle(
                    now,
                    Event::AttemptEnded {
                        request: RequestId(request),
                        attempt,
                        endpoint: EndpointId(endpoint),
                        outcome: Outcome::Reset,
                        took: Micros::MIN,
                        is_final: false,
                        report: Some(report),
                    },
                    &mut out,
                );
            }
            balancer.handle(now, Event::Timer(0), &mut out);
        }
        // The request of an unknown class is rejected once each time it arrives.
        let rejections =
            |id| out.iter().filter(move |a| matches!(a, Action::Reject { request, .. } if request.0 == id));
        assert_eq!(rejections(2).count(), 5);
    }
}
