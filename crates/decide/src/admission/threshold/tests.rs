use super::{BaseThreshold, Occupancy};
use crate::throughput::Throughput;

fn threshold(ready: usize) -> BaseThreshold {
    let mut threshold = BaseThreshold::new(10);
    threshold.on_pool_change(0, ready, &mut Throughput::default());
    threshold
}

/// Guards the threshold against a change of the pool: an unscaled one would overload the endpoints that are
/// left. An empty list must not set it to zero, because nothing would be admitted when the endpoints are
/// listed again.
#[test]
fn threshold_scales_with_the_pool() {
    let mut throughput = Throughput::default();
    let mut threshold = threshold(20);
    assert!((threshold.value() - 20.0).abs() < 1e-9);
    threshold.on_pool_change(20, 10, &mut throughput);
    assert!((threshold.value() - 10.0).abs() < 1e-9);
    assert_eq!(threshold.per_endpoint(10), Some(10.0));
    threshold.on_pool_change(10, 0, &mut throughput);
    assert!((threshold.value() - 10.0).abs() < 1e-9, "an empty pool changes nothing");
}

/// Guards the lowest threshold: without it a balancer with few requests sheds by chance, and while shedding
/// it would let many small balancers together overload the pool.
#[test]
fn floor_applies_only_while_nothing_is_shed() {
    let threshold = threshold(4);
    let alone = Occupancy { in_flight: 3, peers_in_flight: 0, peers: 0 };
    assert!((threshold.check(alone, false).threshold - 7.0).abs() < 1e-9);
    assert!((threshold.check(alone, true).threshold - 4.0).abs() < 1e-9);
}

/// Guards the comparison of small balancers: the requests of one alone are too few, so its gossip group
/// counts together. A balancer with a large threshold must not count its peers.
#[test]
fn small_threshold_is_summed_over_the_gossip_group() {
    let occupancy = Occupancy { in_flight: 3, peers_in_flight: 9, peers: 2 };
    let small = threshold(4).check(occupancy, true);
    assert_eq!(small.in_flight, 12);
    assert!((small.threshold - 12.0).abs() < 1e-9);
    let large = threshold(40).check(occupancy, true);
    assert_eq!(large.in_flight, 3);
    assert!((large.threshold - 40.0).abs() < 1e-9);
}
