//! Every action of seeded event sequences is, to the byte, the one that was recorded before the decisions were
//! renamed and split. What the balancer has learned and which servers it avoids are compared as well.
//!
//! The figures hold for the platform's `exp`, `sqrt` and `ln`, as those of `replay.rs` do.
mod common;

use std::collections::BTreeMap;

use common::event_sequence::{play, Played, Scenario};
use common::recorded_form::recorded_form;
use decide::{Action, Class, DeduplicationGroup, EndpointId, Micros, RequestId, Semantics, Settings, Tenant};

const SEEDS: [u64; 2] = [11, 12];
const EVENTS: usize = 6_000;

/// A sequence by name, what must be among its actions, and the digest recorded for each seed.
struct Sequence {
    name: &'static str,
    scenario: fn() -> Scenario,
    /// Action kinds that must occur with each seed, beside those of shedding that begins and ends.
    must_emit: &'static [&'static str],
    recorded: [u64; 2],
}

const fn sequence(
    name: &'static str,
    scenario: fn() -> Scenario,
    must_emit: &'static [&'static str],
    recorded: [u64; 2],
) -> Sequence {
    Sequence { name, scenario, must_emit, recorded }
}

const SEQUENCES: [Sequence; 15] = [
    sequence(
        "one balancer, one class",
        single,
        &["Send", "Refuse"],
        [0xa0e4_3777_4233_cb3c, 0xbc10_60db_c323_98fb],
    ),
    sequence(
        "three servers",
        three_endpoints,
        &["Send", "Refuse", "Fail"],
        [0x33e8_cc72_54a9_7bda, 0x3751_b0f8_b4c7_fa2b],
    ),
    sequence(
        "all classes",
        all_classes,
        &["Send", "Refuse", "Fail", "Cancel"],
        [0x1728_169c_7bec_863c, 0xc384_97e5_0d2a_9036],
    ),
    sequence(
        "tenants and late worth",
        tenants,
        &["Send", "Refuse"],
        [0xd81f_ea84_2438_7277, 0x3437_47a7_e3bf_24e7],
    ),
    sequence(
        "load reports",
        load_reports,
        &["Send", "Refuse"],
        [0x39af_471f_5249_fac3, 0x8938_f503_f3d8_6158],
    ),
    sequence(
        "asked discovery",
        polled_discovery,
        &["Send", "Subscribe"],
        [0xd89f_5cdd_b360_331c, 0xc7ea_1a64_d81b_0deb],
    ),
    sequence(
        "deeper tier",
        deeper_tier,
        &["Send", "Refuse", "Fail"],
        [0x165c_75e5_faf4_6e5c, 0x93db_81d3_b065_bf34],
    ),
    sequence("peers", gossip, &["Send", "Tell", "Refuse"], [0xd437_b99c_81b5_552b, 0x683d_2a6d_c126_f58e]),
    sequence(
        "sixty balancers with peers",
        sixty_with_gossip,
        &["Send", "Tell", "Refuse"],
        [0x9283_a808_8c57_fdd6, 0x464e_8061_cc7e_7e70],
    ),
    sequence(
        "sixty balancers without peers",
        sixty_without_gossip,
        &["Send", "Refuse"],
        [0x6508_2cc8_0473_bcc2, 0x4b0c_3040_347d_823a],
    ),
    sequence(
        "cold servers",
        warming_endpoints,
        &["Send", "Refuse"],
        [0x2a0b_497e_5eb8_b62b, 0x5f0a_d0a2_59c5_1969],
    ),
    sequence(
        "cold large pool",
        large_warming_pool,
        &["Send", "Tell", "Refuse"],
        [0x915a_ed44_9906_4e96, 0x72eb_6c68_9751_ceb0],
    ),
    sequence(
        "handovers",
        handovers,
        &["Send", "Cancel", "Refuse"],
        [0x17c6_42eb_cf3b_4415, 0x1aa0_8512_50bb_6fa2],
    ),
    sequence(
        "slow calls",
        slow_requests,
        &["Send", "Refuse"],
        [0x3fa8_5360_816c_8f6d, 0x565c_36aa_76dc_973a],
    ),
    sequence(
        "unusable settings",
        unusable_settings,
        &["Send", "Refuse"],
        [0x66e9_94c7_4ea4_20a6, 0x00be_76be_c7f4_33c9],
    ),
];

fn class(
    latency_objective: Micros,
    priority_weight: f64,
    late_answer_value: f64,
    semantics: Semantics,
) -> Class {
    Class { latency_objective, deadline: 2_000_000, priority_weight, late_answer_value, semantics }
}

fn deduplicated(group: DeduplicationGroup) -> Semantics {
    Semantics::Deduplicated { group, window: 400_000 }
}

fn every_class() -> Vec<Class> {
    vec![
        class(500_000, 1.0, 0.0, Semantics::Idempotent),
        class(500_000, 4.0, 0.0, Semantics::AtMostOnce),
        class(800_000, 2.0, 0.5, deduplicated(DeduplicationGroup::All)),
        class(600_000, 2.0, 0.0, deduplicated(DeduplicationGroup::Zone)),
        class(400_000, 3.0, 0.2, deduplicated(DeduplicationGroup::Cell)),
    ]
}

fn single() -> Scenario {
    Scenario {
        settings: common::settings(),
        endpoints: 12,
        zones: 1,
        request_gap: 8_000,
        service_time: 30_000,
        failures: 0.05,
        reports: false,
        endpoint_restarts: false,
        handovers: 0,
        events: EVENTS,
    }
}

fn three_endpoints() -> Scenario {
    let classes = vec![
        class(300_000, 1.0, 0.0, Semantics::Idempotent),
        class(300_000, 2.0, 0.0, Semantics::AtMostOnce),
    ];
    let settings = Settings {
        balancers: 2,
        rank: 1,
        classes,
        max_attempts: 2,
        can_cancel: true,
        send_retry_after: true,
        max_retry_after: 900_000,
        ..common::settings()
    };
    Scenario { settings, endpoints: 3, failures: 0.15, ..single() }
}

fn all_classes() -> Scenario {
    let settings = Settings {
        balancers: 2,
        classes: every_class(),
        cross_zone_price: 0.02,
        can_cancel: true,
        hedging_allowed: true,
        send_retry_after: true,
        max_retry_after: 500_000,
        ..common::settings()
    };
    Scenario { settings, endpoints: 12, zones: 3, failures: 0.25, ..single() }
}

fn tenants() -> Scenario {
    let quotas = [5.0, 25.0, 0.0];
    let tenants = quotas.map(|quota_per_s| Tenant { quota_per_s }).to_vec();
    let classes = vec![
        class(500_000, 1.0, 0.5, Semantics::Idempotent),
        class(300_000, 5.0, 0.0, Semantics::Idempotent),
    ];
    let settings = Settings { classes, tenants, send_retry_after: true, ..common::settings() };
    Scenario { settings, ..single() }
}

fn load_reports() -> Scenario {
    let settings = Settings { balancers: 2, health_checks_allowed: true, ..common::settings() };
    Scenario { settings, zones: 2, reports: true, ..single() }
}

fn polled_discovery() -> Scenario {
    let settings = Settings {
        balancers: 10,
        rank: 3,
        poll_discovery: true,
        max_poll_interval: 2_000_000,
        classes: every_class(),
        timer_resolution: 1_000,
        ..common::settings()
    };
    Scenario { settings, endpoints: 40, zones: 2, failures: 0.1, ..single() }
}

fn deeper_tier() -> Scenario {
    let settings = Settings {
        balancers: 2,
        tier: 1,
        tiers: 3,
        classes: every_class(),
        send_retry_after: true,
        max_retry_after: 900_000,
        hedging_allowed: true,
        ..common::settings()
    };
    Scenario { settings, zones: 2, reports: true, failures: 0.1, service_time: 15_000, ..single() }
}

fn gossip() -> Scenario {
    let settings = Settings {
        balancers: 8,
        rank: 5,
        gossip_allowed: true,
        tier: 1,
        tiers: 2,
        classes: every_class(),
        can_cancel: true,
        ..common::settings()
    };
    Scenario { settings, endpoints: 12, zones: 3, failures: 0.1, ..single() }
}

fn sixty_with_gossip() -> Scenario {
    let settings = Settings {
        balancers: 60,
        rank: 59,
        gossip_allowed: true,
        classes: every_class(),
        cross_zone_price: 0.1,
        ..common::settings()
    };
    Scenario { settings, endpoints: 40, zones: 3, failures: 0.1, request_gap: 20_000, ..single() }
}

fn sixty_without_gossip() -> Scenario {
    let settings = Settings {
        balancers: 60,
        rank: 17,
        poll_discovery: true,
        max_poll_interval: 3_000_000,
        classes: every_class(),
        hedging_allowed: true,
        cross_zone_price: 0.05,
        zone: 1,
        ..common::settings()
    };
    Scenario { settings, endpoints: 200, zones: 3, failures: 0.1, reports: true, ..single() }
}

fn slow_start_settings() -> Settings {
    Settings {
        slow_start_min_capacity: 0.1,
        slow_start_duration: 10_000_000,
        overload_multiple: 1.5,
        overload_window: 1_000_000,
        ..common::settings()
    }
}

fn warming_endpoints() -> Scenario {
    let settings =
        Settings { balancers: 2, classes: every_class(), can_cancel: true, ..slow_start_settings() };
    Scenario { settings, zones: 2, endpoint_restarts: true, failures: 0.1, ..single() }
}

fn large_warming_pool() -> Scenario {
    let settings = Settings { balancers: 8, rank: 2, gossip_allowed: true, ..slow_start_settings() };
    Scenario { settings, endpoints: 200, zones: 2, endpoint_restarts: true, request_gap: 4_000, ..single() }
}

fn handovers() -> Scenario {
    let settings =
        Settings { balancers: 2, classes: every_class(), can_cancel: true, ..slow_start_settings() };
    Scenario {
        settings,
        endpoints: 40,
        zones: 3,
        endpoint_restarts: true,
        failures: 0.2,
        handovers: 5,
        events: 2 * EVENTS,
        ..single()
    }
}

/// Few requests, of which some take many periods: figures come late or not at all.
fn slow_requests() -> Scenario {
    let classes = vec![
        class(200_000, 1.0, 0.0, Semantics::Idempotent),
        Class { deadline: 8_000_000, ..class(4_000_000, 2.0, 0.0, Semantics::Idempotent) },
    ];
    let settings = Settings { balancers: 2, classes, ..common::settings() };
    Scenario { settings, endpoints: 3, request_gap: 100_000, service_time: 60_000, events: 3_000, ..single() }
}

/// Figures that no check lets pass; the balancer brings them within bounds.
fn unusable_settings() -> Scenario {
    let classes = vec![
        class(Micros::MAX, f64::NAN, -1.0, deduplicated(DeduplicationGroup::Zone)),
        class(0, f64::INFINITY, f64::NAN, Semantics::Idempotent),
        class(400_000, -3.0, 1.0, Semantics::AtMostOnce),
    ];
    let settings = Settings {
        balancers: 0,
        rank: 9,
        tier: 4,
        tiers: 0,
        max_attempts: 0,
        timer_resolution: 20_000,
        cross_zone_price: f64::NAN,
        slow_start_duration: Micros::MIN,
        overload_window: Micros::MAX,
        classes,
        ..common::settings()
    };
    Scenario { settings, zones: 2, endpoint_restarts: true, failures: 0.1, ..single() }
}

#[test]
fn every_action_is_the_one_that_was_recorded() {
    let mut all = Vec::new();
    for sequence in &SEQUENCES {
        for (seed, recorded) in SEEDS.into_iter().zip(sequence.recorded) {
            let played = play(&(sequence.scenario)(), seed);
            println!("{:?} seed {seed}: {:#018x} {:?}", sequence.name, played.digest, played.actions);
            all.push((sequence, seed, recorded, played));
        }
    }
    for (sequence, seed, _, played) in &all {
        assert_purpose(sequence, *seed, played);
    }
    assert_coverage(all.iter().map(|(_, _, _, played)| played));
    for (sequence, seed, recorded, played) in &all {
        let (name, digest) = (sequence.name, played.digest);
        assert_eq!(digest, *recorded, "sequence {name:?}, seed {seed}: {digest:#018x}, not {recorded:#018x}");
    }
}

/// Did a sequence do what it is for?
fn assert_purpose(sequence: &Sequence, seed: u64, played: &Played) {
    let name = sequence.name;
    for kind in sequence.must_emit {
        assert!(played.actions.contains_key(*kind), "sequence {name:?}, seed {seed}: no {kind}");
    }
    let [begins, ends] = played.shedding;
    assert!(begins > 0 && ends > 0, "sequence {name:?}, seed {seed}: shedding {:?}", played.shedding);
    assert!(played.learned > 10, "sequence {name:?}, seed {seed}: learned {}", played.learned);
}

/// Did the sequences together walk every kind of event, action and outcome? The balancer emits no probe.
fn assert_coverage<'a>(all: impl Iterator<Item = &'a Played> + Clone) {
    const ACTIONS: [&str; 8] = ["Send", "Refuse", "Fail", "Cancel", "Timer", "Subscribe", "Tell", "Log"];
    const EVENT_KINDS: [&str; 12] = [
        "Delta",
        "FullList",
        "Cached",
        "Failed",
        "Request",
        "Came",
        "StreamStarted",
        "Outcome",
        "ClientGone",
        "Told",
        "Timer",
        "Probed",
    ];
    const OUTCOMES: [&str; 8] =
        ["Ok", "Error", "Full", "Timeout", "ConnectFailed", "Reset", "Cancelled", "Moot"];
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for played in all.clone() {
        let counts = played.events.iter().chain(&played.outcomes).map(|(kind, count)| (*kind, *count));
        counts.for_each(|(kind, count)| *seen.entry(kind).or_default() += count);
        for (kind, count) in &played.actions {
            *seen.entry(kind).or_default() += count;
        }
    }
    println!("{seen:?}");
    for kind in ACTIONS.iter().chain(&EVENT_KINDS).chain(&OUTCOMES) {
        assert!(seen.contains_key(kind), "no {kind} in any sequence");
    }
    assert!(all.map(|played| played.ejected).sum::<usize>() > 0, "no server was ever avoided");
}

#[test]
fn the_recorded_form_is_literal() {
    let (request, endpoint) = (RequestId(1), EndpointId(2));
    let forms = [
        (
            Action::Send { request, endpoint, deadline: -3 },
            "Send { request: RequestId(1), backend: BackendId(2), until: -3 }",
        ),
        (Action::Reject { request, retry_after: 4 }, "Refuse { request: RequestId(1), retry_after: 4 }"),
        (Action::Fail(request), "Fail(RequestId(1))"),
        (Action::Cancel { request, attempt: 5 }, "Cancel { request: RequestId(1), attempt: 5 }"),
        (Action::Timer { at: 6, token: 7 }, "Timer { at: 6, token: 7 }"),
        (Action::PollDiscovery, "Subscribe"),
        (Action::HealthCheck(endpoint), "Probe(BackendId(2))"),
        (Action::SendGossip { to: 8, payload: vec![9, 255] }, "Tell { to: 8, payload: [9, 255] }"),
        (Action::Log("a \"line\"\n".to_owned()), "Log(\"a \\\"line\\\"\\n\")"),
    ];
    for (action, form) in forms {
        assert_eq!(recorded_form(&action), form);
    }
}
