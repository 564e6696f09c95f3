//! Simulates the watch of one proxy and a discovery whose calls end in various ways.
//!
//! The simulated discovery follows the platform's rule: a change that it begins to write counts as notified
//! two seconds after the wait of its call ended, received or not. Forwarding is checked against that rule,
//! not against the state of the watch.

use std::collections::BTreeMap;

use fastrand::Rng;
use membership::{
    CallFailure, CallId, DiscoveryMode, DiscoveryWatch, InitialList, LeaseTerms, Micros, WatchAction,
    WatchEvent, WatchPolicy,
};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MILLISECOND;
pub const DRAIN_GRACE: Micros = 500 * MILLISECOND;
pub const DRAIN_MARGIN: Micros = 150 * MILLISECOND;
pub const LEASE_TERMS: LeaseTerms = LeaseTerms {
    drain_grace: DRAIN_GRACE,
    margin: DRAIN_MARGIN,
    max_suspension: 40 * SECOND,
    presumed_outage: 8 * SECOND,
};

/// How a call ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    Completed,
    /// The head of the response is received, and then the connection breaks.
    Truncated,
    /// The head of the response is received, and nothing after it.
    Stalled,
    Malformed,
    Silent,
    /// The connection is refused at once.
    ConnectionRefused,
    /// The call is queued for two seconds and then rejected.
    QueuedRejection,
}

pub const OUTCOMES: [CallOutcome; 7] = [
    CallOutcome::Completed,
    CallOutcome::Truncated,
    CallOutcome::Stalled,
    CallOutcome::Malformed,
    CallOutcome::Silent,
    CallOutcome::ConnectionRefused,
    CallOutcome::QueuedRejection,
];

/// One proxy and one discovery whose list changes once: an endpoint drains.
pub struct World {
    pub watch: DiscoveryWatch,
    pub now: Micros,
    /// The scheduled events, ordered by time.
    pending_events: BTreeMap<(Micros, u64), WatchEvent>,
    scheduled_count: u64,
    drained_at: Micros,
    /// The version of the received list: 0 without the drain, 1 with it.
    pub received_version: u64,
    /// The version of the list that each call in flight will return.
    version_by_call: BTreeMap<CallId, u64>,
    /// When the drain counts as notified.
    pub notified_at: Option<Micros>,
    /// When a change since the last complete response may count as notified.
    in_doubt_from: Option<Micros>,
    /// The time and the wait of each poll.
    pub polls: Vec<(Micros, Micros)>,
    pub watch_ends: Vec<Micros>,
    pub max_calls: usize,
    /// The earliest time at which forwarding was suspended.
    pub suspended_from: Option<Micros>,
}

impl World {
    pub fn new(policy: WatchPolicy, seed: u64, drained_at: Micros) -> World {
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
            suspended_from: None,
        }
    }

    fn schedule(&mut self, at: Micros, event: WatchEvent) {
        self.scheduled_count += 1;
        self.pending_events.insert((at, self.scheduled_count), event);
    }

    fn notify(&mut self, at: Micros) {
        self.notified_at = Some(self.notified_at.map_or(at, |notified_at| notified_at.min(at)));
    }

    /// Schedules the events of a call with this outcome.
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
        if outcome != CallOutcome::ConnectionRefused {
            self.schedule(self.now, WatchEvent::Connected { call: id });
        }
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
            // A missing response is detected only when the wait is over.
            CallOutcome::Silent if has_change => self.notify(self.now + wait + 2 * SECOND),
            _ => {}
        }
    }

    /// Runs until `end`. `outcome` returns how a call ends, given the number and the time of the call.
    pub fn run(&mut self, end: Micros, rng: &mut Rng, outcome: &mut dyn FnMut(usize, Micros) -> CallOutcome) {
        self.schedule(0, WatchEvent::StartWatch);
        let mut calls_in_flight = 0_usize;
        while self.now < end
            && !(self.received_version == 1 && self.in_doubt_from.is_none() && self.now > 60 * SECOND)
        {
            let event = self.pending_events.first_key_value().map(|(&(at, _), _)| at);
            let wake = self.watch.wake_at().map(|at| at.max(self.now));
            let Some(at) = event.into_iter().chain(wake).min() else { break };
            // Requests are assumed to arrive at all times.
            self.check_no_late_forward(self.now, at.min(end));
            self.record_suspension(at.min(end));
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
                        // The balancer starts the watch again like this.
                        let pause = rng.i64(1..=SECOND);
                        self.schedule(at + pause, WatchEvent::StartWatch);
                    }
                }
            }
        }
    }

    /// Records whether forwarding is suspended before `to`.
    fn record_suspension(&mut self, to: Micros) {
        let Some(expiry) = self.watch.expiry().filter(|expiry| expiry.from < to && self.now < expiry.until)
        else {
            return;
        };
        self.suspended_from.get_or_insert(expiry.from.max(self.now));
    }

    /// Checks a period without events for requests that are forwarded to the draining endpoint too late.
    fn check_no_late_forward(&self, from: Micros, to: Micros) {
        let Some(notified_at) = self.notified_at.filter(|_| self.received_version == 0) else { return };
        let forwarding_ends = notified_at + DRAIN_GRACE;
        // After the longest suspension, the list is used again in any case.
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

/// Creates a watch whose list was confirmed one second before the run starts.
pub fn running(policy: WatchPolicy, seed: u64) -> DiscoveryWatch {
    let mut watch = DiscoveryWatch::new(policy, InitialList::Unconfirmed, -SECOND, seed);
    let mut actions = Vec::new();
    watch.handle(-SECOND, WatchEvent::StartWatch, &mut actions);
    watch.handle(-SECOND, WatchEvent::TimerDue, &mut actions);
    if let Some(WatchAction::Poll { call: id, .. }) = actions.first() {
        watch.handle(-SECOND, WatchEvent::ResponseCompleted { call: *id, changed: false }, &mut Vec::new());
    }
    watch
}

pub fn polled_policy() -> WatchPolicy {
    WatchPolicy { mode: DiscoveryMode::Polled, lease: Some(LEASE_TERMS) }
}

pub fn pushed_policy() -> WatchPolicy {
    WatchPolicy { mode: DiscoveryMode::Pushed, lease: Some(LEASE_TERMS) }
}
