//! Splitting of requests over pools by weight.

use route::{PoolId, Split, SplitKey, SplitPool};

fn pool(index: usize, name: &str, weight: u64) -> SplitPool<'_> {
    SplitPool { pool: PoolId(index), name, weight }
}

fn split(weights: &[u64]) -> Split {
    let names: Vec<String> = (0..weights.len()).map(|i| format!("pool-{i}")).collect();
    let pools: Vec<SplitPool<'_>> =
        weights.iter().enumerate().map(|(i, weight)| pool(i, &names[i], *weight)).collect();
    Split::new(SplitKey::RequestId, &pools).expect("a weight above 0")
}

fn request_counts(split: &Split, pools: usize) -> Vec<usize> {
    let mut counts = vec![0; pools];
    (0..20_000).for_each(|i: u32| counts[split.choose(&i.to_le_bytes()).0] += 1);
    counts
}

/// Guards against a skewed distribution, and against an overflow for weights whose sum exceeds a `u64`.
#[test]
fn request_counts_are_proportional_to_weights() {
    let counts = request_counts(&split(&[9, 1]), 2);
    assert!((1_800..2_200).contains(&counts[1]), "{counts:?}");
    assert_eq!(request_counts(&split(&[0, 3]), 2)[0], 0, "a pool of weight 0 gets no requests");
    let maximal = request_counts(&split(&[u64::MAX, u64::MAX, u64::MAX]), 3);
    assert!(
        maximal.iter().all(|c| (6_300..7_000).contains(c)),
        "weights whose sum exceeds a u64: {maximal:?}"
    );
    assert_eq!(request_counts(&split(&[5]), 1), [20_000], "a single pool gets all requests");
}

/// A change of one weight must not move keys between the other pools.
#[test]
fn raised_weight_moves_keys_only_to_that_pool() {
    let (before, after) = (split(&[5, 5, 0]), split(&[5, 5, 5]));
    for i in 0..20_000_u32 {
        let (a, b) = (before.choose(&i.to_le_bytes()), after.choose(&i.to_le_bytes()));
        assert!(a == b || b == PoolId(2), "a key moved from {a:?} to {b:?}");
    }
}

#[test]
fn split_without_a_positive_weight_is_none() {
    assert_eq!(Split::new(SplitKey::RequestId, &[pool(0, "a", 0), pool(1, "b", 0)]), None);
    assert_eq!(Split::new(SplitKey::RequestId, &[]), None);
}

/// A change of the hash would move clients to other pools when the program is upgraded.
#[test]
fn choices_are_stable_across_releases() {
    let split = split(&[1, 1, 1]);
    let chosen: String = (0..24_u8).map(|i| split.choose(&[i]).0.to_string()).collect();
    assert_eq!(chosen, "010000102220010112211100");
}
