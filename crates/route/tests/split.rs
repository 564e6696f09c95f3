//! Splits by weight.

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

#[test]
fn request_counts_follow_the_weights() {
    let counts = request_counts(&split(&[9, 1]), 2);
    assert!((1_800..2_200).contains(&counts[1]), "{counts:?}");
    assert_eq!(request_counts(&split(&[0, 3]), 2)[0], 0, "a weight of 0 takes nothing");
    let most = request_counts(&split(&[u64::MAX, u64::MAX, u64::MAX]), 3);
    assert!(most.iter().all(|c| (6_300..7_000).contains(c)), "weights past any sum: {most:?}");
    assert_eq!(request_counts(&split(&[5]), 1), [20_000], "one pool left");
}

#[test]
fn a_changed_weight_moves_only_keys_of_that_pool() {
    let (before, after) = (split(&[5, 5, 0]), split(&[5, 5, 5]));
    for i in 0..20_000_u32 {
        let (a, b) = (before.choose(&i.to_le_bytes()), after.choose(&i.to_le_bytes()));
        assert!(a == b || b == PoolId(2), "a key went from {a:?} to {b:?}");
    }
}

#[test]
fn a_split_needs_a_weight_above_0() {
    assert_eq!(Split::new(SplitKey::RequestId, &[pool(0, "a", 0), pool(1, "b", 0)]), None);
    assert_eq!(Split::new(SplitKey::RequestId, &[]), None);
}

/// Clients stay in their pool also when the program is upgraded.
#[test]
fn the_hash_is_stable() {
    let split = split(&[1, 1, 1]);
    let chosen: String = (0..24_u8).map(|i| split.choose(&[i]).0.to_string()).collect();
    assert_eq!(chosen, "010000102220010112211100");
}
