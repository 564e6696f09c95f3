//! Requests that are owed an answer, and their attempts.
//!
//! A request is added when it lands, and removed when it has its final answer and all its attempts have
//! ended. An attempt counts as in flight from the time its endpoint has the whole request: until the body has
//! been received no endpoint works on it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::endpoint_table::EndpointTable;
use crate::index::{ClassIndex, EndpointIndex};
use crate::selection::latency::LatencyModel;
use crate::time::{elapsed, Micros, ObservationWindow, TIME_LIMIT};
use crate::{Action, Class, EndpointFilter, NewRequest, Outcome, RequestId};

/// Where an attempt stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptStatus {
    InFlight,
    /// Ended, and the endpoint may have run the request.
    MayHaveRun,
    /// Ended, and proved not to have run.
    NeverRan,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    /// Where it went.
    pub endpoint: EndpointIndex,
    /// When its endpoint had the whole request.
    pub sent_at: Micros,
    status: AttemptStatus,
}

impl Attempt {
    /// An attempt that starts now.
    pub fn new(endpoint: EndpointIndex, now: Micros) -> Self {
        Attempt { endpoint, sent_at: now, status: AttemptStatus::InFlight }
    }

    /// Has it not ended yet?
    pub fn is_in_flight(&self) -> bool {
        self.status == AttemptStatus::InFlight
    }

    /// Is there no proof that the endpoint has not run it?
    pub fn may_have_run(&self) -> bool {
        self.status != AttemptStatus::NeverRan
    }
}

/// A request that is owed an answer, or whose attempts have not all ended.
pub(crate) struct PendingRequest {
    /// Its class.
    pub class: ClassIndex,
    /// The endpoints that it may go to, where not to all.
    pub endpoint_filter: Option<Arc<EndpointFilter>>,
    /// The attempts that it may have; `usize::MAX` where it sets no limit.
    pub max_attempts: usize,
    /// When its attempts are given up.
    pub deadline: Micros,
    /// A streamed answer has begun; the client owns the attempt.
    pub streaming: bool,
    /// Its body has not been received yet.
    pub body_pending: bool,
    /// It has its final answer.
    pub answered: bool,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// A request that lands now.
    pub fn new(now: Micros, request: &NewRequest, class: &Class) -> Self {
        PendingRequest {
            class: ClassIndex(request.class),
            endpoint_filter: request.endpoint_filter.clone(),
            max_attempts: if request.max_attempts == 0 { usize::MAX } else { request.max_attempts },
            deadline: attempt_deadline(now, request, class),
            streaming: false,
            body_pending: request.body_pending > 0,
            answered: false,
            attempts: Vec::new(),
        }
    }

    /// Is any attempt in flight?
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }
}

/// When attempts are given up: an answer that would be worth nothing only loads the endpoints.
fn attempt_deadline(now: Micros, request: &NewRequest, class: &Class) -> Micros {
    let received = now + request.body_pending.clamp(0, TIME_LIMIT);
    let deadline = received + request.time_left.clamp(0, TIME_LIMIT);
    if class.late_answer_value > 0.0 {
        deadline
    } else {
        deadline.min(received + class.latency_objective)
    }
}

/// An attempt that has just ended.
pub(crate) struct EndedAttempt {
    /// Where it went.
    pub endpoint: EndpointIndex,
    /// The class of its request.
    pub class: ClassIndex,
    /// How long it took, in microseconds.
    pub took: f64,
}

/// All pending requests.
#[derive(Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Attempts that endpoints work on.
    in_flight: u32,
}

impl PendingRequests {
    /// Is this id in use?
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// The request of this id.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Attempts of this balancer that endpoints work on.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.requests.insert(id, request);
    }

    /// A streamed answer began.
    pub fn set_streaming(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }

    /// Books an attempt that starts now; gives the time at which it is to be given up.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        endpoint: EndpointIndex,
        endpoints: &mut EndpointTable,
        window: ObservationWindow,
    ) -> Option<Micros> {
        let request = self.requests.get_mut(&id)?;
        request.attempts.push(Attempt::new(endpoint, now));
        if !request.body_pending {
            endpoints[endpoint].begin_attempt(request.class, window.age(now));
            self.in_flight += 1;
        }
        Some(request.deadline)
    }

    /// The body of a request has been received: its endpoints begin, and its time counts from here.
    pub fn on_body_received(
        &mut self,
        now: Micros,
        id: RequestId,
        endpoints: &mut EndpointTable,
        window: ObservationWindow,
    ) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.body_pending) else { return };
        request.body_pending = false;
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.is_in_flight()) {
            attempt.sent_at = now;
            endpoints[attempt.endpoint].begin_attempt(request.class, window.age(now));
            self.in_flight += 1;
        }
    }

    /// Books the end of an attempt; `None` where it was never made or has ended before.
    pub fn end_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        number: usize,
        outcome: Outcome,
        endpoints: &mut EndpointTable,
        window: ObservationWindow,
    ) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(number).filter(|attempt| attempt.is_in_flight())?;
        attempt.status =
            if outcome.never_ran() { AttemptStatus::NeverRan } else { AttemptStatus::MayHaveRun };
        if !request.body_pending {
            self.in_flight = self.in_flight.saturating_sub(1);
            endpoints[attempt.endpoint].end_attempt(request.class, window.age(attempt.sent_at));
        }
        Some(EndedAttempt {
            endpoint: attempt.endpoint,
            class: request.class,
            took: elapsed(attempt.sent_at, now),
        })
    }

    /// A request has its answer: cancels what is still in flight where `can_cancel` (the platform lets attempts
    /// be cancelled), and forgets the request once all its attempts have ended.
    pub fn finish(&mut self, id: RequestId, can_cancel: bool, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if can_cancel && !request.streaming && !request.answered {
            let numbered = request.attempts.iter().enumerate();
            let in_flight = numbered.filter(|(_, attempt)| attempt.is_in_flight());
            actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        }
        request.answered = true;
        if !request.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }

    /// The time that the attempt in flight that is furthest past its latency objective has taken so far, as
    /// a multiple of that objective; `None` where all are within it.
    pub fn longest_overdue(&self, now: Micros, latency: &LatencyModel) -> Option<f64> {
        let due = self.requests.values().filter(|request| request.deadline > now);
        let attempts =
            due.flat_map(|request| request.attempts.iter().map(move |attempt| (request.class, attempt)));
        let in_flight = attempts.filter(|(_, attempt)| attempt.is_in_flight());
        let ages = in_flight.map(|(class, attempt)| elapsed(attempt.sent_at, now) / latency.objective(class));
        ages.filter(|age| *age > 1.0).max_by(f64::total_cmp)
    }
}

#[cfg(test)]
mod tests;
