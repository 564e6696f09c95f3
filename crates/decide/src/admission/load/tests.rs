use super::{LoadEstimator, LoadSource, MAX_HOLD_PERIODS};
use crate::gossip::LoadSignal;
use crate::Settings;

fn estimator(tier: usize, tiers: usize) -> LoadEstimator {
    LoadEstimator::new(&Settings { tier, tiers, ..Settings::default() })
}

/// Guards that rejections count: endpoints that reject answer at once, so their latency alone would show a
/// quiet pool.
#[test]
fn rejections_raise_the_load() {
    let mut load = estimator(0, 1);
    load.record(LoadSignal::latency(0.1));
    let quiet = load.read(&mut [], true).expect("a sample");
    load.start_period();
    load.record(LoadSignal::latency(0.1));
    load.record(LoadSignal::Rejected);
    let rejecting = load.read(&mut [], true).expect("a sample");
    assert!((rejecting.load - quiet.load - 0.5).abs() < 1e-9, "half of the attempts were rejected");
}

/// Guards the choice between answers and reports: the utilisation of a front tier does not include the queues
/// of deeper tiers, so a slow deeper tier would go undetected.
#[test]
fn greater_load_counts_except_in_the_deepest_tier() {
    for (tiers, source) in [(2, LoadSource::Answers), (1, LoadSource::Reports)] {
        let mut load = estimator(0, tiers);
        load.record(LoadSignal::latency(3.0));
        let reading = load.read(&mut [0.5], true).expect("samples");
        assert_eq!(reading.source, source);
    }
}

/// Guards both ends of the hold: samples arrive late, but a cursor that sheds everything gets none and would
/// hold for ever.
#[test]
fn cursor_holds_for_a_bounded_number_of_periods_without_samples() {
    let mut load = estimator(0, 1);
    for _ in 0..MAX_HOLD_PERIODS {
        assert!(load.read(&mut [], true).is_none());
        assert!(load.may_hold());
    }
    assert!(load.read(&mut [], true).is_none());
    assert!(!load.may_hold());
}
