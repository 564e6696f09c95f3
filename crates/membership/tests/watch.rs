//! Tests a watch with a discovery whose calls end in various ways: no request is forwarded after the bound of
//! the lease, and the rate of polls stays within limits.

mod watch_simulation;

use std::collections::BTreeMap;

use fastrand::Rng;
use membership::{
    CallFailure, CallResult, DiscoveryMode, DiscoveryWatch, Expiry, InitialList, ListStatus, Micros,
    WatchAction, WatchEvent, WatchPolicy,
};
use proptest::prelude::*;
use watch_simulation::{
    polled_policy, pushed_policy, running, CallOutcome, World, DRAIN_GRACE, LEASE_TERMS, MILLISECOND,
    OUTCOMES, SECOND,
};

/// Guards against requests to a draining endpoint when the call at the time of the drain and its retries end
/// in any two ways.
#[test]
fn any_two_call_outcomes_during_a_drain_stop_forwarding_at_the_bound() {
    // The call in flight at the drain ends as `first`, and the calls in the 25 s after it as `later`.
    for first in OUTCOMES {
        for later in OUTCOMES {
            for step in 0..160 {
                let drained_at = step * 125 * MILLISECOND;
                let seed = step as u64;
                let mut world = World::new(polled_policy(), seed, drained_at);
                let mut outcome = |_: usize, at: Micros| match at {
                    at if at + 7 * SECOND < drained_at => CallOutcome::Completed,
                    at if at <= drained_at => first,
                    at if at < drained_at + 25 * SECOND => later,
                    _ => CallOutcome::Completed,
                };
                world.run(60 * SECOND, &mut Rng::with_seed(seed), &mut outcome);
                assert!(
                    world.max_calls <= 2,
                    "{first:?} {later:?} {drained_at}: {} calls at once",
                    world.max_calls
                );
                assert_eq!(world.received_version, 1, "{first:?} {later:?} {drained_at}: never received");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    /// Guards against requests to a draining endpoint, and against polling in a tight loop, after any
    /// sequence of call outcomes.
    #[test]
    fn call_outcomes_in_any_order_stop_forwarding_at_the_bound(
        seed: u64,
        drained_at in 0..30 * SECOND,
        outcomes in proptest::collection::vec(0..OUTCOMES.len(), 1..60),
    ) {
        let mut world = World::new(polled_policy(), seed, drained_at);
        world.run(600 * SECOND, &mut Rng::with_seed(seed), &mut |number, _| {
            outcomes.get(number).map_or(CallOutcome::Completed, |&index| OUTCOMES[index])
        });
        prop_assert!(world.max_calls <= 2);
        prop_assert_eq!(world.received_version, 1);
        // Discovery is not polled in a tight loop.
        for at in &world.polls {
            let calls_per_second = world.polls.iter().filter(|other| other.0 >= at.0 && other.0 < at.0 + SECOND).count();
            prop_assert!(calls_per_second <= 12, "{} calls in a second", calls_per_second);
        }
    }
}

/// Guards against a suspension of forwarding after a single incomplete response: the retry must come before
/// its changes count as notified.
#[test]
fn incomplete_response_is_retried_before_forwarding_is_suspended() {
    for seed in 0..200 {
        for first in
            [CallOutcome::Truncated, CallOutcome::Stalled, CallOutcome::Malformed, CallOutcome::Silent]
        {
            let mut world = World::new(polled_policy(), seed, 2 * SECOND);
            let mut suspended = false;
            world.run(20 * SECOND, &mut Rng::with_seed(seed), &mut |number, _| {
                if number == 0 {
                    first
                } else {
                    CallOutcome::Completed
                }
            });
            suspended |= world.watch.expiry().is_none_or(|expiry| expiry.from <= world.now + 2 * SECOND);
            let (retried_at, wait) = world.polls[1];
            assert!(
                !suspended && retried_at < world.notified_at.expect("notified"),
                "{first:?}, seed {seed}: retried at {retried_at}"
            );
            assert!(wait <= 250 * MILLISECOND, "a long wait would delay the check for a missed change");
        }
    }
}

/// Guards against a suspension of forwarding when no change can have been notified: connections are refused,
/// no lease terms are set, or an agent that confirmed the list is silent.
#[test]
fn outage_without_a_possible_notification_does_not_suspend_forwarding() {
    // No proxy can reach discovery, so nothing counts as notified, however long the outage lasts.
    let mut world = World::new(polled_policy(), 7, 300 * SECOND);
    let mut rng = Rng::with_seed(7);
    world.run(120 * SECOND, &mut rng, &mut |_, at| {
        if at < 10 * SECOND {
            CallOutcome::Completed
        } else {
            CallOutcome::ConnectionRefused
        }
    });
    assert!(
        world.watch.expiry().is_some_and(|expiry| expiry.from > 122 * SECOND),
        "nothing was notified: {:?}",
        world.watch.expiry()
    );
    let calls = world.polls.iter().filter(|(at, _)| *at > 20 * SECOND).count();
    assert!(
        (50..=200).contains(&calls),
        "discovery is polled steadily, but not in a tight loop: {calls} calls"
    );
    // Standalone mode: no terms bound the use of the list.
    for outcome in [CallOutcome::ConnectionRefused, CallOutcome::QueuedRejection] {
        let mut world = World::new(WatchPolicy { mode: DiscoveryMode::Polled, lease: None }, 7, 300 * SECOND);
        world.run(120 * SECOND, &mut rng, &mut |_, at| {
            if at < 10 * SECOND {
                CallOutcome::Completed
            } else {
                outcome
            }
        });
        assert!(world.watch.expiry().is_none(), "{outcome:?}: the list stays in use");
        assert!(world.watch_ends.len() > 10, "{outcome:?}: the watch ends, and the balancer starts it again");
    }
    // Pushed lists: an agent is silent while discovery is down. A list that it has confirmed stays in use, and it
    // is polled steadily, so that the end of the outage is noticed.
    let mut world = World::new(pushed_policy(), 7, 300 * SECOND);
    world.watch = DiscoveryWatch::new(pushed_policy(), InitialList::Unconfirmed, 0, 7);
    world.run(120 * SECOND, &mut Rng::with_seed(7), &mut |number, _| match number {
        0 => CallOutcome::Completed,
        _ => CallOutcome::Silent,
    });
    assert_eq!(world.suspended_from, None, "a confirmed list stays in use");
    let gaps = world.polls.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(world.polls.len() > 200 && gaps.max() <= Some(10 * SECOND + 250 * MILLISECOND));
    let late_gaps = world.polls.windows(2).skip(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(late_gaps.max() <= Some(300 * MILLISECOND), "polled steadily");
}

/// Guards against the silence of an agent being taken for the confirmation of a list of unknown age: the agent may
/// have a newer one, and be silent because discovery is down.
#[test]
fn silent_agent_does_not_confirm_the_list_that_a_process_starts_with() {
    for seed in 0..50 {
        let mut world = World::new(pushed_policy(), seed, 300 * SECOND);
        world.watch = DiscoveryWatch::new(pushed_policy(), InitialList::Unconfirmed, 0, seed);
        world.run(30 * SECOND, &mut Rng::with_seed(seed), &mut |_, _| CallOutcome::Silent);
        assert_eq!(world.suspended_from, Some(DRAIN_GRACE - LEASE_TERMS.margin), "seed {seed}");
        let status = world.watch.status();
        assert_eq!((status.list, status.last_call), (ListStatus::Unconfirmed, CallResult::Silent));
    }
}

/// Guards against an endless suspension, and against frequent retries, when every response is truncated.
#[test]
fn missing_responses_suspend_forwarding_for_a_bounded_time() {
    let mut world = World::new(polled_policy(), 3, 2 * SECOND);
    world.run(200 * SECOND, &mut Rng::with_seed(3), &mut |_, _| CallOutcome::Truncated);
    let Expiry { from, until, .. } = world.watch.expiry().expect("suspended");
    let notified_at = world.notified_at.expect("notified");
    assert!(
        from <= notified_at + DRAIN_GRACE - 100 * MILLISECOND && until == from + LEASE_TERMS.max_suspension,
        "{from} to {until}, notified at {notified_at}"
    );
    // Retries are infrequent by then.
    let late_calls = world.polls.iter().filter(|(at, _)| *at > 100 * SECOND).count();
    assert!((15..90).contains(&late_calls), "{late_calls} calls in 100 s");
}

/// Guards against a fleet that retries at the same time because its proxies started together.
#[test]
fn proxies_that_started_together_retry_at_different_times() {
    // Discovery does not respond to the first calls of forty proxies.
    let mut retried_at: Vec<Micros> = (0..40)
        .map(|seed| {
            let mut world = World::new(polled_policy(), seed, 300 * SECOND);
            let mut outcome = |number: usize, _: Micros| {
                if number == 0 {
                    CallOutcome::Silent
                } else {
                    CallOutcome::Completed
                }
            };
            world.run(15 * SECOND, &mut Rng::with_seed(seed), &mut outcome);
            world.polls[1].0
        })
        .collect();
    retried_at.sort_unstable();
    let max_in_a_second = retried_at
        .iter()
        .map(|at| retried_at.iter().filter(|other| (*at..at + SECOND).contains(*other)).count())
        .max();
    assert!(max_in_a_second < Some(20), "{max_in_a_second:?} of 40 retry within a second");
}

/// Plays a move of discovery to an address that turns each call away after two seconds in its queue, and returns
/// the earliest start of a suspension that was announced. `before` plays what happens before the move.
fn suspension_after_move(
    moved_at: Micros,
    before: impl FnOnce(&mut DiscoveryWatch, &mut Vec<WatchAction>),
) -> Micros {
    let mut watch = running(polled_policy(), 1);
    let mut actions = Vec::new();
    watch.handle(0, WatchEvent::StartWatch, &mut actions);
    before(&mut watch, &mut actions);
    actions.clear();
    watch.handle(moved_at, WatchEvent::AddressChanged, &mut actions);
    let mut turned_away_at = BTreeMap::new();
    let mut suspended_from = Micros::MAX;
    let mut now = moved_at;
    while now < moved_at + 12 * SECOND {
        for action in actions.drain(..) {
            match action {
                WatchAction::Poll { call, .. } => drop(turned_away_at.insert(call, now + 2 * SECOND)),
                WatchAction::CloseCall { call } => drop(turned_away_at.remove(&call)),
                WatchAction::WatchEnded => panic!("a watch with lease terms does not end"),
            }
        }
        let expiry = watch.expiry().expect("every list with lease terms has a bound");
        suspended_from = suspended_from.min(expiry.from.max(now));
        let next_failure = turned_away_at.iter().map(|(call, at)| (*at, *call)).min();
        let wake = watch.wake_at().unwrap_or(Micros::MAX);
        let (at, event) = match next_failure {
            Some((at, call)) if at <= wake => {
                turned_away_at.remove(&call);
                (at, WatchEvent::CallFailed { call, failure: CallFailure::ErrorResponse })
            }
            _ => (wake, WatchEvent::TimerDue),
        };
        now = at.max(now);
        watch.handle(now, event, &mut actions);
        let expiry = watch.expiry().expect("every list with lease terms has a bound");
        assert!(
            expiry.from <= moved_at + 6 * SECOND + DRAIN_GRACE - LEASE_TERMS.margin,
            "a call that was turned away at {now} postponed the suspension: {expiry:?}"
        );
    }
    suspended_from
}

/// Guards against requests to a node whose drain was missed because discovery is crowded at the address of a new
/// configuration: calls that are turned away prove no outage, so a drain right after the move counts as notified
/// six seconds later.
#[test]
fn crowded_discovery_after_a_move_is_not_taken_for_an_outage() {
    let suspended_from = suspension_after_move(SECOND, |watch, actions| {
        let Some(WatchAction::Poll { call, .. }) = actions.first().copied() else { panic!("{actions:?}") };
        let completed = WatchEvent::ResponseCompleted { call, changed: true };
        watch.handle(500 * MILLISECOND, completed, actions);
    });
    assert_eq!(suspended_from, SECOND + 6 * SECOND + DRAIN_GRACE - LEASE_TERMS.margin);
}

/// What was presumed of the old address says nothing about the new one.
#[test]
fn outage_at_the_old_address_does_not_postpone_the_suspension_after_a_move() {
    let suspended_from = suspension_after_move(3 * SECOND, |watch, actions| {
        let Some(WatchAction::Poll { call, .. }) = actions.first().copied() else { panic!("{actions:?}") };
        let watch_ended = WatchEvent::CallFailed { call, failure: CallFailure::ErrorResponse };
        watch.handle(1_500 * MILLISECOND, watch_ended, actions);
        let expiry = watch.expiry().expect("every list with lease terms has a bound");
        assert!(expiry.from > 14 * SECOND, "an outage is presumed: {expiry:?}");
    });
    assert!(suspended_from <= 3 * SECOND + 6 * SECOND + DRAIN_GRACE - LEASE_TERMS.margin, "{suspended_from}");
}

/// Guards against requests to a node whose drain was missed because discovery was down for two seconds and is
/// crowded after that: the drain counts as notified six seconds after discovery had it and could be reached.
#[test]
fn crowd_after_a_short_outage_does_not_postpone_the_suspension() {
    let mut watch = running(polled_policy(), 1);
    let mut actions = Vec::new();
    watch.handle(0, WatchEvent::StartWatch, &mut actions);
    let went_down_at = 1_500 * MILLISECOND;
    let drained_at = went_down_at + 2 * SECOND;
    let mut turned_away_at = went_down_at;
    while turned_away_at < 20 * SECOND {
        let Some(WatchAction::Poll { call, .. }) = actions.pop() else { panic!("polled again") };
        let turned_away = WatchEvent::CallFailed { call, failure: CallFailure::ErrorResponse };
        watch.handle(turned_away_at, turned_away, &mut actions);
        let retried_at = watch.wake_at().expect("a retry is planned");
        watch.handle(retried_at, WatchEvent::TimerDue, &mut actions);
        turned_away_at = retried_at + 2 * SECOND;
    }
    let expiry = watch.expiry().expect("every list with lease terms has a bound");
    assert!(expiry.from <= drained_at + 6 * SECOND + DRAIN_GRACE, "suspended from {} on", expiry.from);
}

/// Guards against a list of the old address that stays in use: the version at the new address is unknown, so
/// the full list must be requested at once.
#[test]
fn changed_address_is_polled_for_the_full_list_at_once() {
    let mut watch = running(polled_policy(), 1);
    let mut actions = Vec::new();
    watch.handle(0, WatchEvent::StartWatch, &mut actions);
    watch.handle(SECOND, WatchEvent::AddressChanged, &mut actions);
    let WatchAction::Poll { call: first, .. } = actions[0] else { panic!("{actions:?}") };
    let WatchAction::Poll { call: second, wait: 0 } = actions[2] else { panic!("{actions:?}") };
    assert_eq!(actions[1], WatchAction::CloseCall { call: first });
    // Events of calls to the old address are ignored.
    actions.clear();
    watch.handle(SECOND, WatchEvent::ResponseTruncated { call: first }, &mut actions);
    let expiry = watch.expiry().expect("every list with lease terms has a bound");
    assert!(actions.is_empty() && expiry.from >= SECOND + 6 * SECOND, "{expiry:?}");
    watch.handle(SECOND, WatchEvent::ResponseCompleted { call: second, changed: true }, &mut actions);
    assert!(matches!(actions[..], [WatchAction::Poll { wait, .. }] if wait >= 3 * SECOND), "{actions:?}");
}
