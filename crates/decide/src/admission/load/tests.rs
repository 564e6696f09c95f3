use super::{LoadEstimator, LoadSource, MAX_HOLD_PERIODS};
use crate::gossip::LoadSignal;
use crate::Settings;

fn estimator(tier: usize, tiers: usize) -> LoadEstimator {
    LoadEstimator::new(&Settings { tier, tiers, ..Settings::default() })
}

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

#[test]
fn the_greater_load_counts_except_in_the_deepest_tier() {
    for (tiers, source) in [(2, LoadSource::Answers), (1, LoadSource::Reports)] {
        let mut load = estimator(0, tiers);
        load.record(LoadSignal::latency(3.0));
        let reading = load.read(&mut [0.5], true).expect("samples");
        assert_eq!(reading.source, source);
    }
}

#[test]
fn cursor_holds_for_some_periods_without_samples() {
    let mut load = estimator(0, 1);
    for _ in 0..MAX_HOLD_PERIODS {
        assert!(load.read(&mut [], true).is_none());
        assert!(load.may_hold());
    }
    assert!(load.read(&mut [], true).is_none());
    assert!(!load.may_hold());
}
