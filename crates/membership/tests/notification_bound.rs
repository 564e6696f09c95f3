//! Whatever became of the calls, a change counts as notified six seconds after discovery had it and could be reached.
//!
//! The oracle knows when discovery is up and when the endpoint was drained, and nothing of the state of the watch. Requests are
//! taken to be forwarded at every moment at which forwarding is not suspended.

use std::collections::BTreeMap;

use fastrand::Rng;
use membership::{
    CallFailure, CallId, DiscoveryMode, DiscoveryWatch, InitialList, LeaseTerms, Micros, WatchAction,
    WatchEvent, WatchPolicy,
};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
const DRAIN_GRACE: Micros = 500 * MILLISECOND;
const LEASE_TERMS: LeaseTerms = LeaseTerms {
    drain_grace: DRAIN_GRACE,
    margin: 150 * MILLISECOND,
    max_suspension: 40 * SECOND,
    presumed_outage: 8 * SECOND,
};
const POLLED: WatchPolicy = WatchPolicy { mode: DiscoveryMode::Polled, lease: Some(LEASE_TERMS) };
const PUSHED: WatchPolicy = WatchPolicy { mode: DiscoveryMode::Pushed, lease: Some(LEASE_TERMS) };
/// Changes that a reachable discovery had count as notified after this.
const NOTIFIED_AFTER: Micros = 6 * SECOND;
/// Discovery rejects calls that are queued for longer.
const QUEUE_LIMIT: Micros = 2 * SECOND;

/// How calls end while discovery is down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OutageKind {
    /// Nothing listens.
    ConnectionRefused,
    /// Queued for two seconds, and then an error.
    QueuedError,
    /// An error at once.
    ImmediateError,
    /// Accepted and closed.
    Closed,
    /// No connection comes about.
    Unreachable,
}

const OUTAGES: [OutageKind; 5] = [
    OutageKind::ConnectionRefused,
    OutageKind::QueuedError,
    OutageKind::ImmediateError,
    OutageKind::Closed,
    OutageKind::Unreachable,
];

/// How a call ends while discovery is up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallOutcome {
    Completed,
    /// Overload: an error after two seconds.
    QueuedRejection,
    ImmediateRejection,
    Closed,
    /// The connection comes about this late.
    Late(Micros),
    Truncated,
}

struct World {
    watch: DiscoveryWatch,
    rng: Rng,
    now: Micros,
    pending_events: BTreeMap<(Micros, u64), WatchEvent>,
    scheduled_count: u64,
    outages: Vec<(Micros, Micros)>,
    outage_kind: OutageKind,
    drained_at: Micros,
    drain_received: bool,
    brings_drain: BTreeMap<CallId, bool>,
    /// The calls that discovery holds, and until when.
    held_calls: BTreeMap<CallId, Micros>,
    poll_times: Vec<Micros>,
    suspended_time: Micros,
    /// How long the watch presumes an outage.
    presumed_outage: Micros,
}

impl World {
    fn new(
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

    /// When the drain counts as notified, by the rule alone; each outage makes the time count anew.
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

    /// From then on discovery holds the call until there is a change, or until it goes down.
    fn watch_from(&mut self, id: CallId, from: Micros, wait: Micros) {
        let wait_ends = from + wait;
        let ends = if self.drain_received || self.drained_at > wait_ends {
            wait_ends
        } else {
            self.drained_at.max(from)
        };
        let outage_start = self.outages.iter().map(|outage| outage.0).find(|at| (from..=ends).contains(at));
        if let Some(outage_start) = outage_start {
            // One that shuts down answers its watches with errors; one that crashes has its connections reset.
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

    fn run(&mut self, end: Micros, outcome: &mut dyn FnMut(&mut Rng, usize, Micros) -> CallOutcome) {
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
                    // As the proxy does where lists are pushed.
                    WatchAction::WatchEnded => self.schedule(at + 250 * MILLISECOND, WatchEvent::StartWatch),
                }
            }
        }
    }

    /// Checks the time until then, in which there is no event.
    fn check_until(&mut self, to: Micros) {
        let expiry = self.watch.expiry().map(|expiry| (expiry.from, expiry.until));
        if let Some((from, until)) = expiry {
            self.suspended_time += (to.min(until) - self.now.max(from)).max(0);
        }
        if self.drain_received {
            return;
        }
        let from = self.now.max(self.notified_at() + self.presumed_outage + DRAIN_GRACE);
        // Forwarding is suspended for this long and no longer.
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

#[test]
fn no_outage_during_a_drain_lets_requests_through() {
    for outage_kind in OUTAGES {
        for length in [SECOND, 5 * SECOND, 8 * SECOND, 20 * SECOND] {
            for step in 0..60 {
                // In the outage, in its last moment, just after, and long after.
                let (from, to) = (13 * SECOND, 13 * SECOND + length);
                let drained_at = from - SECOND + (length + 10 * SECOND) * step / 60;
                for drained_at in [drained_at, to - 1, to, to + 1] {
                    let seed = step as u64 ^ (length as u64) << 8;
                    let mut world = World::new(
                        POLLED,
                        InitialList::Unconfirmed,
                        seed,
                        outage_kind,
                        vec![(from, to)],
                        drained_at,
                    );
                    world.run(90 * SECOND, &mut |_, _, _| CallOutcome::Completed);
                    assert!(world.drain_received, "{outage_kind:?} {length} {drained_at}");
                }
            }
        }
    }
}

#[test]
fn no_kind_of_rejection_lets_requests_through() {
    let late = [1_499, 1_500, 1_501, 2_400, 3_900].map(|ms| CallOutcome::Late(ms * MILLISECOND));
    let outcomes = [
        CallOutcome::QueuedRejection,
        CallOutcome::ImmediateRejection,
        CallOutcome::Closed,
        CallOutcome::Truncated,
    ]
    .into_iter()
    .chain(late);
    for outcome in outcomes {
        for seed in 0..120_u64 {
            let drained_at = 9 * SECOND + seed as Micros * 97 * MILLISECOND;
            // Every second call; all for a while; all but one in four.
            type OutcomeSequence<'a> = Box<dyn FnMut(&mut Rng, usize, Micros) -> CallOutcome + 'a>;
            let sequences: [OutcomeSequence<'_>; 3] = [
                Box::new(|_, n, _| if n % 2 == 0 { outcome } else { CallOutcome::Completed }),
                Box::new(|_, _, at| {
                    if (8 * SECOND..25 * SECOND).contains(&at) {
                        outcome
                    } else {
                        CallOutcome::Completed
                    }
                }),
                Box::new(|rng, _, _| if rng.usize(0..4) > 0 { outcome } else { CallOutcome::Completed }),
            ];
            for mut sequence in sequences {
                let mut world = World::new(
                    POLLED,
                    InitialList::Unconfirmed,
                    seed,
                    OutageKind::ConnectionRefused,
                    Vec::new(),
                    drained_at,
                );
                if outcome == CallOutcome::QueuedRejection {
                    // This cannot be told apart from an outage; what it lets through is counted for a fleet.
                    world.presumed_outage = LEASE_TERMS.presumed_outage;
                }
                world.run(120 * SECOND, &mut sequence);
                assert!(world.drain_received, "{outcome:?} {seed}");
            }
        }
    }
}

#[test]
fn outages_and_rejections_in_any_order_let_no_request_through() {
    for seed in 0..3_000_u64 {
        let mut rng = Rng::with_seed(seed);
        let (mut outages, mut at) = (Vec::new(), 0);
        for _ in 0..rng.usize(0..4) {
            let from = at + rng.i64(0..15 * SECOND);
            at = from + rng.i64(1..12 * SECOND);
            outages.push((from, at));
        }
        let outage_kind = OUTAGES[rng.usize(0..OUTAGES.len())];
        let drained_at = rng.i64(0..50 * SECOND);
        // A discovery that comes back and rejects calls cannot be told apart from one that is still down: what that lets
        // through is counted for a fleet.
        let failure_percentage =
            if matches!(outage_kind, OutageKind::QueuedError | OutageKind::ImmediateError) {
                0
            } else {
                rng.usize(0..90)
            };
        let mut world = World::new(POLLED, InitialList::Unconfirmed, seed, outage_kind, outages, drained_at);
        let outcomes = [
            CallOutcome::ImmediateRejection,
            CallOutcome::Closed,
            CallOutcome::Late(1_500 * MILLISECOND),
            CallOutcome::Truncated,
        ];
        world.run(200 * SECOND, &mut |rng, _, _| {
            if rng.usize(0..100) < failure_percentage {
                outcomes[rng.usize(0..outcomes.len())]
            } else {
                CallOutcome::Completed
            }
        });
        assert!(world.drain_received, "seed {seed}");
        let calls_per_second = world
            .poll_times
            .iter()
            .map(|a| world.poll_times.iter().filter(|b| (*a..*a + SECOND).contains(*b)).count());
        assert!(calls_per_second.max() <= Some(12), "seed {seed}: polls in a tight loop");
    }
}

#[test]
fn an_outage_suspends_forwarding_no_longer_than_necessary() {
    let mut suspended_times = BTreeMap::new();
    for seed in 0..100 {
        for (outage_kind, length, limit) in [
            // The kernel proves that nobody could reach it: nothing counts as notified.
            (OutageKind::ConnectionRefused, 8 * SECOND, 0),
            (OutageKind::ConnectionRefused, 200 * SECOND, 0),
            // From outside, an outage and an overload look the same.
            (OutageKind::QueuedError, 4 * SECOND, 5 * SECOND),
            (OutageKind::QueuedError, 8 * SECOND, 9 * SECOND),
            (OutageKind::QueuedError, 300 * SECOND, 40 * SECOND),
            (OutageKind::ImmediateError, 8 * SECOND, 9 * SECOND),
            (OutageKind::Closed, 300 * SECOND, 40 * SECOND),
        ] {
            let mut world = World::new(
                POLLED,
                InitialList::Unconfirmed,
                seed,
                outage_kind,
                vec![(20 * SECOND, 20 * SECOND + length)],
                900 * SECOND,
            );
            world.run(400 * SECOND, &mut |_, _, _| CallOutcome::Completed);
            suspended_times
                .entry((format!("{outage_kind:?}"), length / SECOND))
                .or_insert_with(Vec::new)
                .push(world.suspended_time);
            assert!(
                world.suspended_time <= limit,
                "{outage_kind:?} of {length}, seed {seed}: suspended for {}",
                world.suspended_time
            );
        }
    }
    for ((outage_kind, length), mut suspended_time) in suspended_times {
        suspended_time.sort_unstable();
        let seconds = |suspended_time: Micros| suspended_time as f64 / SECOND as f64;
        // Few watches take its first error for a rejection of their call alone.
        assert!(
            length > 8 || suspended_time[50] <= SECOND / 2,
            "{outage_kind} of {length} s: suspended {} in the median",
            suspended_time[50]
        );
        println!(
            "{outage_kind}, {length} s: suspended {:.2} s in the median, {:.2} s at most",
            seconds(suspended_time[50]),
            seconds(suspended_time[99])
        );
    }
}

#[test]
fn an_agent_that_responds_with_an_error_is_polled_at_once_and_not_relied_on() {
    for seed in 0..200 {
        for outage_kind in [OutageKind::ImmediateError, OutageKind::Closed] {
            let outages = vec![(5 * SECOND, 5 * SECOND + 40 * MILLISECOND * seed as Micros)];
            let mut world = World::new(
                PUSHED,
                InitialList::Unconfirmed,
                seed,
                outage_kind,
                outages.clone(),
                900 * SECOND,
            );
            world.run(30 * SECOND, &mut |_, _, _| CallOutcome::Completed);
            let polled_at = world.poll_times.iter().find(|at| **at >= outages[0].1).expect("polled again");
            assert!(
                polled_at - outages[0].1 <= 205 * MILLISECOND,
                "{outage_kind:?}: polled {} after its return",
                polled_at - outages[0].1
            );
            let allowed =
                (outages[0].1 - outages[0].0 + 470 * MILLISECOND - (DRAIN_GRACE - LEASE_TERMS.margin)).max(0);
            assert!(
                world.suspended_time <= allowed,
                "{outage_kind:?}: suspended for {} of {allowed}",
                world.suspended_time
            );
        }
        // An agent that is absent has no change.
        let mut world = World::new(
            PUSHED,
            InitialList::Unconfirmed,
            seed,
            OutageKind::ConnectionRefused,
            vec![(5 * SECOND, 15 * SECOND)],
            900 * SECOND,
        );
        world.run(30 * SECOND, &mut |_, _, _| CallOutcome::Completed);
        assert_eq!(world.suspended_time, 0);
    }
}

#[test]
fn a_first_list_is_polled_at_once_and_again_within_two_seconds() {
    for seed in 0..200 {
        for outage_kind in OUTAGES {
            let mut world = World::new(
                POLLED,
                InitialList::Absent,
                seed,
                outage_kind,
                vec![(0, 9 * SECOND)],
                900 * SECOND,
            );
            world.run(30 * SECOND, &mut |_, _, _| CallOutcome::Completed);
            assert!(world.poll_times[0] <= SECOND, "first at {}", world.poll_times[0]);
            let polled_at = world.poll_times.iter().find(|at| **at >= 9 * SECOND).expect("polled again");
            let limit =
                2 * SECOND + if outage_kind == OutageKind::Unreachable { 4 * SECOND } else { QUEUE_LIMIT };
            assert!(polled_at - 9 * SECOND <= limit, "{outage_kind:?}: {polled_at}");
        }
    }
}
