//! A model of the proxy around a balancer, which plays events and checks every action against the invariants.

use std::collections::BTreeMap;

use decide::{
    Action, Balancer, DeduplicationGroup, Endpoint, EndpointId, EndpointState, Event, LoadReport, Micros,
    NewRequest, Outcome, RequestId, Semantics, Settings, UpdateScope,
};

use super::ready_endpoint;

struct Attempt {
    endpoint: EndpointId,
    sent_at: Micros,
    deadline: Micros,
    in_flight: bool,
    may_have_run: bool,
}

struct PendingRequest {
    /// The semantics of its class, or what remains of them if its key is not sent.
    semantics: Semantics,
    deadline: Micros,
    streaming: bool,
    attempts: Vec<Attempt>,
}

pub struct Model {
    settings: Settings,
    balancer: Balancer,
    now: Micros,
    endpoints: BTreeMap<u32, Endpoint>,
    pending: BTreeMap<RequestId, PendingRequest>,
    answered: BTreeMap<RequestId, Vec<EndpointId>>,
    timers: Vec<(Micros, u64)>,
    next: u64,
}

impl Model {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Model {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            now: 5_000_000,
            endpoints: BTreeMap::new(),
            pending: BTreeMap::new(),
            answered: BTreeMap::new(),
            timers: Vec::new(),
            next: 0,
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in out {
            self.check(action);
        }
        for (id, pending) in &self.pending {
            let is_waiting = pending.streaming || pending.attempts.iter().any(|a| a.in_flight);
            assert!(is_waiting, "{id:?} is pending without an attempt in flight");
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, deadline, write_before } => {
                self.check_write_before(request, write_before);
                self.check_send(request, endpoint, deadline);
            }
            Action::Reject { request, .. } => self.check_reject(request),
            Action::Fail(request) => {
                let pending = self.pending.remove(&request).expect("request answered twice");
                self.answer(request, &pending);
            }
            Action::Cancel { request, attempt } => {
                assert!(self.settings.can_cancel);
                let sent = self.answered.get(&request).map(Vec::len);
                let sent = sent.or(self.pending.get(&request).map(|p| p.attempts.len()));
                assert!(sent.is_some_and(|n| attempt < n), "cancelled an attempt that was never sent");
            }
            Action::Timer { at, token } => self.timers.push((at, token)),
            Action::HealthCheck(_) | Action::PollDiscovery | Action::Log(_) => {}
            Action::SendGossip { to, payload } => {
                assert!(
                    self.settings.gossip_allowed && to != self.settings.rank && to < self.settings.balancers
                );
                assert!(payload.len() <= 256);
            }
        }
    }

    /// A repeat has to be written before the endpoints forget any attempt that may have been executed.
    fn check_write_before(&self, request: RequestId, write_before: Option<Micros>) {
        let pending = &self.pending[&request];
        let may_have_run =
            pending.attempts.iter().filter(|attempt| attempt.in_flight || attempt.may_have_run);
        let window_ends = may_have_run.filter_map(|attempt| match pending.semantics {
            Semantics::Deduplicated { window, .. } => Some(attempt.sent_at + window),
            Semantics::Idempotent | Semantics::AtMostOnce => None,
        });
        assert_eq!(write_before, window_ends.min(), "the end of the deduplication window");
    }

    fn check_send(&mut self, request: RequestId, endpoint: EndpointId, deadline: Micros) {
        let pending = self.pending.get_mut(&request).expect("attempt for a request that is not pending");
        let entry = &self.endpoints[&endpoint.0];
        assert_eq!(entry.state, EndpointState::Ready, "attempt at an endpoint that is draining or removed");
        assert!(!pending.streaming && deadline <= pending.deadline && deadline > self.now);
        assert!(pending.attempts.len() < self.settings.max_attempts);
        let in_flight = pending.attempts.iter().any(|a| a.in_flight);
        assert!(self.settings.hedging_allowed || !in_flight, "two attempts in flight without hedging");
        for earlier in pending.attempts.iter().filter(|a| a.in_flight || a.may_have_run) {
            let other = &self.endpoints[&earlier.endpoint.0];
            match pending.semantics {
                Semantics::Idempotent => {}
                Semantics::AtMostOnce => panic!("retried although an attempt may have run"),
                Semantics::Deduplicated { group, window } => {
                    assert!(self.now < earlier.sent_at + window, "retried after the deduplication window");
                    assert!(match group {
                        DeduplicationGroup::All => true,
                        DeduplicationGroup::Zone => other.zone == entry.zone,
                        DeduplicationGroup::Cell => other.cell.is_some() && other.cell == entry.cell,
                    });
                }
            }
        }
        let sent_at = self.now;
        pending.attempts.push(Attempt { endpoint, sent_at, deadline, in_flight: true, may_have_run: true });
    }

    fn check_reject(&mut self, request: RequestId) {
        let pending = self.pending.remove(&request).expect("request answered twice");
        let may_have_run = pending.attempts.iter().any(|a| a.in_flight || a.may_have_run);
        match pending.semantics {
            Semantics::Idempotent | Semantics::Deduplicated { group: DeduplicationGroup::All, .. } => {}
            _ => assert!(!may_have_run, "rejected although an attempt may have run"),
        }
        self.answer(request, &pending);
    }

    fn answer(&mut self, request: RequestId, pending: &PendingRequest) {
        self.answered.insert(request, pending.attempts.iter().map(|a| a.endpoint).collect());
    }

    fn request(&mut self, a: u32, b: u32) {
        self.next += 1;
        let class = a as usize % self.settings.classes.len();
        let id = RequestId(self.next);
        let time_left = Micros::from(b % 2_000_000);
        let lacks_key = a.is_multiple_of(8);
        let semantics = match self.settings.classes[class].semantics {
            Semantics::Deduplicated { .. } if lacks_key => Semantics::AtMostOnce,
            semantics => semantics,
        };
        let deadline = self.now + time_left;
        self.pending.insert(id, PendingRequest { semantics, deadline, streaming: false, attempts: vec![] });
        self.handle(Event::Request(NewRequest { id, class, time_left, lacks_key, ..NewRequest::default() }));
    }

    /// Ends one attempt in flight, or sends an outcome for a request that has already been answered.
    fn outcome(&mut self, a: u32, outcome: Outcome) {
        let in_flight: Vec<(RequestId, usize)> = self
            .pending
            .iter()
            .flat_map(|(id, p)| p.attempts.iter().enumerate().map(move |(n, a)| (*id, n, a.in_flight)))
            .filter(|(_, _, in_flight)| *in_flight)
            .map(|(id, n, _)| (id, n))
            .collect();
        let report = Some(LoadReport { queued: Some(f64::from(a % 7)), ..LoadReport::default() });
        if in_flight.is_empty() || a.is_multiple_of(9) {
            let Some((id, endpoints)) = self.answered.iter().nth(a as usize % self.answered.len().max(1))
            else {
                return;
            };
            let Some(&endpoint) = endpoints.first() else { return };
            let (request, took) = (*id, 1_000);
            self.handle(Event::AttemptEnded {
                request,
                attempt: 0,
                endpoint,
                outcome,
                took,
                is_final: true,
                report,
            });
            return;
        }
        let (request, attempt) = in_flight[a as usize % in_flight.len()];
        self.finish_attempt(request, attempt, outcome, report);
    }

    fn finish_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let pending = self.pending.get_mut(&id).expect("pending request");
        let ended = &mut pending.attempts[attempt];
        (ended.in_flight, ended.may_have_run) = (false, !outcome.never_ran());
        let (endpoint, took) = (ended.endpoint, self.now - ended.sent_at);
        let is_final = outcome == Outcome::Ok || pending.streaming;
        if is_final {
            let pending = self.pending.remove(&id).expect("pending request");
            self.answer(id, &pending);
        }
        self.handle(Event::AttemptEnded { request: id, attempt, endpoint, outcome, took, is_final, report });
    }

    /// Advances the clock by `time`, ends attempts at their deadlines with a timeout and fires the timers
    /// that are due.
    pub fn advance(&mut self, time: Micros) {
        self.now += time;
        loop {
            let overdue = |p: &PendingRequest| {
                p.attempts.iter().position(|a| a.in_flight && a.deadline <= self.now && !p.streaming)
            };
            let Some((id, attempt)) = self.pending.iter().find_map(|(id, p)| overdue(p).map(|n| (*id, n)))
            else {
                break;
            };
            self.finish_attempt(id, attempt, Outcome::Timeout, None);
        }
        let due: Vec<u64> = self.timers.iter().filter(|(at, _)| *at <= self.now).map(|t| t.1).collect();
        self.timers.retain(|(at, _)| *at > self.now);
        for token in due {
            self.handle(Event::Timer(token));
        }
        let overdue = self.pending.values().filter(|p| !p.streaming && p.deadline < self.now).count();
        assert_eq!(overdue, 0, "requests without an answer by their deadline");
    }

    /// Sends a full endpoint list or a change of up to three endpoints, made from `a` and `b`.
    pub fn update_endpoints(&mut self, a: u32, b: u32, full: bool) {
        let count = if full { a % 8 } else { 1 + a % 3 };
        let entries: Vec<Endpoint> = (0..count)
            .map(|i| {
                let id = if full { i } else { b.wrapping_add(i) % 8 };
                let state = match b.wrapping_shr(3 * i) % 5 {
                    0 => EndpointState::Draining,
                    1 if !full => EndpointState::Removed,
                    _ => EndpointState::Ready,
                };
                let cell = (id % 3 > 0).then_some(u64::from(id % 3));
                let up_since = b.is_multiple_of(4).then_some(self.now - 200_000);
                Endpoint { state, cell, up_since, ..ready_endpoint(id, id as usize % 2) }
            })
            .collect();
        if full {
            self.endpoints.values_mut().for_each(|e| e.state = EndpointState::Removed);
        }
        self.endpoints.extend(entries.iter().map(|e| (e.id.0, e.clone())));
        let scope = if full { UpdateScope::Full } else { UpdateScope::Delta };
        self.handle(Event::EndpointUpdate { scope, endpoints: &entries });
    }

    /// Plays one step: an event of the given kind, with `a` and `b` as its random parameters.
    pub fn step(&mut self, (kind, a, b): (u8, u32, u32)) {
        match kind {
            0..=5 => self.request(a, b),
            6 | 7 => self.advance(Micros::from(a % 500_000)),
            8 => self.outcome(a, Outcome::Ok),
            9 => self.outcome(a, Outcome::Rejected),
            10 => self.outcome(a, Outcome::ConnectFailed),
            11 => self.outcome(a, Outcome::Error),
            12 => self.outcome(a, Outcome::Reset),
            13 => self.update_endpoints(a, b, false),
            14 => self.update_endpoints(a, b, b.is_multiple_of(3)),
            15 => {
                let Some((&id, _)) = self.pending.iter().nth(a as usize % self.pending.len().max(1)) else {
                    return;
                };
                let pending = self.pending.remove(&id).expect("pending request");
                self.answer(id, &pending);
                self.handle(Event::ClientDisconnected(id));
            }
            16 => {
                let may_stream = |p: &PendingRequest| {
                    !p.streaming && p.attempts.iter().filter(|a| a.in_flight).count() == 1
                };
                let Some((&request, pending)) = self.pending.iter_mut().find(|(_, p)| may_stream(p)) else {
                    return;
                };
                pending.streaming = true;
                self.handle(Event::StreamStarted { request });
            }
            17 => self.handle(Event::GossipReceived {
                from: a % 4,
                payload: &u64::from(b).to_le_bytes()[..a as usize % 7],
            }),
            18 => self.handle(Event::Timer(u64::from(a))),
            _ => self.handle(Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] }),
        }
    }
}
