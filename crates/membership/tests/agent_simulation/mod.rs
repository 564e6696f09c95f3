//! Simulates the watch of one proxy and an agent to which lists are pushed, with an oracle of the platform's rule.
//!
//! What the agent has counts as notified at once. The oracle uses only the times at which the agent received and
//! answered, and no state of the watch. Requests are assumed to be forwarded whenever forwarding is not suspended.

use std::collections::{BTreeMap, BTreeSet};

use membership::{
    CallFailure, CallId, DiscoveryMode, DiscoveryWatch, InitialList, LeaseTerms, ListStatus, Micros,
    WatchAction, WatchEvent, WatchPolicy,
};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MILLISECOND;
/// The terms of two deployments, which differ in the grace.
pub const TERMS: [LeaseTerms; 2] = [terms(2 * SECOND), terms(500 * MILLISECOND)];

const fn terms(drain_grace: Micros) -> LeaseTerms {
    LeaseTerms {
        drain_grace,
        margin: 150 * MILLISECOND,
        max_suspension: 40 * SECOND,
        presumed_outage: 8 * SECOND,
    }
}

/// The time that a message takes between proxy and agent.
const LATENCY: Micros = MILLISECOND;
/// The time after which the proxy gives up to connect.
const CONNECT_TIMEOUT: Micros = 4 * SECOND;

/// How the agent treats calls for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AgentState {
    /// Answers at once with what is new, or when the wait of the call is over.
    Answering,
    /// Composes answers at once, and sends them this much later.
    Late(Micros),
    /// Discovery is down: the agent takes calls, answers nothing and receives nothing.
    Silent,
    /// Answers with an error.
    Rejecting,
    /// Takes calls and closes their connections.
    Disconnecting,
    /// Begins answers and closes the connection.
    Truncating,
    /// Does nothing at all: takes no connection, and receives nothing.
    NotAccepting,
    /// Its process has ended; it receives nothing.
    Gone,
}

/// A time span in which the agent is in one state.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub from: Micros,
    pub state: AgentState,
}

/// A call that the agent holds.
struct HeldCall {
    /// The version that the caller has. `None` asks for the full list.
    has_drain: bool,
    arrives_at: Micros,
    wait_ends: Micros,
    wants_full_list: bool,
}

/// One proxy and its agent; one endpoint drains.
pub struct World {
    pub watch: DiscoveryWatch,
    pub now: Micros,
    terms: LeaseTerms,
    phases: Vec<Phase>,
    /// When the agent receives the drain.
    drained_at: Micros,
    /// Whether each scheduled event brings the drain to the proxy.
    events: BTreeMap<(Micros, u64), (WatchEvent, bool)>,
    scheduled_count: u64,
    held: BTreeMap<CallId, HeldCall>,
    /// The calls whose answers were composed and are sent late.
    answered_late: BTreeSet<CallId>,
    pub has_drain: bool,
    pub poll_times: Vec<Micros>,
    pub suspended_time: Micros,
}

impl World {
    /// A process that starts at 0. The agent is in the first phase from then on.
    pub fn new(
        terms: LeaseTerms,
        list: InitialList,
        seed: u64,
        phases: Vec<Phase>,
        drained_at: Micros,
    ) -> World {
        let policy = WatchPolicy { mode: DiscoveryMode::Pushed, lease: Some(terms) };
        World {
            watch: DiscoveryWatch::new(policy, list, 0, seed),
            now: 0,
            terms,
            phases,
            drained_at,
            events: BTreeMap::new(),
            scheduled_count: 0,
            held: BTreeMap::new(),
            answered_late: BTreeSet::new(),
            has_drain: false,
            poll_times: Vec::new(),
            suspended_time: 0,
        }
    }

    fn state(&self, at: Micros) -> AgentState {
        let current = self.phases.iter().rev().find(|phase| phase.from <= at);
        current.expect("the first phase begins before the start").state
    }

    fn schedule(&mut self, at: Micros, event: WatchEvent, brings_drain: bool) {
        self.scheduled_count += 1;
        self.events.insert((at, self.scheduled_count), (event, brings_drain));
    }

    fn fail(&mut self, at: Micros, call: CallId, failure: CallFailure) {
        self.schedule(at, WatchEvent::CallFailed { call, failure }, false);
    }

    fn on_poll(&mut self, call: CallId, wait: Micros) {
        self.poll_times.push(self.now);
        let arrives_at = self.now + LATENCY;
        match self.state(arrives_at) {
            AgentState::Gone => return self.fail(arrives_at, call, CallFailure::ConnectionRefused),
            AgentState::NotAccepting => {
                return self.fail(self.now + CONNECT_TIMEOUT, call, CallFailure::Unreachable)
            }
            _ => {}
        }
        self.schedule(self.now, WatchEvent::Connected { call }, false);
        let held = HeldCall {
            has_drain: self.has_drain,
            arrives_at,
            wait_ends: arrives_at + wait,
            wants_full_list: wait == 0,
        };
        self.held.insert(call, held);
    }

    /// Lets the agent treat the calls that it holds.
    fn run_agent(&mut self) {
        let has_drain = self.drained_at <= self.now;
        let state = self.state(self.now);
        if matches!(state, AgentState::Disconnecting | AgentState::Gone) {
            self.close_late_calls();
        }
        let arrived = self.held.iter().filter(|(_, call)| call.arrives_at <= self.now);
        let calls: Vec<CallId> = arrived.map(|(id, _)| *id).collect();
        for call in calls {
            let held = &self.held[&call];
            let brings_drain = has_drain && !held.has_drain;
            let is_due = held.wants_full_list || brings_drain || held.wait_ends <= self.now;
            let arrives_at = self.now + LATENCY;
            match state {
                AgentState::Silent | AgentState::NotAccepting => continue,
                AgentState::Answering if is_due => self.answer(arrives_at, call, has_drain),
                AgentState::Late(delay) if is_due => {
                    self.answered_late.insert(call);
                    self.answer(arrives_at + delay, call, has_drain);
                }
                AgentState::Truncating if is_due => {
                    self.schedule(arrives_at, WatchEvent::ResponseStarted { call }, false);
                    let truncated = WatchEvent::ResponseTruncated { call };
                    self.schedule(arrives_at + LATENCY, truncated, false);
                }
                AgentState::Rejecting => self.fail(arrives_at, call, CallFailure::ErrorResponse),
                AgentState::Disconnecting | AgentState::Gone => {
                    self.fail(arrives_at, call, CallFailure::ConnectionLost);
                }
                _ => continue,
            }
            self.held.remove(&call);
        }
    }

    fn close_late_calls(&mut self) {
        for call in std::mem::take(&mut self.answered_late) {
            self.remove_events(call);
            self.fail(self.now + LATENCY, call, CallFailure::ConnectionLost);
        }
    }

    fn answer(&mut self, arrives_at: Micros, call: CallId, has_drain: bool) {
        self.schedule(arrives_at, WatchEvent::ResponseStarted { call }, false);
        let completed = WatchEvent::ResponseCompleted { call, changed: has_drain && !self.has_drain };
        self.schedule(arrives_at + LATENCY, completed, has_drain);
    }

    /// Returns the next time at which the agent may have to treat a call that it holds.
    fn agent_wakes_at(&self) -> Option<Micros> {
        let phases = self.phases.iter().map(|phase| phase.from);
        let arrivals = self.held.values().map(|held| held.arrives_at);
        let waits = self.held.values().map(|held| held.wait_ends);
        phases.chain(arrivals).chain(waits).chain([self.drained_at]).filter(|at| *at > self.now).min()
    }

    /// Lets the agent forget the calls that it holds: their connections stay open and silent.
    pub fn drop_held_calls(&mut self) {
        self.held.clear();
    }

    /// Plays until `end`. Checks that nothing is forwarded past the grace of the drain.
    pub fn run(&mut self, end: Micros) {
        while self.now < end {
            let event_at = self.events.first_key_value().map(|(&(at, _), _)| at);
            let wake_at = self.watch.wake_at().map(|at| at.max(self.now));
            let next = event_at.into_iter().chain(wake_at).chain(self.agent_wakes_at()).min();
            let next = next.expect("a lease on a pushed list is renewed").min(end);
            self.check_until(next);
            self.now = next;
            self.run_agent();
            if event_at.is_some_and(|at| at <= next) {
                let (_, (event, brings_drain)) = self.events.pop_first().expect("there is one");
                self.has_drain |= brings_drain;
                if let WatchEvent::ResponseCompleted { call, .. } = event {
                    self.answered_late.remove(&call);
                }
                self.handle(event);
            } else if wake_at.is_some_and(|at| at <= next) {
                self.handle(WatchEvent::TimerDue);
            }
        }
    }

    fn handle(&mut self, event: WatchEvent) {
        let mut actions = Vec::new();
        self.watch.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                WatchAction::Poll { call, wait } => self.on_poll(call, wait),
                WatchAction::CloseCall { call } => self.on_close(call),
                WatchAction::WatchEnded => panic!("the watch of a pushed list does not end"),
            }
        }
    }

    fn on_close(&mut self, closed: CallId) {
        self.held.remove(&closed);
        self.answered_late.remove(&closed);
        self.remove_events(closed);
    }

    fn remove_events(&mut self, closed: CallId) {
        self.events.retain(|_, (event, _)| match event {
            WatchEvent::Connected { call }
            | WatchEvent::ResponseStarted { call }
            | WatchEvent::ResponseCompleted { call, .. }
            | WatchEvent::ResponseTruncated { call }
            | WatchEvent::CallFailed { call, .. } => *call != closed,
            _ => true,
        });
    }

    /// Checks the time from now to `to`, in which nothing happens.
    fn check_until(&mut self, to: Micros) {
        let expiry = self.watch.expiry();
        if let Some(expiry) = expiry {
            self.suspended_time += (to.min(expiry.until) - self.now.max(expiry.from)).max(0);
        }
        let from = self.now.max(self.drained_at.max(0) + self.terms.drain_grace);
        let has_list = self.watch.status().list != ListStatus::Absent;
        if self.has_drain || !has_list || from >= to {
            return;
        }
        assert!(
            expiry.is_some_and(|expiry| expiry.from <= from && to <= expiry.until),
            "forwarded to a draining endpoint between {from} and {to}; drained {}, phases {:?}, {expiry:?}, \
             polled {:?}",
            self.drained_at,
            self.phases,
            self.poll_times,
        );
    }
}
