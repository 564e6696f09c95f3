use super::LastLoadReport;
use crate::LoadReport;

/// Guards the estimate against NaN, infinite and negative values of a faulty report, which would spoil every
/// score.
#[test]
fn invalid_values_are_ignored() {
    let mut last = LastLoadReport::default();
    for value in [f64::NAN, f64::INFINITY, -1.0] {
        let report = LoadReport { in_flight: Some(value), utilisation: Some(value), ..LoadReport::default() };
        last.update(10, &report);
    }
    assert_eq!(last.recent_utilisation(0), None);
    assert!((last.queue_estimate(10, 4.0, 100.0) - 4.0).abs() < 1e-9);
}

/// Guards against an outdated report, which would keep requests from an endpoint that is idle again.
#[test]
fn report_loses_its_weight_to_the_own_count() {
    let mut last = LastLoadReport::default();
    last.update(0, &LoadReport { queued: Some(9.0), ..LoadReport::default() });
    last.count_sent();
    assert!((last.queue_estimate(0, 2.0, 100.0) - 10.0).abs() < 1e-9);
    let aged = last.queue_estimate(100, 2.0, 100.0);
    assert!(aged > 2.0 && aged < 10.0);
    assert!((last.queue_estimate(1_000_000, 2.0, 100.0) - 2.0).abs() < 1e-9);
}

/// Guards the load against the utilisation of an earlier control period.
#[test]
fn old_utilisation_is_ignored() {
    let mut last = LastLoadReport::default();
    last.update(50, &LoadReport { utilisation: Some(0.5), ..LoadReport::default() });
    assert_eq!(last.recent_utilisation(50), Some(0.5));
    assert_eq!(last.recent_utilisation(51), None);
}
