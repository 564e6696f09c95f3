//! The lifecycle of a request: admitted or shed, sent to an endpoint, retried, answered.
//!
//! The actions on requests are created here from the decisions of the other modules, except cancellations,
//! which [`attempts`](crate::attempts) creates.

use crate::admission::{AdmissionDecision, Occupancy};
use crate::attempts::{EndedAttempt, PendingRequest};
use crate::balancer::Balancer;
use crate::gossip::{GossipMessage, LoadSignal};
use crate::index::{EndpointIndex, ZoneIndex};
use crate::selection::{Selected, Selector};
use crate::time::Micros;
use crate::{Action, NewRequest, Outcome, RequestId};

impl Balancer {
    /// Handles the arrival of a request.
    pub(crate) fn on_request(&mut self, now: Micros, request: &NewRequest, actions: &mut Vec<Action>) {
        if self.requests.contains(request.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(request.class) else {
            actions.push(Action::Reject { request: request.id, retry_after: 0 });
            return;
        };
        self.throughput.record_arrival(now, self.window);
        self.retry_budget.earn();
        self.slow_start.earn_warmup();
        self.requests.insert(request.id, PendingRequest::new(now, request, class));
        match self.admit(now, request) {
            AdmissionDecision::Shed { retry_after } => self.give_up(request.id, retry_after, actions),
            AdmissionDecision::Admit => {
                if !self.dispatch(now, request.id, actions) {
                    self.give_up(request.id, 0, actions);
                }
            }
        }
    }

    fn admit(&mut self, now: Micros, request: &NewRequest) -> AdmissionDecision {
        let level = self.admission.priority_level(now, request);
        let occupancy = self.occupancy(now);
        self.admission.decide(request, level, &self.latency, occupancy)
    }

    /// The attempts in flight of this balancer and, if the base threshold is small, those of its peers.
    fn occupancy(&self, now: Micros) -> Occupancy {
        let max_age = self.window.micros() / 2;
        let peer_load = |index: &EndpointIndex| self.endpoints[*index].peer_load.in_flight(now, max_age);
        let counts_peers = self.admission.threshold.is_small();
        Occupancy {
            in_flight: self.requests.in_flight(),
            peers_in_flight: if counts_peers { self.ready.subset.iter().map(peer_load).sum() } else { 0 },
            peers: self.ready.gossip_peers.len(),
        }
    }

    /// Sends a request to the best endpoint that may get it; returns `false` if there is none.
    fn dispatch(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(selected) = self.select(now, id) else { return false };
        if selected.is_warmup {
            self.slow_start.spend_warmup();
        }
        self.send(now, id, selected.endpoint, actions);
        true
    }

    fn select(&mut self, now: Micros, id: RequestId) -> Option<Selected> {
        let mut selector = Selector {
            now,
            window: self.window,
            period: self.period,
            request: self.requests.get(id)?,
            ready: &self.ready,
            endpoints: &mut self.endpoints,
            retry: &self.retry_policy,
            latency: &self.latency,
            locality: &self.locality,
            slow_start: &self.slow_start,
            throughput: &mut self.throughput,
            rng: &mut self.rng,
        };
        selector.select()
    }

    /// Starts an attempt at an endpoint that [`Balancer::select`] returned.
    fn send(&mut self, now: Micros, id: RequestId, endpoint: EndpointIndex, actions: &mut Vec<Action>) {
        debug_assert!(self.requests.get(id).is_some_and(|request| {
            self.retry_policy.may_start_attempt(now, request, &self.endpoints, endpoint)
        }));
        let write_before = self.requests.get(id).and_then(|request| self.retry_policy.write_before(request));
        let Some(deadline) = self.requests.start_attempt(now, id, endpoint, &mut self.endpoints, self.window)
        else {
            return;
        };
        let record = &mut self.endpoints[endpoint];
        record.count_sent(now);
        actions.push(Action::Send { request: id, endpoint: record.entry.id, deadline, write_before });
        self.publish_load(endpoint, LoadSignal::None, actions);
    }

    /// Sends the number of attempts in flight at an endpoint, and the load signal of an attempt that ended
    /// there, to the peers that share the subset of this balancer.
    fn publish_load(&self, endpoint: EndpointIndex, signal: LoadSignal, actions: &mut Vec<Action>) {
        if self.ready.gossip_peers.is_empty() || !self.ready.subset.contains(&endpoint) {
            return;
        }
        let record = &self.endpoints[endpoint];
        let in_flight = record.in_flight.min(u32::from(u8::MAX)) as u8;
        let payload = GossipMessage { endpoint: record.entry.id, in_flight, signal }.encode();
        let peers = self.ready.gossip_peers.iter();
        actions.extend(peers.map(|&to| Action::SendGossip { to, payload: payload.clone() }));
    }

    /// Records the end of an attempt; returns `false` if there is no such attempt or it has ended before.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        number: usize,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) -> bool {
        let ended = self.requests.end_attempt(now, id, number, outcome, &mut self.endpoints, self.window);
        let Some(attempt) = ended else { return false };
        let signal = self.learn_from(now, &attempt, outcome);
        self.publish_load(attempt.endpoint, signal, actions);
        true
    }

    /// Records the end of an attempt in all measurements, and returns its load signal.
    fn learn_from(&mut self, now: Micros, attempt: &EndedAttempt, outcome: Outcome) -> LoadSignal {
        let EndedAttempt { endpoint, class, took } = *attempt;
        let objective = self.latency.objective(class);
        let record = &mut self.endpoints[endpoint];
        self.locality.record(now, self.window, ZoneIndex(record.entry.zone), outcome);
        record.ejection.record(now, outcome, self.window, &mut self.rng);
        if outcome == Outcome::Ok {
            let is_warm = self.slow_start.is_warm(now, &record.entry);
            self.latency.record_success(now, self.window, class, took);
            self.throughput.record_success(now, self.window, objective, is_warm);
        }
        let signal = match outcome {
            Outcome::Ok | Outcome::Timeout => LoadSignal::latency(took / objective),
            Outcome::Rejected => LoadSignal::Rejected,
            Outcome::Error => LoadSignal::Failed,
            _ => LoadSignal::None,
        };
        self.on_load_signal(now, endpoint, signal);
        let record = &mut self.endpoints[endpoint];
        self.latency.record_attempt(now, self.window, record, class, outcome, took);
        signal
    }

    /// Finishes, retries or gives up a request after one of its attempts ended.
    pub(crate) fn answer_or_retry(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        is_final: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        if is_final {
            self.requests.finish(id, self.settings.can_cancel, actions);
            return;
        }
        if request.answered || request.streaming || request.has_attempt_in_flight() {
            return;
        }
        let time_left = (request.deadline - now) as f64;
        let typical_latency = self.latency.typical(request.class);
        let may_retry = self.retry_budget.allows(outcome, time_left, typical_latency);
        if may_retry && self.dispatch(now, id, actions) {
            self.retry_budget.spend(outcome);
        } else {
            self.give_up(id, 0, actions);
        }
    }

    /// Gives up a request: rejects it if a rejection may guarantee that a retry by the client does no harm,
    /// and fails it otherwise.
    fn give_up(&mut self, id: RequestId, retry_after: Micros, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.streaming || request.answered {
            return;
        }
        if self.retry_policy.may_reject(request) {
            let retry_after = self.admission.retry_after(retry_after);
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.requests.finish(id, self.settings.can_cancel, actions);
    }
}
