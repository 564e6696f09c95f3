//! Fifty sites: withdrawing failed sites saves requests, and the announcements do not oscillate.
#[path = "common/sites.rs"]
mod sites;

use bgp::{Micros, SECOND};
use sites::*;

/// A single fault from second 20 to second 80.
fn one_fault(fault: Fault) -> Vec<ScheduledFault> {
    vec![ScheduledFault { from: 20 * SECOND, until: 80 * SECOND, fault }]
}

const DURATION: Micros = 180 * SECOND;

/// Guards against sending requests to failed sites for long, and against announcing a flapping site again and
/// again.
#[test]
fn failed_sites_lose_traffic_and_flapping_sites_stay_withdrawn() {
    for fault in [
        Fault::SiteDown(7),
        Fault::GroupDown(2),
        Fault::SiteFlaps(9, SECOND),
        Fault::SiteFlaps(9, 7 * SECOND),
    ] {
        let [fixed, undamped, damped] = [Policy::Static, Policy::Undamped, Policy::Damped]
            .map(|p| simulate(p, &one_fault(fault), DURATION, 0.5));
        assert_eq!(damped.seconds_without_site, 0.0);
        assert!(
            damped.sent_to_failed_sites < fixed.sent_to_failed_sites / 10.0,
            "{fault:?}: damped {damped:?}, static {fixed:?}"
        );
        assert!(
            damped.sent_to_failed_sites <= undamped.sent_to_failed_sites,
            "{fault:?}: damped {damped:?}, undamped {undamped:?}"
        );
        assert!(damped.max_announcements_per_minute <= 3, "{fault:?}: {damped:?}");
    }
}

/// Guards against an outage of the whole service when the source of all endpoint lists fails. The undamped
/// policy withdraws the address everywhere, which shows that the scenario can cause this.
#[test]
fn stale_lists_at_all_sites_withdraw_nothing() {
    let undamped = simulate(Policy::Undamped, &one_fault(Fault::StaleLists), DURATION, 0.5);
    let damped = simulate(Policy::Damped, &one_fault(Fault::StaleLists), DURATION, 0.5);
    assert!(undamped.seconds_without_site > 50.0, "the scenario causes no outage: {undamped:?}");
    assert_eq!((damped.seconds_without_site, damped.announcements), (0.0, 0));
    assert!(damped.served > 0.999);
}

/// Guards against an endless cycle in which overloaded sites withdraw, shift their load to others, and
/// announce again. With 30 of 50 sites down, the others get 2.5 times their load, and above 1.5 times the
/// capacity endpoints stop responding.
#[test]
fn overload_cascade_between_sites_does_not_oscillate() {
    let faults: Vec<ScheduledFault> = (0..3)
        .map(|group| ScheduledFault { from: 20 * SECOND, until: 80 * SECOND, fault: Fault::GroupDown(group) })
        .collect();
    let undamped = simulate(Policy::Undamped, &faults, DURATION, 1.0);
    let damped = simulate(Policy::Damped, &faults, DURATION, 1.0);
    assert!(
        undamped.max_announcements_per_minute > 2 * damped.max_announcements_per_minute,
        "undamped {undamped:?}, damped {damped:?}"
    );
    assert!(damped.max_announcements_per_minute <= 4, "{damped:?}");
}
