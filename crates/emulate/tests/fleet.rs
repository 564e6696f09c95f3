//! Requirements on fleets of many proxies, checked over several seeds in virtual time.

use emulate::{run, Fleet, Release, Report, MILLISECOND, SECOND};

fn rejected_fraction(report: &Report) -> f64 {
    report.rejected as f64 / report.client_attempts as f64
}

/// Returns a fleet in which each endpoint is replaced before it counts as warm, and whose clients shed
/// requests when some are rejected.
fn fleet_without_warm_endpoints(seed: u64) -> Fleet {
    let release = Some(Release { start: 10 * SECOND, interval: 500 * MILLISECOND, end: 50 * SECOND });
    let (announced_slow_start, actual_slow_start) = (30 * SECOND, 10 * SECOND);
    let fleet =
        Fleet { proxies: 16, endpoints: 27, load: 0.5, slow_start_min_capacity: 0.14, ..Fleet::default() };
    Fleet { release, announced_slow_start, actual_slow_start, clients_shed: true, seed, ..fleet }
}

/// Guards against a fleet that keeps rejecting requests although its endpoints have capacity, because none of
/// them counts as warm.
#[test]
fn a_release_that_leaves_no_endpoint_warm_still_serves_clients() {
    for seed in 1..=4 {
        let report = run(&fleet_without_warm_endpoints(seed));
        println!(
            "seed {seed}: {:.3} rejected, {} of {} served",
            rejected_fraction(&report),
            report.served,
            report.requests
        );
        assert!(
            rejected_fraction(&report) < 0.25,
            "seed {seed}: {:.3} rejected of {} client attempts",
            rejected_fraction(&report),
            report.client_attempts
        );
        assert!(
            report.served as f64 > 0.93 * report.requests as f64,
            "seed {seed}: {} of {}",
            report.served,
            report.requests
        );
        assert_eq!(report.overloaded_endpoints, 0, "seed {seed}");
    }
}

/// A drain counts as notified even if its response is truncated or never arrives. Guards against forwarding
/// to the drained endpoint after its grace in these cases.
#[test]
fn truncated_or_missing_responses_cause_no_late_forwards() {
    for proxies in [1, 40] {
        for (truncated_fraction, silent_fraction) in
            [(0.0, 0.0), (0.3, 0.0), (0.0, 0.3), (0.3, 0.3), (0.6, 0.2)]
        {
            for seed in 1..=2 {
                let release =
                    Some(Release { start: 2 * SECOND, interval: 700 * MILLISECOND, end: 16 * SECOND });
                let discovery_round = 8 * SECOND;
                let duration = 20 * SECOND;
                let fleet = Fleet {
                    proxies,
                    release,
                    truncated_fraction,
                    silent_fraction,
                    discovery_round,
                    duration,
                    seed,
                    ..Fleet::default()
                };
                let report = run(&fleet);
                assert_eq!(
                    report.late_forwards, 0,
                    "{proxies} proxies, {truncated_fraction} truncated, {silent_fraction} silent, seed {seed}"
                );
                assert_eq!(
                    report.overloaded_endpoints, 0,
                    "{proxies} proxies, {truncated_fraction} truncated, {silent_fraction} silent, seed {seed}"
                );
                // A proxy that receives so few responses is suspended for much of the time.
                assert!(
                    report.served > report.requests / 4,
                    "seed {seed}: {} of {}",
                    report.served,
                    report.requests
                );
            }
        }
    }
}

/// Guards against rejections that grow with the number of proxies, and against proxies that call discovery
/// too often.
#[test]
fn a_fleet_without_faults_rejects_under_two_percent_at_any_size() {
    for proxies in [1, 10, 50, 200] {
        let report = run(&Fleet { proxies, duration: 20 * SECOND, ..Fleet::default() });
        assert!(
            rejected_fraction(&report) < 0.02,
            "{proxies} proxies: {:.3} rejected",
            rejected_fraction(&report)
        );
        let calls_per_proxy = report.queued_calls as f64 / proxies as f64;
        assert!(calls_per_proxy < 3.0, "{proxies} proxies: {calls_per_proxy} queued calls to discovery each");
    }
}

/// Guards against sources of chance outside the seed, which would make failures impossible to reproduce.
#[test]
fn a_run_is_determined_by_its_seed() {
    let fleet = Fleet {
        duration: 10 * SECOND,
        truncated_fraction: 0.1,
        release: Some(Release { start: SECOND, interval: SECOND, end: 9 * SECOND }),
        ..Fleet::default()
    };
    let (first, second) = (run(&fleet), run(&fleet));
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
    assert_ne!(format!("{first:?}"), format!("{:?}", run(&Fleet { seed: 2, ..fleet })));
}
