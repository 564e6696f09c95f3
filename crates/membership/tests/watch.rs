//! A watch against a discovery that misbehaves, in simulated time.
//!
//! The stand-in follows the platform's rule: a change that it begins to write counts as notified two seconds after the wait of its
//! call ended, whether it arrives or not. The test checks what is forwarded against that, not against the state of the watch.

use std::collections::BTreeMap;

use fastrand::Rng;
use membership::{
    CallFailure, CallId, DiscoveryMode, DiscoveryWatch, Expiry, InitialList, LeaseTerms, Micros, WatchAction,
    WatchEvent, WatchPolicy,
};
use proptest::prelude::*;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
const DRAIN_GRACE: Micros = 500 * MILLISECOND;
const DRAIN_MARGIN: Micros = 150 * MILLISECOND;
const LEASE_TERMS: LeaseTerms = LeaseTerms {
    drain_grace: DRAIN_GRACE,
    margin: DRAIN_MARGIN,
    max_suspension: 40 * SECOND,
    presumed_outage: 8 * SECOND,
};

/// How a call ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallOutcome {
    Completed,
    /// Its head is received, and then the connection breaks.
    Truncated,
    /// Its head is received, and nothing more.
    Stalled,
    Malformed,
    Silent,
    /// Refused at once.
    ConnectionRefused,
    /// Queued for two seconds, and then rejected.
    QueuedRejection,
}

const OUTCOMES: [CallOutcome; 7] = [
    CallOutcome::Completed,
    CallOutcome::Truncated,
    CallOutcome::Stalled,
    CallOutcome::Malformed,
    CallOutcome::Silent,
    CallOutcome::ConnectionRefused,
    CallOutcome::QueuedRejection,
];

/// One proxy and one discovery, whose list changes at one moment: an endpoint drains.
struct World {
    watch: DiscoveryWatch,
    now: Micros,
    /// Scheduled events, in the order of their times.
    pending_events: BTreeMap<(Micros, u64), WatchEvent>,
    scheduled_count: u64,
    drained_at: Micros,
    /// The version of the list in hand: 1 with the drain.
    received_version: u64,
    /// The version that each call in flight will bring.
    version_by_call: BTreeMap<CallId, u64>,
    /// When the drain counts as notified.
    notified_at: Option<Micros>,
    /// From when on a change may have been notified since the last complete response.
    in_doubt_from: Option<Micros>,
    polls: Vec<(Micros, Micros)>,
    watch_ends: Vec<Micros>,
    max_calls: usize,
}

impl World {
    fn new(policy: WatchPolicy, seed: u64, drained_at: Micros) -> World {
        World {
            watch: running(policy, seed),
            now: 0,
            pending_events: BTreeMap::new(),
            scheduled_count: 0,
            drained_at,
            received_version: 0,
            version_by_call: BTreeMap::new(),
            notified_at: None,
            in_doubt_from: None,
            polls: Vec::new(),
            watch_ends: Vec::new(),
            max_calls: 0,
        }
    }

    fn schedule(&mut self, at: Micros, event: WatchEvent) {
        self.scheduled_count += 1;
        self.pending_events.insert((at, self.scheduled_count), event);
    }

    fn notify(&mut self, at: Micros) {
        self.notified_at = Some(self.notified_at.map_or(at, |notified_at| notified_at.min(at)));
    }

    /// Schedules the events of a call that ends in this way.
    fn call(&mut self, id: CallId, wait: Micros, outcome: CallOutcome) {
        self.polls.push((self.now, wait));
        let held_until =
            if self.drained_at <= self.now { self.now } else { self.drained_at.min(self.now + wait) };
        let version = u64::from(self.drained_at <= held_until);
        // A change is written at once, or when the wait is over, and arrives 30 ms later.
        let has_change = version > self.received_version;
        let responds_at = held_until + 30 * MILLISECOND;
        let notified_by = held_until + 2 * SECOND;
        self.version_by_call.insert(id, version);
        match outcome {
            CallOutcome::Completed => {
                self.schedule(responds_at, WatchEvent::ResponseStarted { call: id });
                self.schedule(
                    responds_at + 5 * MILLISECOND,
                    WatchEvent::ResponseCompleted { call: id, changed: has_change },
                );
            }
            CallOutcome::Truncated | CallOutcome::Malformed => {
                self.schedule(responds_at, WatchEvent::ResponseStarted { call: id });
                self.schedule(responds_at + 200 * MILLISECOND, WatchEvent::ResponseTruncated { call: id });
            }
            CallOutcome::Stalled => self.schedule(responds_at, WatchEvent::ResponseStarted { call: id }),
            CallOutcome::Silent => {}
            CallOutcome::ConnectionRefused => self.schedule(
                self.now + MILLISECOND,
                WatchEvent::CallFailed { call: id, failure: CallFailure::ConnectionRefused },
            ),
            CallOutcome::QueuedRejection => self.schedule(
                self.now + 2 * SECOND,
                WatchEvent::CallFailed { call: id, failure: CallFailure::ErrorResponse },
            ),
        }
        let in_doubt_from = match outcome {
            CallOutcome::Truncated | CallOutcome::Malformed | CallOutcome::Stalled => Some(notified_by),
            CallOutcome::Silent => Some(self.now + wait + 2 * SECOND),
            _ => None,
        };
        self.in_doubt_from = in_doubt_from
            .map(|at| self.in_doubt_from.map_or(at, |earlier| earlier.min(at)))
            .or(self.in_doubt_from);
        match outcome {
            CallOutcome::Completed if has_change => self.notify(responds_at),
            CallOutcome::Truncated | CallOutcome::Malformed | CallOutcome::Stalled if has_change => {
                self.notify(notified_by)
            }
            // Silence can be known only when the wait is over.
            CallOutcome::Silent if has_change => self.notify(self.now + wait + 2 * SECOND),
            _ => {}
        }
    }

    /// Runs until `end`; `outcome` says how each call ends, by its number and time.
    fn run(&mut self, end: Micros, rng: &mut Rng, outcome: &mut dyn FnMut(usize, Micros) -> CallOutcome) {
        self.schedule(0, WatchEvent::StartWatch);
        let mut calls_in_flight = 0_usize;
        while self.now < end
            && !(self.received_version == 1 && self.in_doubt_from.is_none() && self.now > 60 * SECOND)
        {
            let event = self.pending_events.first_key_value().map(|(&(at, _), _)| at);
            let wake = self.watch.wake_at().map(|at| at.max(self.now));
            let Some(at) = event.into_iter().chain(wake).min() else { break };
            // Requests come all the time: is any forwarded that must not be?
            self.check_no_late_forward(self.now, at.min(end));
            self.now = at;
            let event = match event {
                Some(event) if event <= at => self.pending_events.pop_first().expect("there is one").1,
                _ => WatchEvent::TimerDue,
            };
            if let WatchEvent::ResponseCompleted { call: id, .. } = event {
                if let Some(version) = self.version_by_call.get(&id) {
                    self.received_version = self.received_version.max(*version);
                }
                self.in_doubt_from = None;
            }
            let mut actions = Vec::new();
            self.watch.handle(at, event, &mut actions);
            if matches!(
                event,
                WatchEvent::ResponseCompleted { .. }
                    | WatchEvent::ResponseTruncated { .. }
                    | WatchEvent::CallFailed { .. }
            ) {
                calls_in_flight = calls_in_flight.saturating_sub(1);
            }
            for action in actions {
                match action {
                    WatchAction::Poll { call: id, wait } => {
                        calls_in_flight += 1;
                        self.max_calls = self.max_calls.max(calls_in_flight);
                        let outcome = outcome(self.polls.len(), at);
                        self.call(id, wait, outcome);
                    }
                    WatchAction::CloseCall { call: id } => {
                        calls_in_flight = calls_in_flight.saturating_sub(1);
                        self.version_by_call.remove(&id);
                        self.pending_events.retain(
                            |_, event| !matches!(event, WatchEvent::ResponseStarted { call: other } | WatchEvent::ResponseCompleted { call: other, .. } | WatchEvent::ResponseTruncated { call: other } | WatchEvent::CallFailed { call: other, .. } if *other == id),
                        );
                    }
                    WatchAction::WatchEnded => {
                        self.watch_ends.push(at);
                        // As the balancer does.
                        let pause = rng.i64(1..=SECOND);
                        self.schedule(at + pause, WatchEvent::StartWatch);
                    }
                }
            }
        }
    }

    /// Checks a time without events: was anything forwarded to the draining endpoint too late?
    fn check_no_late_forward(&self, from: Micros, to: Micros) {
        let Some(notified_at) = self.notified_at.filter(|_| self.received_version == 0) else { return };
        let forwarding_ends = notified_at + DRAIN_GRACE;
        // After that the list is relied on again, whatever comes.
        let last = self.in_doubt_from.map_or(Micros::MAX, |doubt| {
            doubt + DRAIN_GRACE - DRAIN_MARGIN + LEASE_TERMS.max_suspension - SECOND / 2
        });
        let (from, to) = (from.max(forwarding_ends), to.min(last));
        if from < to {
            let suspended = self.watch.expiry().map(|expiry| (expiry.from, expiry.until));
            assert!(
                suspended.is_some_and(|(begin, end)| begin <= from && to <= end),
                "forwarded to a draining endpoint between {from} and {to}, notified at {notified_at}: {suspended:?}, calls {:?}",
                self.polls
            );
        }
    }
}

/// A watch whose list was confirmed a second before the run starts.
fn running(policy: WatchPolicy, seed: u64) -> DiscoveryWatch {
    let mut watch = DiscoveryWatch::new(policy, InitialList::Unconfirmed, -SECOND, seed);
    let mut actions = Vec::new();
    watch.handle(-SECOND, WatchEvent::StartWatch, &mut actions);
    watch.handle(-SECOND, WatchEvent::TimerDue, &mut actions);
    if let Some(WatchAction::Poll { call: id, .. }) = actions.first() {
        watch.handle(-SECOND, WatchEvent::ResponseCompleted { call: *id, changed: false }, &mut Vec::new());
    }
    watch
}

fn polled_policy() -> WatchPolicy {
    WatchPolicy { mode: DiscoveryMode::Polled, lease: Some(LEASE_TERMS) }
}

#[test]
fn no_call_outcome_during_a_drain_lets_requests_through_after_the_bound() {
    // The call that is in flight at the drain has one outcome, and those after it another.
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

    #[test]
    fn nothing_is_forwarded_after_the_bound_in_any_order_of_outcomes(
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
        // Whatever the outcomes, discovery is not polled in a tight loop.
        for at in &world.polls {
            let calls_per_second = world.polls.iter().filter(|other| other.0 >= at.0 && other.0 < at.0 + SECOND).count();
            prop_assert!(calls_per_second <= 12, "{} calls in a second", calls_per_second);
        }
    }
}

#[test]
fn a_truncated_response_is_retried_before_forwarding_is_suspended() {
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
                "{first:?}, seed {seed}: again at {retried_at}"
            );
            assert!(wait <= 250 * MILLISECOND, "a long wait would show late whether anything was missed");
        }
    }
}

#[test]
fn an_outage_of_discovery_does_not_suspend_forwarding() {
    // Nobody can reach it, so nothing counts as notified, for however long.
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
    assert!((50..=200).contains(&calls), "it is polled steadily, and in no tight loop: {calls}");
    // Standalone mode: nothing bounds the time of a drain.
    for outcome in [CallOutcome::ConnectionRefused, CallOutcome::QueuedRejection] {
        let mut world = World::new(WatchPolicy { mode: DiscoveryMode::Polled, lease: None }, 7, 300 * SECOND);
        world.run(120 * SECOND, &mut rng, &mut |_, at| {
            if at < 10 * SECOND {
                CallOutcome::Completed
            } else {
                outcome
            }
        });
        assert!(world.watch.expiry().is_none(), "{outcome:?}: the list is relied on");
        assert!(world.watch_ends.len() > 10, "{outcome:?}: polling again is up to the balancer");
    }
    // Lists that are pushed: the silence of an agent means that nothing has changed.
    let pushed = WatchPolicy { mode: DiscoveryMode::Pushed, lease: Some(LEASE_TERMS) };
    let mut world = World::new(pushed, 7, 300 * SECOND);
    world.run(120 * SECOND, &mut Rng::with_seed(7), &mut |_, _| CallOutcome::Silent);
    assert!(world.watch.expiry().is_none() && world.watch_ends.len() > 10);
}

#[test]
fn forwarding_is_suspended_for_a_bounded_time() {
    let mut world = World::new(polled_policy(), 3, 2 * SECOND);
    world.run(200 * SECOND, &mut Rng::with_seed(3), &mut |_, _| CallOutcome::Truncated);
    let Expiry { from, until, .. } = world.watch.expiry().expect("suspended");
    let notified_at = world.notified_at.expect("notified");
    assert!(
        from <= notified_at + DRAIN_GRACE - 100 * MILLISECOND && until == from + LEASE_TERMS.max_suspension,
        "{from} to {until}, notified at {notified_at}"
    );
    // Retries are rare by then.
    let late_calls = world.polls.iter().filter(|(at, _)| *at > 100 * SECOND).count();
    assert!((15..90).contains(&late_calls), "{late_calls} calls in 100 s");
}

#[test]
fn proxies_that_started_together_retry_at_different_times() {
    // Forty proxies, and a discovery that does not respond to their first calls.
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

#[test]
fn a_changed_address_is_polled_for_the_full_list_at_once() {
    let mut watch = running(polled_policy(), 1);
    let mut actions = Vec::new();
    watch.handle(0, WatchEvent::StartWatch, &mut actions);
    watch.handle(SECOND, WatchEvent::AddressChanged, &mut actions);
    let WatchAction::Poll { call: first, .. } = actions[0] else { panic!("{actions:?}") };
    let WatchAction::Poll { call: second, wait: 0 } = actions[2] else { panic!("{actions:?}") };
    assert_eq!(actions[1], WatchAction::CloseCall { call: first });
    // Reports of calls to the old address are ignored.
    actions.clear();
    watch.handle(SECOND, WatchEvent::ResponseTruncated { call: first }, &mut actions);
    let expiry = watch.expiry().expect("a list never lacks a bound");
    assert!(actions.is_empty() && expiry.from >= SECOND + 6 * SECOND, "{expiry:?}");
    watch.handle(SECOND, WatchEvent::ResponseCompleted { call: second, changed: true }, &mut actions);
    assert!(matches!(actions[..], [WatchAction::Poll { wait, .. }] if wait >= 3 * SECOND), "{actions:?}");
}
