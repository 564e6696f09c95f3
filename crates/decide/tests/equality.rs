//! Compares every action of seeded event sequences, byte for byte, with those recorded before the decision
//! code was renamed and split. The learned state and the number of ejected endpoints are compared as well.
//!
//! The recorded digests hold for the platform's `exp`, `sqrt` and `ln`, like those of `replay.rs`.
mod common;

use std::collections::BTreeMap;

use common::event_sequence::{play, Scenario, SequenceResult};
use common::recorded_form::recorded_form;
use common::scenarios::{
    all_classes, deeper_tier, gossip, handovers, large_warming_pool, load_reports, polled_discovery, single,
    sixty_with_gossip, sixty_without_gossip, slow_requests, tenants, three_endpoints, unusable_settings,
    warming_endpoints,
};
use decide::{Action, EndpointId, RequestId};

const SEEDS: [u64; 2] = [11, 12];

/// A named scenario, the actions that it must emit and the recorded digests.
struct Sequence {
    name: &'static str,
    scenario: fn() -> Scenario,
    /// Action kinds that must occur with each seed, in addition to the beginning and end of shedding.
    must_emit: &'static [&'static str],
    /// The digest for each of `SEEDS`.
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

/// Guards against a change of decisions where none is meant: the digests differ as soon as one action does.
#[test]
fn event_sequences_emit_the_recorded_actions() {
    let mut all = Vec::new();
    for sequence in &SEQUENCES {
        for (seed, recorded) in SEEDS.into_iter().zip(sequence.recorded) {
            let result = play(&(sequence.scenario)(), seed);
            println!("{:?} seed {seed}: {:#018x} {:?}", sequence.name, result.digest, result.actions);
            all.push((sequence, seed, recorded, result));
        }
    }
    for (sequence, seed, _, result) in &all {
        assert_emits_required(sequence, *seed, result);
    }
    assert_coverage(all.iter().map(|(_, _, _, result)| result));
    for (sequence, seed, recorded, result) in &all {
        let (name, digest) = (sequence.name, result.digest);
        assert_eq!(digest, *recorded, "sequence {name:?}, seed {seed}: {digest:#018x}, not {recorded:#018x}");
    }
}

/// Checks that a sequence emits the actions that it is there to cover.
fn assert_emits_required(sequence: &Sequence, seed: u64, result: &SequenceResult) {
    let name = sequence.name;
    for kind in sequence.must_emit {
        assert!(result.actions.contains_key(*kind), "sequence {name:?}, seed {seed}: no {kind}");
    }
    let [begins, ends] = result.shedding;
    assert!(begins > 0 && ends > 0, "sequence {name:?}, seed {seed}: shedding {:?}", result.shedding);
    assert!(
        result.learned_states > 10,
        "sequence {name:?}, seed {seed}: {} learned states",
        result.learned_states
    );
}

/// Checks that the sequences together cover every kind of event, action and outcome. `HealthCheck` is not
/// among the actions because the balancer does not emit it.
fn assert_coverage<'a>(all: impl Iterator<Item = &'a SequenceResult> + Clone) {
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
    for result in all.clone() {
        let counts = result.events.iter().chain(&result.outcomes).map(|(kind, count)| (*kind, *count));
        counts.for_each(|(kind, count)| *seen.entry(kind).or_default() += count);
        for (kind, count) in &result.actions {
            *seen.entry(kind).or_default() += count;
        }
    }
    println!("{seen:?}");
    for kind in ACTIONS.iter().chain(&EVENT_KINDS).chain(&OUTCOMES) {
        assert!(seen.contains_key(kind), "no {kind} in any sequence");
    }
    assert!(
        all.map(|result| result.events_with_ejections).sum::<usize>() > 0,
        "no endpoint was ever ejected"
    );
}

/// Guards against a change of the texts themselves, which would change all digests.
#[test]
fn recorded_form_is_the_literal_text_of_each_action() {
    let (request, endpoint) = (RequestId(1), EndpointId(2));
    let forms = [
        (
            Action::Send { request, endpoint, deadline: -3, write_before: None },
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
