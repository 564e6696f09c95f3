//! Test helpers: a balancer with a clock, settings, endpoints, and the simulations of several test files.
#![allow(dead_code)]
pub mod digest;
pub mod event_sequence;
pub mod model;
pub mod recorded_form;
pub mod scenarios;
pub mod world;

use decide::Balancer;
use decide::{
    Action, Class, Endpoint, EndpointId, Event, Micros, NewRequest, Outcome, RequestId, Settings, UpdateScope,
};

/// Settings with one idempotent class, one tier and one balancer.
pub fn settings() -> Settings {
    let class =
        Class { latency_objective: 500_000, deadline: 2_000_000, priority_weight: 1.0, ..Class::default() };
    Settings { balancers: 1, tiers: 1, classes: vec![class], max_attempts: 3, ..Settings::default() }
}

/// A ready endpoint in a zone.
pub fn ready_endpoint(id: u32, zone: usize) -> Endpoint {
    Endpoint { id: EndpointId(id), zone, ..Endpoint::default() }
}

/// A balancer with a clock, in microseconds, and its pending timers.
pub struct Proxy {
    pub balancer: Balancer,
    pub now: Micros,
    next: u64,
    timers: Vec<(Micros, u64)>,
}

impl Proxy {
    pub fn new(settings: Settings, endpoints: &[Endpoint]) -> Self {
        Self::with_seed(settings, endpoints, 7)
    }

    pub fn with_seed(settings: Settings, endpoints: &[Endpoint], seed: u64) -> Self {
        let mut proxy =
            Proxy { balancer: Balancer::new(settings, seed), now: 1_000_000, next: 0, timers: Vec::new() };
        proxy.handle(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints });
        proxy
    }

    /// Passes an event to the balancer and returns its actions. Timers are kept for `advance` and not
    /// returned.
    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { at, token } = action {
                self.timers.push((*at, *token));
            }
        }
        out.retain(|a| !matches!(a, Action::Timer { .. }));
        out
    }

    /// Advances the clock by `time`, fires the timers that fall due and returns the resulting actions.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(&(at, token)) = self.timers.iter().filter(|(at, _)| *at <= end).min() {
            self.timers.retain(|t| *t != (at, token));
            self.now = self.now.max(at);
            out.extend(self.handle(Event::Timer(token)));
        }
        self.now = end;
        out
    }

    /// Advances the clock to `at` as `advance` does; a time in the past leaves the clock unchanged.
    pub fn advance_to(&mut self, at: Micros) -> Vec<Action> {
        self.advance((at - self.now).max(0))
    }

    /// Sends a request of a class with two seconds left; returns its id and the resulting actions.
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, 2_000_000)
    }

    pub fn request_with(&mut self, class: usize, time_left: Micros) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let request = NewRequest { id, class, time_left, ..NewRequest::default() };
        (id, self.handle(Event::Request(request)))
    }

    pub fn outcome(
        &mut self,
        request: RequestId,
        attempt: usize,
        endpoint: EndpointId,
        outcome: Outcome,
        took: Micros,
    ) -> Vec<Action> {
        let is_final = outcome == Outcome::Ok;
        self.handle(Event::AttemptEnded { request, attempt, endpoint, outcome, took, is_final, report: None })
    }
}

/// The endpoints of the attempts among the actions.
pub fn sent_to(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint_of = |a: &Action| match a {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(endpoint_of).collect()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Ready endpoints in zone 0.
pub fn pool(count: u32) -> Vec<Endpoint> {
    (0..count).map(|id| ready_endpoint(id, 0)).collect()
}

/// The settings of one of two balancers that gossip.
pub fn gossip_settings() -> Settings {
    Settings { balancers: 2, gossip_allowed: true, ..settings() }
}
