//! The contents of the learned-state files in `tests/data`, field by field.

use learned_state::{LearnedSnapshot, NamedMean, PoolRecord, StoredEndpoint, StoredMean};

fn mean(sum: f64, weight: f64, age: u64) -> StoredMean {
    StoredMean { sum, weight, age }
}

fn named(name: &str, mean: StoredMean) -> NamedMean {
    NamedMean { name: name.to_owned(), mean }
}

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|name| (*name).to_owned()).collect()
}

/// The contents of `every-field.known`.
pub fn every_field() -> LearnedSnapshot {
    LearnedSnapshot {
        written_ms: Some(1790000000123),
        pools: vec![
            PoolRecord {
                name: "pairings".to_owned(),
                classes: names(&["read", "schreiben-ä"]),
                typical_latency: vec![mean(1250.5, 2.25, 3), mean(98765.125, 17.0, 4000001)],
                pool_latency: mean(100015.625, 19.25, 5),
                latency_by_machine_kind: vec![
                    named("std", mean(3.5, 3.0, 6)),
                    named("large", mean(0.75, 1.5, 7)),
                ],
                loss_by_zone: vec![named("north", mean(0.125, 8.0, 9)), named("south", mean(0.0, 10.0, 11))],
                uptime: 12345678,
                threshold_per_endpoint: Some(4321.0625),
                cursor_position: 0.625,
                baseline_latency: Some(0.03125),
                endpoints: vec![
                    StoredEndpoint {
                        name: "pairing-1".to_owned(),
                        started_ms: Some(1789000000456),
                        consecutive_failures: 0,
                        ejected_for: 0,
                        slow_start_tokens: 0.0,
                        latency_by_class: vec![mean(1.5, 2.0, 13), mean(2.5, 3.0, 14)],
                    },
                    StoredEndpoint {
                        name: "pairing-2".to_owned(),
                        started_ms: None,
                        consecutive_failures: 3,
                        ejected_for: 2500000,
                        slow_start_tokens: 7.5,
                        latency_by_class: vec![mean(0.5, 4.0, 15), mean(0.0, 0.0, 0)],
                    },
                    StoredEndpoint {
                        name: "pairing-3".to_owned(),
                        started_ms: Some(0),
                        consecutive_failures: 4294967295,
                        ejected_for: 31536000000000,
                        slow_start_tokens: 1e-9,
                        latency_by_class: vec![mean(-0.25, 5.0, 16), mean(1e300, 6.0, 17)],
                    },
                ],
            },
            PoolRecord {
                name: "archive".to_owned(),
                classes: names(&[]),
                typical_latency: vec![],
                pool_latency: mean(0.0, 0.0, 0),
                latency_by_machine_kind: vec![],
                loss_by_zone: vec![],
                uptime: 0,
                threshold_per_endpoint: None,
                cursor_position: 0.0,
                baseline_latency: None,
                endpoints: vec![
                    StoredEndpoint {
                        name: "archive-1".to_owned(),
                        started_ms: None,
                        consecutive_failures: 1,
                        ejected_for: 18,
                        slow_start_tokens: 0.5,
                        latency_by_class: vec![],
                    },
                    StoredEndpoint {
                        name: "archive-2".to_owned(),
                        started_ms: None,
                        consecutive_failures: 0,
                        ejected_for: 0,
                        slow_start_tokens: 0.0,
                        latency_by_class: vec![],
                    },
                ],
            },
        ],
    }
}

/// The contents of `learned/00000000000000000003.known`.
pub fn learned_folder_file() -> LearnedSnapshot {
    LearnedSnapshot {
        written_ms: Some(1796284326922),
        pools: vec![
            PoolRecord {
                name: "near".to_owned(),
                classes: names(&["read", "write"]),
                typical_latency: vec![
                    mean(200634.3518729718, 35.06061522620155, 73186),
                    mean(199863.42963154512, 35.11715171205397, 73186),
                ],
                pool_latency: mean(574420.799081476, 100.65366357584101, 1515802),
                latency_by_machine_kind: vec![named(
                    "",
                    mean(24.50080150890161, 100.65366357584101, 1515802),
                )],
                loss_by_zone: vec![named("south", mean(0.0, 100.65366357584101, 1515802))],
                uptime: 2969480,
                threshold_per_endpoint: Some(9.80149500625),
                cursor_position: 0.0,
                baseline_latency: Some(0.015625),
                endpoints: vec![
                    StoredEndpoint {
                        name: "n0".to_owned(),
                        started_ms: None,
                        consecutive_failures: 0,
                        ejected_for: 0,
                        slow_start_tokens: 0.0,
                        latency_by_class: vec![
                            mean(12.282691163474265, 50.365563474382036, 1522103),
                            mean(12.237443423469225, 50.367375999249965, 1515802),
                        ],
                    },
                    StoredEndpoint {
                        name: "n1".to_owned(),
                        started_ms: None,
                        consecutive_failures: 0,
                        ejected_for: 0,
                        slow_start_tokens: 0.0,
                        latency_by_class: vec![mean(0.0, 0.0, 2970231), mean(0.0, 0.0, 2970231)],
                    },
                    StoredEndpoint {
                        name: "n2".to_owned(),
                        started_ms: None,
                        consecutive_failures: 0,
                        ejected_for: 0,
                        slow_start_tokens: 0.0,
                        latency_by_class: vec![mean(0.0, 0.0, 2970231), mean(0.0, 0.0, 2970231)],
                    },
                ],
            },
            PoolRecord {
                name: "far".to_owned(),
                classes: names(&["read", "write"]),
                typical_latency: vec![
                    mean(387425.88481762615, 35.81174713687724, 140227),
                    mean(0.0, 0.0, 140227),
                ],
                pool_latency: mean(544870.1805771982, 50.365125031438055, 1504319),
                latency_by_machine_kind: vec![named(
                    "",
                    mean(18.670325164956356, 50.365125031438055, 1504319),
                )],
                loss_by_zone: vec![named("south", mean(0.0, 50.365125031438055, 1504319))],
                uptime: 2969563,
                threshold_per_endpoint: Some(11.841644406826346),
                cursor_position: 0.0,
                baseline_latency: Some(0.015625),
                endpoints: vec![StoredEndpoint {
                    name: "n0".to_owned(),
                    started_ms: None,
                    consecutive_failures: 0,
                    ejected_for: 0,
                    slow_start_tokens: 0.0,
                    latency_by_class: vec![
                        mean(18.670325164956356, 50.365125031438055, 1504319),
                        mean(0.0, 0.0, 2970417),
                    ],
                }],
            },
        ],
    }
}

/// The contents of `amberlever.learned`.
pub fn handover_file() -> LearnedSnapshot {
    LearnedSnapshot {
        written_ms: Some(1796284318270),
        pools: vec![PoolRecord {
            name: "platform".to_owned(),
            classes: names(&["read", "write", "put"]),
            typical_latency: vec![
                mean(19712.0070140227, 38.5758154037238, 2499230),
                mean(0.0, 0.0, 2499230),
                mean(20868.39927674167, 38.576953785299004, 2499230),
            ],
            pool_latency: mean(42030.61458498554, 79.90995168242522, 3903747),
            latency_by_machine_kind: vec![named("m", mean(0.17656106039789415, 79.90995168242522, 3903747))],
            loss_by_zone: vec![named("here", mean(0.0, 79.90995168242522, 3903747))],
            uptime: 4002959,
            threshold_per_endpoint: Some(10.0),
            cursor_position: 0.0,
            baseline_latency: Some(0.015625),
            endpoints: vec![
                StoredEndpoint {
                    name: "s-0".to_owned(),
                    started_ms: None,
                    consecutive_failures: 0,
                    ejected_for: 0,
                    slow_start_tokens: 0.0,
                    latency_by_class: vec![
                        mean(0.0, 0.0, 4004041),
                        mean(0.0, 0.0, 4004041),
                        mean(0.00042630911089755664, 1.0, 3993400),
                    ],
                },
                StoredEndpoint {
                    name: "s-1".to_owned(),
                    started_ms: None,
                    consecutive_failures: 0,
                    ejected_for: 0,
                    slow_start_tokens: 0.0,
                    latency_by_class: vec![
                        mean(0.0866961995178375, 39.955739787206404, 3905102),
                        mean(0.0, 0.0, 4004041),
                        mean(0.0894424429804533, 38.95780418808605, 3903747),
                    ],
                },
            ],
        }],
    }
}
