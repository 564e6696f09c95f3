//! The driver of a pool: owns the balancer, converts inputs from I/O tasks into events for it, and carries
//! out the actions that it returns.
//!
//! I/O tasks send inputs through a [`DriverHandle`]. The driver handles them one at a time and in order, so
//! events never nest and no lock is needed. For each request without a final response it keeps the channel
//! for that response and the running attempts (`open_request`); whether a request may have been executed is
//! derived from the outcomes of its attempts (`attempt_history`).

mod attempt_history;
mod attempt_task;
mod open_request;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

use decide::Balancer;
use decide::{
    Action, EndpointId, Event, LoadReport, Micros, Outcome, RequestId, Semantics, Settings, UpdateScope,
};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;

use self::open_request::{AttemptTerms, OpenRequest};
use crate::clock::Clock;
use crate::exchange::{AttemptResult, Execution, FinalResponse};
use crate::gossip::GossipSocket;
use crate::inbox::{AttemptId, AttemptTarget, DriverHandle, DriverInput, SubmittedRequest};
use crate::log::log_line;
use crate::upstream::UpstreamPool;

/// Runs the balancer of one pool.
pub struct Driver {
    clock: Clock,
    settings: Settings,
    balancer: Balancer,
    /// The seed of `balancer`, which also distinguishes its timers from those of an earlier balancer.
    balancer_seed: u64,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    upstream_pool: Rc<UpstreamPool>,
    gossip: Option<Rc<GossipSocket>>,
    poll_discovery: Rc<Notify>,
    handle: DriverHandle,
    inputs: mpsc::UnboundedReceiver<DriverInput>,
    /// Inputs caused by the input being handled; they are handled before those of `inputs`.
    follow_ups: VecDeque<DriverInput>,
}

impl Driver {
    /// Creates a driver whose balancer draws random numbers from `seed`. `poll_discovery` is notified when
    /// the balancer requests a poll of the endpoint list.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        upstream_pool: Rc<UpstreamPool>,
        gossip: Option<Rc<GossipSocket>>,
        poll_discovery: Rc<Notify>,
    ) -> Driver {
        let (handle, inputs) = DriverHandle::new();
        Driver {
            clock,
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            balancer_seed: seed,
            open_requests: BTreeMap::new(),
            upstream_pool,
            gossip,
            poll_discovery,
            handle,
            inputs,
            follow_ups: VecDeque::new(),
        }
    }

    /// Returns a handle that sends inputs to this driver.
    pub fn handle(&self) -> DriverHandle {
        self.handle.clone()
    }

    /// Handles inputs, one at a time, for as long as it is polled.
    pub async fn run(mut self) {
        while let Some(input) = self.inputs.recv().await {
            self.follow_ups.push_back(input);
            while let Some(input) = self.follow_ups.pop_front() {
                self.handle_input_or_replace_balancer(input);
            }
        }
    }

    /// Handles an input, and replaces the balancer if it panics.
    fn handle_input_or_replace_balancer(&mut self, input: DriverInput) {
        // A new balancer that panics on the cached list would panic on it forever, so it is not sent again.
        let is_cached_list = matches!(input, DriverInput::EndpointUpdate { scope: UpdateScope::Cached, .. });
        if catch_unwind(AssertUnwindSafe(|| self.handle_input(input))).is_err() {
            self.replace_balancer(!is_cached_list);
        }
    }

    /// Fails all open requests and continues with a new balancer, because a panic may have left the old one
    /// in an inconsistent state.
    fn replace_balancer(&mut self, with_cached_list: bool) {
        log_line(format_args!("balancer panicked: failing all open requests and starting a new balancer"));
        self.follow_ups.clear();
        for request in std::mem::take(&mut self.open_requests).into_values() {
            request.fail();
        }
        self.balancer_seed = self.balancer_seed.wrapping_add(1);
        self.balancer = Balancer::new(self.settings.clone(), self.balancer_seed);
        if with_cached_list {
            let endpoints = self.upstream_pool.listed_endpoints();
            self.follow_ups.push_back(DriverInput::EndpointUpdate { scope: UpdateScope::Cached, endpoints });
        }
    }

    // ---- Conversion of inputs to events ----

    fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::EndpointUpdate { scope, endpoints } => {
                self.decide(Event::EndpointUpdate { scope, endpoints: &endpoints });
            }
            DriverInput::Request(submitted) => self.on_request(submitted),
            DriverInput::BodyReceived(id) => self.decide(Event::BodyReceived(id)),
            DriverInput::AttemptEnded { attempt, result } => self.on_attempt_ended(attempt, result),
            DriverInput::AttemptCancelled { attempt, target, outcome } => {
                self.report_attempt(attempt, target, AttemptReport { outcome, is_final: true, load: None });
            }
            DriverInput::ClientDisconnected(id) => self.on_client_disconnected(id),
            DriverInput::Timer { balancer_seed, token } => self.on_timer(balancer_seed, token),
            DriverInput::GossipReceived { from, payload } => {
                self.decide(Event::GossipReceived { from, payload: &payload });
            }
            DriverInput::HealthCheckEnded { target, result } => self.on_health_check_ended(target, &result),
            DriverInput::ImportLearnedState(states) => {
                self.balancer.import_learned_state(self.clock.now(), &states);
            }
            // Sending fails if the receiver has been dropped, which is harmless.
            DriverInput::ExportLearnedState(reply) => {
                let _ = reply.send(self.balancer.learned_state(self.clock.now()));
            }
            DriverInput::EjectedCount(reply) => {
                let _ = reply.send(self.balancer.ejected_count(self.clock.now()));
            }
        }
    }

    fn on_request(&mut self, submitted: SubmittedRequest) {
        let SubmittedRequest { mut decision_input, message, disconnect_probe, attempts, response } =
            submitted;
        let id = decision_input.id;
        decision_input.lacks_key =
            self.has_keys(decision_input.class) && !self.upstream_pool.carries_idempotency_key(&message);
        if decision_input.lacks_key {
            attempts.note_missing_key();
        }
        let request = OpenRequest::new(message, disconnect_probe, attempts, response);
        if let Some(body) = request.streamed_body() {
            let handle = self.handle();
            body.on_complete(move || handle.send(DriverInput::BodyReceived(id)));
        }
        self.open_requests.insert(id, request);
        self.decide(Event::Request(decision_input));
    }

    /// Whether endpoints discard repeats of the requests of this class by their key.
    fn has_keys(&self, class: usize) -> bool {
        let class = self.settings.classes.get(class);
        class.is_some_and(|class| matches!(class.semantics, Semantics::Deduplicated { .. }))
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.remove(&id) {
            self.decide(Event::ClientDisconnected(id));
            self.cancel_attempts(id, &request);
        }
    }

    /// Reports the end of an attempt to the balancer. A cancelled attempt has been reported before and is
    /// ignored.
    fn on_attempt_ended(&mut self, attempt: AttemptId, result: AttemptResult) {
        let AttemptResult { outcome, load_report, response } = result;
        let Some(request) = self.open_requests.get_mut(&attempt.request) else { return };
        let Some(target) = request.end_attempt(attempt.number, outcome) else { return };
        let is_final = response.is_some();
        if let Some(response) = response {
            self.respond(attempt.request, FinalResponse::Served(response));
        } else if request.is_client_disconnected() {
            // The input `ClientDisconnected` has not arrived yet, and no further attempt may start.
            self.on_client_disconnected(attempt.request);
        }
        self.report_attempt(attempt, target, AttemptReport { outcome, is_final, load: load_report });
    }

    fn on_timer(&mut self, balancer_seed: u64, token: u64) {
        // A timer of a replaced balancer would start a second round of timers in the new one.
        if balancer_seed == self.balancer_seed {
            self.decide(Event::Timer(token));
        }
    }

    fn on_health_check_ended(&mut self, target: AttemptTarget, result: &AttemptResult) {
        self.decide(Event::HealthChecked {
            endpoint: target.endpoint,
            outcome: result.outcome,
            took: self.clock.now() - target.started_at,
            report: result.load_report,
        });
    }

    fn report_attempt(&mut self, attempt: AttemptId, target: AttemptTarget, report: AttemptReport) {
        self.decide(Event::AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            endpoint: target.endpoint,
            outcome: report.outcome,
            took: self.clock.now() - target.started_at,
            is_final: report.is_final,
            report: report.load,
        });
    }

    /// Passes an event to the balancer and carries out the resulting actions in order.
    fn decide(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    // ---- Actions ----

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, deadline, write_before } => {
                let deadline = self.clock.instant(deadline);
                let write_before = write_before.map(|at| self.clock.instant(at));
                self.start_attempt(request, AttemptTerms { endpoint, deadline, write_before });
            }
            Action::Reject { request, retry_after } => {
                let never_ran = self.open_requests.get(&request).is_some_and(OpenRequest::never_ran);
                let execution = if never_ran { Execution::RuledOut } else { Execution::Possible };
                self.respond(request, FinalResponse::Rejected { retry_after, execution });
            }
            Action::Fail(id) => {
                if let Some(request) = self.open_requests.get(&id) {
                    let response = request.failure_response();
                    self.respond(id, response);
                }
            }
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(AttemptId { request, number: attempt });
            }
            Action::Timer { at, token } => self.start_timer(at, token),
            Action::PollDiscovery => self.poll_discovery.notify_one(),
            Action::HealthCheck(endpoint) => self.start_health_check(endpoint),
            Action::SendGossip { to, payload } => {
                if let Some(gossip) = &self.gossip {
                    gossip.send(to, &payload);
                }
            }
            Action::Log(text) => log_line(format_args!("{text}")),
        }
    }

    fn start_attempt(&mut self, id: RequestId, terms: AttemptTerms) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let attempt = AttemptId { request: id, number: request.attempt_count() };
        let endpoint = terms.endpoint;
        let attempt_request = request.attempt_request(terms);
        let task = attempt_task::spawn(attempt, attempt_request, &self.handle, &self.upstream_pool);
        let started_at = self.clock.now();
        request.record_attempt(AttemptTarget { endpoint, started_at }, task);
    }

    /// Cancels one attempt of a request that stays open.
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let Some(request) = self.open_requests.get(&attempt.request) else { return };
        if let Some(outcome) = request.cancel_attempt(attempt.number) {
            self.follow_ups.push_back(DriverInput::AttemptEnded { attempt, result: outcome.into() });
        }
    }

    /// Cancels the attempts of a request that is no longer open. The balancer still receives an outcome for
    /// each.
    fn cancel_attempts(&mut self, id: RequestId, request: &OpenRequest) {
        for running in request.running_attempts() {
            if let Some(outcome) = request.cancel_attempt(running.number) {
                let attempt = AttemptId { request: id, number: running.number };
                let target = running.target;
                self.follow_ups.push_back(DriverInput::AttemptCancelled { attempt, target, outcome });
            }
        }
    }

    fn start_timer(&self, at: Micros, token: u64) {
        let handle = self.handle();
        let due = self.clock.instant(at);
        let balancer_seed = self.balancer_seed;
        spawn_local(async move {
            tokio::time::sleep_until(due).await;
            handle.send(DriverInput::Timer { balancer_seed, token });
        });
    }

    fn start_health_check(&self, endpoint: EndpointId) {
        let handle = self.handle();
        let upstream_pool = Rc::clone(&self.upstream_pool);
        let target = AttemptTarget { endpoint, started_at: self.clock.now() };
        spawn_local(async move {
            let result = upstream_pool.health_check(endpoint).await;
            handle.send(DriverInput::HealthCheckEnded { target, result });
        });
    }

    /// Sends the final response of a request; no further attempt is started for it.
    fn respond(&mut self, id: RequestId, response: FinalResponse) {
        let Some(mut request) = self.open_requests.remove(&id) else { return };
        request.respond(response);
        self.cancel_attempts(id, &request);
    }
}

/// The end of an attempt as it is reported to the balancer.
struct AttemptReport {
    outcome: Outcome,
    /// Whether the request has its final response.
    is_final: bool,
    load: Option<LoadReport>,
}
