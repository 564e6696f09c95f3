//! Simulates the watch of one proxy and a discovery that fails, with an oracle of the platform's rule.
//!
//! The oracle uses only the times of outages and of the drain, and no state of the watch. Requests are
//! assumed to be forwarded whenever forwarding is not suspended.

use std::collections::BTreeMap;

use fastrand::Rng;
use membership::{
    CallFailure, CallId, DiscoveryMode, DiscoveryWatch, InitialList, LeaseTerms, Micros, WatchAction,
    WatchEvent, WatchPolicy,
};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MILLISECOND;
pub const DRAIN_GRACE: Micros = 500 * MILLISECOND;
pub const LEASE_TERMS: LeaseTerms = LeaseTerms {
    drain_grace: DRAIN_GRACE,
    margin: 150 * MILLISECOND,
    max_suspension: 40 * SECOND,
    presumed_outage: 8 * SECOND,
};
pub const POLLED: WatchPolicy = WatchPolicy { mode: DiscoveryMode::Polled, lease: Some(LEASE_TERMS) };
pub const PUSHED: WatchPolicy = WatchPolicy { mode: DiscoveryMode::Pushed, lease: Some(LEASE_TERMS) };
/// The time from a change at a reachable discovery until the change counts as notified.
pub const NOTIFIED_AFTER: Micros = 6 * SECOND;
/// The longest time that discovery queues a call before it rejects it.
pub const QUEUE_LIMIT: Micros = 2 * SECOND;

/// How calls end while discovery is down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageKind {
    /// No process listens, so the kernel refuses connections.
    ConnectionRefused,
    /// Calls are queued for two seconds and end with an error.
    QueuedError,
    /// Calls end with an error at once.
    ImmediateError,
    /// Connections are accepted and closed.
    Closed,
    /// No connection is established.
    Unreachable,
}

pub const OUTAGES: [OutageKind; 5] = [
    OutageKind::ConnectionRefused,
    OutageKind::QueuedError,
    OutageKind::ImmediateError,
    OutageKind::Closed,
    OutageKind::Unreachable,
];

/// How a call ends while discovery is up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    Completed,
    /// The call is rejected after two seconds in the queue, as in an overload.
    QueuedRejection,
    ImmediateRejection,
    Closed,
    /// The connection is established this late.
    Late(Micros),
    Truncated,
}

/// One proxy and one discovery with outages; one endpoint drains.
pub struct World {
    watch: DiscoveryWatch,
    rng: Rng,
    now: Micros,
    pending_events: BTreeMap<(Micros, u64), WatchEvent>,
    scheduled_count: u64,
    outages: Vec<(Micros, Micros)>,
    outage_kind: OutageKind,
    drained_at: Micros,
    pub drain_received: bool,
    brings_drain: BTreeMap<CallId, bool>,
    /// The calls that discovery holds, with the end of each hold.
    held_calls: BTreeMap<CallId, Micros>,
    pub poll_times: Vec<Micros>,
    pub suspended_time: Micros,
    /// The extra time after the drain counts as notified before the check applies.
    pub presumed_outage: Micros,
}

impl World {
    pub fn new(
        policy: WatchPolicy,
        list: InitialList,
        seed: u64,
        outage_kind: OutageKind,
        outages: Vec<(Micros, Micros)>,
        drained_at: Micros,
    ) -> World {
        World {
            watch: DiscoveryWatch::new(policy, list, 0, seed),
            rng: Rng::with_seed(seed ^ 0xd15c),
            now: 0,
            pending_events: BTreeMap::new(),
            scheduled_count: 0,
            outages,
            outage_kind,
            drained_at,
            drain_received: false,
            brings_drain: BTreeMap::new(),
            held_calls: BTreeMap::new(),
            poll_times: Vec::new(),
            suspended_time: 0,
            presumed_outage: 0,
        }
    }

    fn is_down(&self, at: Micros) -> bool {
        self.outages.iter().any(|(from, to)| (*from..*to).contains(&at))
    }

    /// Returns when the drain counts as notified by the platform's rule. Each outage restarts the time.
    fn notified_at(&self) -> Micros {
        let mut reached = self.drained_at;
        for (from, to) in &self.outages {
            if *from < reached + NOTIFIED_AFTER && reached < *to {
                reached = *to;
            }
        }
        reached + NOTIFIED_AFTER
    }

    fn schedule(&mut self, at: Micros, event: WatchEvent) {
        self.scheduled_count += 1;
        self.pending_events.insert((at, self.scheduled_count), event);
    }

    fn call(&mut self, id: CallId, wait: Micros, outcome: CallOutcome) {
        self.poll_times.push(self.now);
        let now = self.now;
        let connects = match outcome {
            CallOutcome::Late(_) => false,
            _ => {
                !self.is_down(now)
                    || !matches!(self.outage_kind, OutageKind::ConnectionRefused | OutageKind::Unreachable)
            }
        };
        if connects {
            self.schedule(now, WatchEvent::Connected { call: id });
        }
        if self.is_down(now) {
            let (at, failure) = match self.outage_kind {
                OutageKind::ConnectionRefused => (now + MILLISECOND, CallFailure::ConnectionRefused),
                OutageKind::QueuedError => (now + QUEUE_LIMIT, CallFailure::ErrorResponse),
                OutageKind::ImmediateError => (now + MILLISECOND, CallFailure::ErrorResponse),
                OutageKind::Closed => (now + MILLISECOND, CallFailure::ConnectionLost),
                OutageKind::Unreachable => (now + 4 * SECOND, CallFailure::Unreachable),
            };
            return self.schedule(at, WatchEvent::CallFailed { call: id, failure });
        }
        match outcome {
            CallOutcome::QueuedRejection => self.schedule(
                now + QUEUE_LIMIT,
                WatchEvent::CallFailed { call: id, failure: CallFailure::ErrorResponse },
            ),
            CallOutcome::ImmediateRejection => self.schedule(
                now + MILLISECOND,
                WatchEvent::CallFailed { call: id, failure: CallFailure::ErrorResponse },
            ),
            CallOutcome::Closed => self.schedule(
                now + MILLISECOND,
                WatchEvent::CallFailed { call: id, failure: CallFailure::ConnectionLost },
            ),
            CallOutcome::Completed => self.watch_from(id, now, wait),
            CallOutcome::Late(by) => self.watch_from(id, now + by, wait),
            CallOutcome::Truncated => {
                self.schedule(now + 5 * MILLISECOND, WatchEvent::ResponseStarted { call: id });
                self.schedule(now + 9 * MILLISECOND, WatchEvent::ResponseTruncated { call: id });
            }
        }
    }

    /// Schedules the end of a call that discovery holds from `from` on, until there is a change or an outage.
    fn watch_from(&mut self, id: CallId, from: Micros, wait: Micros) {
        let wait_ends = from + wait;
        let ends = if self.drain_received || self.drained_at > wait_ends {
            wait_ends
        } else {
            self.drained_at.max(from)
        };
        let outage_start = self.outages.iter().map(|outage| outage.0).find(|at| (from..=ends).contains(at));
        if let Some(outage_start) = outage_start {
            // A discovery that shuts down ends its watches with errors; one that crashes resets its
            // connections.
            let sends_errors =
                matches!(self.outage_kind, OutageKind::QueuedError | OutageKind::ImmediateError);
            let failure = if sends_errors { CallFailure::ErrorResponse } else { CallFailure::ConnectionLost };
            return self.schedule(outage_start, WatchEvent::CallFailed { call: id, failure });
        }
        if self.is_down(from) {
            return self.schedule(
                from + MILLISECOND,
                WatchEvent::CallFailed { call: id, failure: CallFailure::ConnectionLost },
            );
        }
        self.held_calls.insert(id, ends);
        self.brings_drain.insert(id, self.drained_at <= ends);
        self.schedule(ends + 2 * MILLISECOND, WatchEvent::ResponseStarted { call: id });
        self.schedule(
            ends + 3 * MILLISECOND,
            WatchEvent::ResponseCompleted { call: id, changed: self.drained_at <= ends },
        );
    }

    pub fn run(&mut self, end: Micros, outcome: &mut dyn FnMut(&mut Rng, usize, Micros) -> CallOutcome) {
        self.schedule(0, WatchEvent::StartWatch);
        while self.now < end {
            let event = self.pending_events.first_key_value().map(|(&(at, _), _)| at);
            let wake = self.watch.wake_at().map(|at| at.max(self.now));
            let Some(at) = event.into_iter().chain(wake).min() else { break };
            self.check_until(at.min(end));
            self.now = at;
            let event = match event {
                Some(event) if event <= at => self.pending_events.pop_first().expect("there is one").1,
                _ => WatchEvent::TimerDue,
            };
            if let WatchEvent::ResponseCompleted { call: id, .. } = event {
                if self.brings_drain.remove(&id) == Some(true) && !self.drain_received {
                    self.drain_received = true;
                }
            }
            let mut actions = Vec::new();
            self.watch.handle(at, event, &mut actions);
            for action in actions {
                match action {
                    WatchAction::Poll { call: id, wait } => {
                        let outcome = outcome(&mut self.rng, self.poll_times.len(), at);
                        self.call(id, wait, outcome);
                    }
                    WatchAction::CloseCall { call: id } => {
                        self.brings_drain.remove(&id);
                        self.pending_events.retain(|_, event| {
                            !matches!(event, WatchEvent::ResponseStarted { call: other } | WatchEvent::ResponseCompleted { call: other, .. } | WatchEvent::ResponseTruncated { call: other } | WatchEvent::CallFailed { call: other, .. } if *other == id)
                        });
                    }
                    // The proxy starts the watch again like this if lists are pushed.
                    WatchAction::WatchEnded => self.schedule(at + 250 * MILLISECOND, WatchEvent::StartWatch),
                }
            }
        }
    }

    /// Checks the period from now to `to`, in which there is no event, for requests that are forwarded too
    /// late.
    fn check_until(&mut self, to: Micros) {
        let expiry = self.watch.expiry().map(|expiry| (expiry.from, expiry.until));
        if let Some((from, until)) = expiry {
            self.suspended_time += (to.min(until) - self.now.max(from)).max(0);
        }
        if self.drain_received {
            return;
        }
        let from = self.now.max(self.notified_at() + self.presumed_outage + DRAIN_GRACE);
        // After the longest suspension, forwarding is allowed again.
        let to = to.min(
            expiry
                .map_or(to, |(begin, end)| if end >= begin + LEASE_TERMS.max_suspension { end } else { to }),
        );
        if from < to {
            assert!(
                expiry.is_some_and(|(begin, end)| begin <= from && to <= end),
                "forwarded to a draining endpoint between {from} and {to}; drained {}, notified {}, outages {:?} {:?}, suspended {expiry:?}, calls {:?}",
                self.drained_at,
                self.notified_at(),
                self.outage_kind,
                self.outages,
                self.poll_times
            );
        }
    }
}
