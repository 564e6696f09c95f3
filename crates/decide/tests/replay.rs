//! Compares the actions of simulated runs with recorded digests, to detect a change of decisions where none
//! is meant.
mod common;

use common::settings;
use common::world::{SimulatedEndpoint, World};
use decide::{Class, DeduplicationGroup, Semantics, Settings};

/// The digest of a run with three balancers and ten endpoints, two of them slow, from light load into
/// overload and back.
fn digest(seed: u64) -> u64 {
    let class = |latency_objective, priority_weight, semantics| Class {
        latency_objective,
        deadline: 2_000_000,
        priority_weight,
        semantics,
        ..Class::default()
    };
    let classes = vec![
        class(500_000, 1.0, Semantics::Idempotent),
        class(500_000, 4.0, Semantics::AtMostOnce),
        class(800_000, 2.0, Semantics::Deduplicated { group: DeduplicationGroup::Zone, window: 5_000_000 }),
    ];
    let settings =
        Settings { balancers: 3, classes, send_retry_after: true, max_retry_after: 900_000, ..settings() };
    let endpoints = (0..10)
        .map(|i| SimulatedEndpoint { slots: 4, service_time: if i < 2 { 300_000 } else { 20_000 } })
        .collect();
    let mut world = World::new(&settings, endpoints, 300.0, seed);
    world.run(4_000_000);
    world.rate = vec![900.0; 3];
    world.run(6_000_000);
    world.endpoints[5].service_time = 2_000_000;
    world.run(4_000_000);
    world.rate = vec![200.0; 3];
    world.restart(1, seed + 1);
    world.run(4_000_000);
    world.digest.value()
}

#[test]
fn simulated_runs_emit_the_recorded_actions() {
    let digests: Vec<u64> = (0..8).map(digest).collect();
    assert_eq!(digests, RECORDED, "{digests:#x?}");
}

const RECORDED: [u64; 8] = [
    0xef993598ef9801ae,
    0xf12d38dd16ebac4f,
    0x48c1fabea4da4a27,
    0x985b9c5fafc1bfe6,
    0xea9a38a8d04e0c90,
    0xdf171dd4e92cc5bb,
    0x6caa3689f9f4f8cd,
    0xe3740592652e63c2,
];
