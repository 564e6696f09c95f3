//! Processes that start with a list in hand: none sends by it past the grace of what changed while it was away.
//!
//! The oracle counts sends, by the operators' term alone: a change counts as known six seconds after discovery had it and could
//! be reached, and at the earliest when the process started.

use emulate::{run, Fleet, Report, Restart, MS, S};

/// A release that begins at four seconds and replaces a node each 300 ms.
fn release(fleet: Fleet) -> Fleet {
    Fleet { release: Some((4 * S, 300 * MS, 16 * S)), length: 24 * S, nodes: 60, ..fleet }
}

fn show(what: &str, report: &Report) {
    println!(
        "{what}: {} late sends, {} withheld, {} of {} served, {} refused, {} calls to discovery, {} turned away",
        report.late_sends,
        report.withheld,
        report.served,
        report.asked,
        report.refused,
        report.list_calls,
        report.turned_away
    );
}

#[test]
fn a_restarted_process_sends_nothing_by_a_list_that_is_too_old() {
    for proxies in [1, 30, 300] {
        for downtime in [500 * MS, 2 * S, 5 * S, 9 * S] {
            for seed in 1..=3 {
                let restart = Some(Restart { at: 5 * S, share: 0.7_f64.max(1.0 / proxies as f64), downtime });
                let report = run(&release(Fleet { proxies, restart, seed, ..Fleet::default() }));
                show(&format!("{proxies} proxies, down for {} ms, seed {seed}", downtime / MS), &report);
                assert_eq!(report.late_sends, 0, "{proxies} proxies, down for {downtime}, seed {seed}");
                assert!(report.served > report.asked / 3, "seed {seed}: sends next to nothing");
            }
        }
    }
}

#[test]
fn a_process_restarted_into_a_crowd_does_not_take_it_for_an_outage() {
    for seed in 1..=6 {
        // Discovery comes back just before seven in ten start again, and everybody asks it.
        let outage = Some((2 * S, 9 * S));
        let restart = Some(Restart { at: 9 * S, share: 0.7, downtime: 1_500 * MS });
        let fleet = Fleet { proxies: 300, outage, restart, all_calls: 5 * S, seed, ..Fleet::default() };
        let report =
            run(&Fleet { release: Some((9_500 * MS, 300 * MS, 20 * S)), length: 28 * S, nodes: 60, ..fleet });
        show(&format!("a crowd, seed {seed}"), &report);
        assert_eq!(report.late_sends, 0, "seed {seed}");
        assert!(report.served > report.asked / 3, "seed {seed}: sends next to nothing");
    }
}
