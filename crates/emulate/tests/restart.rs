//! A process that restarts with the list that it had must not forward to an endpoint after the grace of a
//! drain that it missed while it was down.
//!
//! The simulation counts late forwards by the platform's rule alone: a change counts as notified six seconds
//! after discovery had it and could be reached, and not before the process started.

use emulate::{run, Fleet, Outage, Release, Report, Restart, MILLISECOND, SECOND};

/// Adds a release that starts at four seconds and replaces an endpoint every 300 ms.
fn release(fleet: Fleet) -> Fleet {
    Fleet {
        release: Some(Release { start: 4 * SECOND, interval: 300 * MILLISECOND, end: 16 * SECOND }),
        duration: 24 * SECOND,
        endpoints: 60,
        ..fleet
    }
}

fn print_report(title: &str, report: &Report) {
    println!(
        "{title}: {} late forwards, {} withheld, {} of {} served, {} rejected, {} calls to discovery, {} rejected calls",
        report.late_forwards,
        report.withheld,
        report.served,
        report.requests,
        report.rejected,
        report.queued_calls,
        report.rejected_calls
    );
}

/// Guards against a process that trusts the list it starts with, although endpoints were drained while it was
/// down.
#[test]
fn a_restarted_process_forwards_nothing_by_a_stale_list() {
    for proxies in [1, 30, 300] {
        for downtime in [500 * MILLISECOND, 2 * SECOND, 5 * SECOND, 9 * SECOND] {
            for seed in 1..=3 {
                let restart =
                    Some(Restart { at: 5 * SECOND, fraction: 0.7_f64.max(1.0 / proxies as f64), downtime });
                let report = run(&release(Fleet { proxies, restart, seed, ..Fleet::default() }));
                print_report(
                    &format!("{proxies} proxies, down for {} ms, seed {seed}", downtime / MILLISECOND),
                    &report,
                );
                assert_eq!(report.late_forwards, 0, "{proxies} proxies, down for {downtime}, seed {seed}");
                assert!(
                    report.served > report.requests / 3,
                    "seed {seed}: fewer than a third of the requests are served"
                );
            }
        }
    }
}

/// Discovery rejects calls when many processes restart and poll it at once. Guards against mistaking these
/// rejections for an outage and forwarding by a stale list.
#[test]
fn an_overload_of_discovery_after_a_restart_is_not_taken_for_an_outage() {
    for seed in 1..=6 {
        // Discovery recovers at 9 s, and 1.5 s later 70% of the proxies restart and poll it at once.
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
        print_report(&format!("overloaded discovery, seed {seed}"), &report);
        assert_eq!(report.late_forwards, 0, "seed {seed}");
        assert!(
            report.served > report.requests / 3,
            "seed {seed}: fewer than a third of the requests are served"
        );
    }
}
