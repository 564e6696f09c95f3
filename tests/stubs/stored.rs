//! What the files of learned state in `tests/data` hold, field by field.

use learned_state::{Mean, Node, Pool, Snapshot};

fn mean(sum: f64, weight: f64, age: u64) -> Mean {
    Mean { sum, weight, age }
}

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|name| (*name).to_owned()).collect()
}

/// What `every-field.known` holds.
pub fn every_field() -> Snapshot {
    Snapshot {
        written_ms: Some(1790000000123),
        pools: vec![
            Pool {
                name: "pairings".to_owned(),
                classes: names(&["read", "schreiben-ä"]),
                usual: vec![mean(1250.5, 2.25, 3), mean(98765.125, 17.0, 4000001)],
                any: mean(100015.625, 19.25, 5),
                kinds: vec![("std".to_owned(), mean(3.5, 3.0, 6)), ("large".to_owned(), mean(0.75, 1.5, 7))],
                zones: vec![
                    ("north".to_owned(), mean(0.125, 8.0, 9)),
                    ("south".to_owned(), mean(0.0, 10.0, 11)),
                ],
                up_for: 12345678,
                threshold: Some(4321.0625),
                cursor: 0.625,
                baseline: Some(0.03125),
                nodes: vec![
                    Node {
                        name: "pairing-1".to_owned(),
                        started_ms: Some(1789000000456),
                        fails: 0,
                        out_for: 0,
                        cold_tokens: 0.0,
                        classes: vec![mean(1.5, 2.0, 13), mean(2.5, 3.0, 14)],
                    },
                    Node {
                        name: "pairing-2".to_owned(),
                        started_ms: None,
                        fails: 3,
                        out_for: 2500000,
                        cold_tokens: 7.5,
                        classes: vec![mean(0.5, 4.0, 15), mean(0.0, 0.0, 0)],
                    },
                    Node {
                        name: "pairing-3".to_owned(),
                        started_ms: Some(0),
                        fails: 4294967295,
                        out_for: 31536000000000,
                        cold_tokens: 1e-9,
                        classes: vec![mean(-0.25, 5.0, 16), mean(1e300, 6.0, 17)],
                    },
                ],
            },
            Pool {
                name: "archive".to_owned(),
                classes: names(&[]),
                usual: vec![],
                any: mean(0.0, 0.0, 0),
                kinds: vec![],
                zones: vec![],
                up_for: 0,
                threshold: None,
                cursor: 0.0,
                baseline: None,
                nodes: vec![
                    Node {
                        name: "archive-1".to_owned(),
                        started_ms: None,
                        fails: 1,
                        out_for: 18,
                        cold_tokens: 0.5,
                        classes: vec![],
                    },
                    Node {
                        name: "archive-2".to_owned(),
                        started_ms: None,
                        fails: 0,
                        out_for: 0,
                        cold_tokens: 0.0,
                        classes: vec![],
                    },
                ],
            },
        ],
    }
}

/// What `learned/00000000000000000003.known` holds.
pub fn learned_in_a_folder() -> Snapshot {
    Snapshot {
        written_ms: Some(1796284326922),
        pools: vec![
            Pool {
                name: "near".to_owned(),
                classes: names(&["read", "write"]),
                usual: vec![
                    mean(200634.3518729718, 35.06061522620155, 73186),
                    mean(199863.42963154512, 35.11715171205397, 73186),
                ],
                any: mean(574420.799081476, 100.65366357584101, 1515802),
                kinds: vec![("".to_owned(), mean(24.50080150890161, 100.65366357584101, 1515802))],
                zones: vec![("south".to_owned(), mean(0.0, 100.65366357584101, 1515802))],
                up_for: 2969480,
                threshold: Some(9.80149500625),
                cursor: 0.0,
                baseline: Some(0.015625),
                nodes: vec![
                    Node {
                        name: "n0".to_owned(),
                        started_ms: None,
                        fails: 0,
                        out_for: 0,
                        cold_tokens: 0.0,
                        classes: vec![
                            mean(12.282691163474265, 50.365563474382036, 1522103),
                            mean(12.237443423469225, 50.367375999249965, 1515802),
                        ],
                    },
                    Node {
                        name: "n1".to_owned(),
                        started_ms: None,
                        fails: 0,
                        out_for: 0,
                        cold_tokens: 0.0,
                        classes: vec![mean(0.0, 0.0, 2970231), mean(0.0, 0.0, 2970231)],
                    },
                    Node {
                        name: "n2".to_owned(),
                        started_ms: None,
                        fails: 0,
                        out_for: 0,
                        cold_tokens: 0.0,
                        classes: vec![mean(0.0, 0.0, 2970231), mean(0.0, 0.0, 2970231)],
                    },
                ],
            },
            Pool {
                name: "far".to_owned(),
                classes: names(&["read", "write"]),
                usual: vec![mean(387425.88481762615, 35.81174713687724, 140227), mean(0.0, 0.0, 140227)],
                any: mean(544870.1805771982, 50.365125031438055, 1504319),
                kinds: vec![("".to_owned(), mean(18.670325164956356, 50.365125031438055, 1504319))],
                zones: vec![("south".to_owned(), mean(0.0, 50.365125031438055, 1504319))],
                up_for: 2969563,
                threshold: Some(11.841644406826346),
                cursor: 0.0,
                baseline: Some(0.015625),
                nodes: vec![Node {
                    name: "n0".to_owned(),
                    started_ms: None,
                    fails: 0,
                    out_for: 0,
                    cold_tokens: 0.0,
                    classes: vec![
                        mean(18.670325164956356, 50.365125031438055, 1504319),
                        mean(0.0, 0.0, 2970417),
                    ],
                }],
            },
        ],
    }
}

/// What `amberlever.learned` holds.
pub fn handed_over() -> Snapshot {
    Snapshot {
        written_ms: Some(1796284318270),
        pools: vec![Pool {
            name: "platform".to_owned(),
            classes: names(&["read", "write", "put"]),
            usual: vec![
                mean(19712.0070140227, 38.5758154037238, 2499230),
                mean(0.0, 0.0, 2499230),
                mean(20868.39927674167, 38.576953785299004, 2499230),
            ],
            any: mean(42030.61458498554, 79.90995168242522, 3903747),
            kinds: vec![("m".to_owned(), mean(0.17656106039789415, 79.90995168242522, 3903747))],
            zones: vec![("here".to_owned(), mean(0.0, 79.90995168242522, 3903747))],
            up_for: 4002959,
            threshold: Some(10.0),
            cursor: 0.0,
            baseline: Some(0.015625),
            nodes: vec![
                Node {
                    name: "s-0".to_owned(),
                    started_ms: None,
                    fails: 0,
                    out_for: 0,
                    cold_tokens: 0.0,
                    classes: vec![
                        mean(0.0, 0.0, 4004041),
                        mean(0.0, 0.0, 4004041),
                        mean(0.00042630911089755664, 1.0, 3993400),
                    ],
                },
                Node {
                    name: "s-1".to_owned(),
                    started_ms: None,
                    fails: 0,
                    out_for: 0,
                    cold_tokens: 0.0,
                    classes: vec![
                        mean(0.0866961995178375, 39.955739787206404, 3905102),
                        mean(0.0, 0.0, 4004041),
                        mean(0.0894424429804533, 38.95780418808605, 3903747),
                    ],
                },
            ],
        }],
    }
}
