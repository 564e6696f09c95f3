//! Attempts of proxies at endpoints.

use decide::{EndpointId, EndpointState, Event, Micros, Outcome, RequestId};

use super::{SimulatedEvent, World};
use crate::endpoint::Service;
use crate::notification;
use crate::process::OpenAttempt;
use crate::settings::{DRAIN_GRACE, LATENCY_OBJECTIVE};
use crate::MILLISECOND;

/// The time after which an idle connection is closed.
const KEEPALIVE: Micros = 7_500 * MILLISECOND;
/// The network latency between a proxy and an endpoint in one direction, in microseconds.
const ONE_WAY_LATENCY: Micros = 300;
/// The time to open a connection.
const HANDSHAKE_TIME: Micros = 3 * MILLISECOND;

impl World<'_> {
    /// Forwards a request from a proxy to an endpoint.
    pub(super) fn send(&mut self, proxy: usize, id: u64, endpoint: EndpointId, deadline: Micros) {
        let now = self.now;
        let Some(open) = self.proxies[proxy].open_requests.get_mut(&id) else { return };
        let attempt = open.attempts.len();
        let work = open.request.work;
        open.attempts.push(OpenAttempt { endpoint, sent_at: Some(now) });
        let expiry = self.proxies[proxy].watch.expiry();
        if expiry.is_some_and(|expiry| expiry.from <= now && now < expiry.until) {
            self.report.withheld += 1;
            return self.on_attempt_end(proxy, id, attempt, Outcome::NotSent);
        }
        self.check_late_forward(proxy, endpoint);
        let arrives_at = now + ONE_WAY_LATENCY + self.connect(proxy, endpoint);
        let (ends_at, outcome) = self.serve(endpoint, arrives_at, work, deadline);
        self.schedule(ends_at, SimulatedEvent::AttemptEnds { proxy, request: id, attempt, outcome });
    }

    /// Counts an attempt that is sent to an endpoint after its drain grace has passed.
    fn check_late_forward(&mut self, proxy: usize, endpoint: EndpointId) {
        let now = self.now;
        self.apply_missed_changes(proxy);
        let proxy = &self.proxies[proxy];
        let by_rule = notification::removal_notified_at(
            self.fleet,
            &self.discovery.changes,
            endpoint,
            proxy.started_at,
        );
        let by_rule = by_rule.map(|at| at.max(proxy.silent_call_notified_at.unwrap_or(at)));
        let by_response = proxy.removal_notified_at.get(&endpoint.0).copied();
        let notified_at = by_response.into_iter().chain(by_rule).min();
        if notified_at.is_some_and(|notified_at| now > notified_at + DRAIN_GRACE) {
            self.report.late_forwards += 1;
        }
    }

    /// Records the missed changes that count as notified by now.
    fn apply_missed_changes(&mut self, proxy: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[proxy];
        let (due, pending): (Vec<_>, Vec<_>) =
            proxy.missed_changes.drain(..).partition(|missed| missed.notified_at <= now);
        proxy.missed_changes = pending;
        for missed in due {
            for change in &self.discovery.changes[..missed.version] {
                if change.state != EndpointState::Ready {
                    proxy.removal_notified_at.entry(change.endpoint.0).or_insert(missed.notified_at);
                }
            }
        }
    }

    /// Takes an idle connection or opens one, and returns the time that this takes.
    fn connect(&mut self, proxy: usize, endpoint: EndpointId) -> Micros {
        let now = self.now;
        let idle = self.proxies[proxy].idle_connections.entry(endpoint.0).or_default();
        idle.retain(|used_at| *used_at > now - KEEPALIVE);
        if idle.pop().is_some() {
            return 0;
        }
        self.report.handshakes += 1;
        HANDSHAKE_TIME
    }

    /// Returns the time and outcome of an attempt.
    fn serve(
        &mut self,
        endpoint: EndpointId,
        arrives_at: Micros,
        work: Micros,
        deadline: Micros,
    ) -> (Micros, Outcome) {
        let endpoint = self.endpoints.get_mut(&endpoint.0).filter(|endpoint| !endpoint.is_gone);
        let Some(endpoint) = endpoint else { return (arrives_at, Outcome::ConnectFailed) };
        match endpoint.receive(self.fleet, arrives_at, work) {
            Service::Rejected => (arrives_at + ONE_WAY_LATENCY, Outcome::Rejected),
            Service::Completed(completed_at) if completed_at + ONE_WAY_LATENCY <= deadline => {
                (completed_at + ONE_WAY_LATENCY, Outcome::Ok)
            }
            Service::Completed(_) | Service::Hung => (deadline, Outcome::Timeout),
        }
    }

    pub(super) fn on_attempt_end(&mut self, proxy: usize, id: u64, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let process = &mut self.proxies[proxy];
        let Some(open) = process.open_requests.get_mut(&id) else { return };
        let endpoint = open.attempts[attempt].endpoint;
        let Some(sent_at) = open.attempts[attempt].sent_at.take() else { return };
        let is_final = outcome == Outcome::Ok && !open.is_answered;
        if outcome == Outcome::Ok {
            process.idle_connections.entry(endpoint.0).or_default().push(now);
        }
        if is_final {
            let first_sent_at = open.request.first_sent_at;
            self.report.served += u64::from(now <= first_sent_at + LATENCY_OBJECTIVE);
            self.answer(proxy, id, true);
        } else if open.is_answered && open.has_no_attempt_in_flight() {
            process.open_requests.remove(&id);
        }
        let ended = Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            endpoint,
            outcome,
            took: now - sent_at,
            is_final,
            report: None,
        };
        self.handle_event(proxy, ended);
    }
}
