//! Requests, their attempts and the outcomes of these.

use std::sync::Arc;

use decide::{
    DownstreamConnections, EndpointFilter, EndpointId, Event, LoadReport, Micros, NewRequest, Outcome,
    RequestId, TIME_LIMIT,
};

use super::{Player, Scheduled, ATTEMPT_FAILURES, BUSY_SLOWDOWN, CELLS, MACHINE_KINDS};

impl Player {
    pub(super) fn start_attempt(&mut self, request: u64, endpoint: u32, deadline: Micros) {
        let count = self.attempts.entry(request).or_default();
        let attempt = *count;
        *count += 1;
        self.open.insert((request, attempt), endpoint);
        let index = self.endpoint_index(endpoint);
        self.in_flight[index] += 1;
        let slowdown = if self.busy() { BUSY_SLOWDOWN } else { 1.0 };
        let occupancy_factor = 1.0 + f64::from(self.in_flight[index]) / 4.0;
        let noise = 0.4 + 1.2 * self.random.f64();
        let service_time =
            (self.scenario.service_time as f64 * slowdown * occupancy_factor * noise) as Micros;
        let fails = self.chance(self.scenario.failure_fraction);
        let failure = fails.then(|| self.random.usize(0..ATTEMPT_FAILURES.len()));
        let (at, failure) = match failure {
            Some(kind) => (self.now + self.random.i64(0..=service_time.max(1)), Some(kind)),
            None if self.now + service_time >= deadline => {
                (deadline, ATTEMPT_FAILURES.iter().position(|o| *o == Outcome::Timeout))
            }
            None => (self.now + service_time, None),
        };
        self.schedule(at, Scheduled::AttemptEnds { request, attempt, endpoint, failure });
        if self.chance(0.03) {
            let delay = self.random.i64(0..=service_time.max(1));
            self.schedule(self.now + delay, Scheduled::StreamStarted(request));
        }
        if self.chance(0.05) {
            let delay = self.random.i64(0..=service_time.max(1));
            self.schedule(self.now + delay, Scheduled::ClientDisconnected(request));
        }
    }

    pub(super) fn endpoint_index(&self, id: u32) -> usize {
        self.endpoints.iter().position(|endpoint| endpoint.id.0 == id).unwrap_or(0)
    }

    pub(super) fn receive_request(&mut self) {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let settings = &self.scenario.settings;
        let class = self.random.usize(0..settings.classes.len());
        let deadline = settings.classes[class].deadline;
        let tenants = settings.tenants.len();
        let time_left = match self.random.usize(0..20) {
            0 => self.random.i64(0..=deadline.clamp(1, TIME_LIMIT)),
            1 => deadline / 8,
            _ => deadline,
        };
        let with_tenant = tenants > 0 && self.chance(0.8);
        let tenant = with_tenant.then(|| self.random.usize(0..=tenants));
        let body_pending = if self.chance(0.1) { self.random.i64(1..300_000) } else { 0 };
        let request = NewRequest {
            id,
            class,
            tenant,
            time_left,
            work: self.random.bool().then_some(20_000),
            is_retry: self.chance(0.1),
            lacks_key: false,
            endpoint_filter: self.endpoint_filter(),
            max_attempts: if self.chance(0.1) { self.random.usize(1..4) } else { 0 },
            body_pending,
            downstream_connections: self.downstream_connections(),
        };
        if body_pending > 0 {
            let at = self.now + self.random.i64(0..body_pending);
            self.schedule(at, Scheduled::BodyReceived(id.0));
        }
        self.handle("Request", Event::Request(request));
    }

    pub(super) fn endpoint_filter(&mut self) -> Option<Arc<EndpointFilter>> {
        if !self.chance(0.12) {
            return None;
        }
        let mut endpoint_filter = EndpointFilter::default();
        match self.random.usize(0..5) {
            0 => endpoint_filter.zones = vec![self.random.usize(0..self.scenario.zones)],
            1 => endpoint_filter.machine_kinds = vec![self.random.usize(0..MACHINE_KINDS), MACHINE_KINDS],
            2 => endpoint_filter.cells = vec![self.random.u64(0..CELLS), self.random.u64(0..CELLS)],
            3 => {
                endpoint_filter.zones = vec![0];
                endpoint_filter.machine_kinds = vec![0, 1];
            }
            _ => {}
        }
        Some(Arc::new(endpoint_filter))
    }

    pub(super) fn downstream_connections(&mut self) -> Option<DownstreamConnections> {
        if !self.chance(0.1) {
            return None;
        }
        let open = self.random.usize(0..40);
        Some(DownstreamConnections { idle: self.random.usize(0..=open), open })
    }

    pub(super) fn end_attempt(
        &mut self,
        request: u64,
        attempt: usize,
        endpoint: u32,
        failure: Option<usize>,
    ) {
        let outcome = failure.map_or(Outcome::Ok, |kind| ATTEMPT_FAILURES[kind]);
        if self.open.remove(&(request, attempt)).is_some() {
            *self.result.outcomes.entry(outcome_name(outcome)).or_default() += 1;
            let index = self.endpoint_index(endpoint);
            self.in_flight[index] = self.in_flight[index].saturating_sub(1);
        }
        let is_final = if outcome == Outcome::Ok { !self.chance(0.02) } else { self.chance(0.05) };
        let report = self.load_report(endpoint);
        let took = self.random.i64(0..100_000);
        self.handle(
            "Outcome",
            Event::AttemptEnded {
                request: RequestId(request),
                attempt,
                endpoint: EndpointId(endpoint),
                outcome,
                took,
                is_final,
                report,
            },
        );
    }

    pub(super) fn load_report(&mut self, endpoint: u32) -> Option<LoadReport> {
        if !self.scenario.load_reports || self.chance(0.2) {
            return None;
        }
        let in_flight = f64::from(self.in_flight[self.endpoint_index(endpoint)]);
        let utilisation = if self.busy() { 0.8 + 0.4 * self.random.f64() } else { 0.6 * self.random.f64() };
        let implausible = [f64::NAN, -1.0, f64::INFINITY, 0.0][self.random.usize(0..4)];
        let mut report = LoadReport {
            in_flight: self.random.bool().then_some(in_flight),
            queued: self.random.bool().then_some((in_flight - 2.0).max(0.0)),
            utilisation: self.chance(0.8).then_some(utilisation),
            service_ms: Some(20.0),
            requests_per_s: Some(50.0),
            errors_per_s: Some(0.0),
        };
        match self.random.usize(0..30) {
            0 => report.in_flight = Some(implausible),
            1 => report.utilisation = Some(implausible),
            2 => (report.in_flight, report.queued) = (None, Some(implausible)),
            _ => {}
        }
        Some(report)
    }

    pub(super) fn check_health(&mut self) {
        let endpoint = self.random.usize(0..self.endpoints.len());
        let endpoint = self.endpoints[endpoint].id;
        let report = self.load_report(endpoint.0);
        let outcome = ATTEMPT_FAILURES[self.random.usize(0..ATTEMPT_FAILURES.len())];
        self.handle("Probed", Event::HealthChecked { endpoint, outcome, took: 1_000, report });
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "Ok",
        Outcome::Error => "Error",
        Outcome::Rejected => "Full",
        Outcome::Timeout => "Timeout",
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::Reset => "Reset",
        Outcome::Cancelled => "Cancelled",
        Outcome::NotSent => "Moot",
    }
}
