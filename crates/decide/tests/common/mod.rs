//! Helpers of the tests: a balancer with a clock, and what drives it.
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

/// One idempotent class, one tier, one balancer.
pub fn settings() -> Settings {
    let class =
        Class { latency_objective: 500_000, deadline: 2_000_000, priority_weight: 1.0, ..Class::default() };
    Settings { balancers: 1, tiers: 1, classes: vec![class], max_attempts: 3, ..Settings::default() }
}

/// A ready endpoint of a zone.
pub fn ready_endpoint(id: u32, zone: usize) -> Endpoint {
    Endpoint { id: EndpointId(id), zone, ..Endpoint::default() }
}

/// A balancer with a clock and its timers.
pub struct Proxy {
    pub balancer: Balancer,
    pub now: Micros,
    next: u64,
    timers: Vec<(Micros, u64)>,
}

impl Proxy {
    pub fn new(settings: Settings, endpoints: &[Endpoint]) -> Self {
        Self::seeded(settings, endpoints, 7)
    }

    pub fn seeded(settings: Settings, endpoints: &[Endpoint], seed: u64) -> Self {
        let mut proxy =
            Proxy { balancer: Balancer::new(settings, seed), now: 1_000_000, next: 0, timers: Vec::new() };
        proxy.handle(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints });
        proxy
    }

    /// Hands an event to the balancer; timers that it sets are kept and not returned.
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

    /// Advances the clock, and hands back the timers that fall due.
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

    /// The same, up to a point in time.
    pub fn advance_to(&mut self, at: Micros) -> Vec<Action> {
        self.advance((at - self.now).max(0))
    }

    /// A request of a class with two seconds left, and the actions on it.
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

/// The endpoints that the actions send a request to.
pub fn sent_to(actions: &[Action]) -> Vec<EndpointId> {
    let to = |a: &Action| match a {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Ready endpoints of one zone.
pub fn pool(count: u32) -> Vec<Endpoint> {
    (0..count).map(|id| ready_endpoint(id, 0)).collect()
}

/// Two balancers that gossip.
pub fn gossip_settings() -> Settings {
    Settings { balancers: 2, gossip_allowed: true, ..settings() }
}
