//! Processes that start with a list: none forwards by it past the drain grace of changes that were made while it was down.
//!
//! The oracle counts forwarded requests by the platform's rule alone: a change counts as notified six seconds after discovery had it
//! and could be reached, and at the earliest when the process started.

use emulate::{run, Fleet, Outage, Release, Report, Restart, MILLISECOND, SECOND};

/// A release that starts at four seconds and replaces an endpoint every 300 ms.
fn release(fleet: Fleet) -> Fleet {
    Fleet {
        release: Some(Release { start: 4 * SECOND, interval: 300 * MILLISECOND, end: 16 * SECOND }),
        duration: 24 * SECOND,
        endpoints: 60,
        ..fleet
    }
}

fn show(what: &str, report: &Report) {
    println!(
        "{what}: {} late forwards, {} withheld, {} of {} served, {} rejected, {} calls to discovery, {} rejected calls",
        report.late_forwards,
        report.withheld,
        report.served,
        report.requests,
        report.rejected,
        report.queued_calls,
        report.rejected_calls
    );
}

#[test]
fn a_restarted_process_forwards_nothing_by_a_stale_list() {
    for proxies in [1, 30, 300] {
        for downtime in [500 * MILLISECOND, 2 * SECOND, 5 * SECOND, 9 * SECOND] {
            for seed in 1..=3 {
                let restart =
                    Some(Restart { at: 5 * SECOND, fraction: 0.7_f64.max(1.0 / proxies as f64), downtime });
                let report = run(&release(Fleet { proxies, restart, seed, ..Fleet::default() }));
                show(
                    &format!("{proxies} proxies, down for {} ms, seed {seed}", downtime / MILLISECOND),
                    &report,
                );
                assert_eq!(report.late_forwards, 0, "{proxies} proxies, down for {downtime}, seed {seed}");
                assert!(report.served > report.requests / 3, "seed {seed}: forwards next to nothing");
            }
        }
    }
}

#[test]
fn a_process_restarted_during_an_overload_of_discovery_does_not_take_it_for_an_outage() {
    for seed in 1..=6 {
        // Discovery recovers just before seven in ten proxies start again, and all poll it.
        let outage = Some(Outage { start: 2 * SECOND, end: 9 * SECOND });
        let restart = Some(Restart { at: 9 * SECOND, fraction: 0.7, downtime: 1_500 * MILLISECOND });
        let fleet =
            Fleet { proxies: 300, outage, restart, discovery_round: 5 * SECOND, seed, ..Fleet::default() };
        let report = run(&Fleet {
            release: Some(Release {
                start: 9_500 * MILLISECOND,
                interval: 300 * MILLISECOND,
                end: 20 * SECOND,
            }),
            duration: 28 * SECOND,
            endpoints: 60,
            ..fleet
        });
        show(&format!("an overload, seed {seed}"), &report);
        assert_eq!(report.late_forwards, 0, "seed {seed}");
        assert!(report.served > report.requests / 3, "seed {seed}: forwards next to nothing");
    }
}
