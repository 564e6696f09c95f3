//! Pending requests and their attempts.
//!
//! A request is added when it arrives, and removed when it has its final answer and all its attempts have
//! ended. The counts of attempts in flight include an attempt only once its endpoint has received the whole
//! request: until then, the endpoint does not work on it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::endpoint_table::EndpointTable;
use crate::index::{ClassIndex, EndpointIndex};
use crate::selection::latency::LatencyModel;
use crate::time::{elapsed, Micros, ObservationWindow, TIME_LIMIT};
use crate::{Action, Class, EndpointFilter, NewRequest, Outcome, RequestId};

/// The status of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptStatus {
    InFlight,
    /// The attempt has ended; the endpoint may have executed the request.
    MayHaveRun,
    /// The attempt has ended, and the endpoint has certainly not executed the request.
    NeverRan,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    /// The endpoint to which the attempt was sent.
    pub endpoint: EndpointIndex,
    /// The time at which the attempt started or, if the body was received later, the time at which the
    /// endpoint had the whole request.
    pub sent_at: Micros,
    status: AttemptStatus,
}

impl Attempt {
    /// Creates an attempt that starts at `now`.
    pub fn new(endpoint: EndpointIndex, now: Micros) -> Self {
        Attempt { endpoint, sent_at: now, status: AttemptStatus::InFlight }
    }

    /// Whether the attempt has not ended yet, also if its endpoint has not received the whole request.
    pub fn is_in_flight(&self) -> bool {
        self.status == AttemptStatus::InFlight
    }

    /// Whether the endpoint may have executed the request.
    pub fn may_have_run(&self) -> bool {
        self.status != AttemptStatus::NeverRan
    }
}

/// A request without its final answer, or with attempts that have not ended.
pub(crate) struct PendingRequest {
    /// The class of the request.
    pub class: ClassIndex,
    /// Whether endpoints cannot discard repeats of the request, because its key is not sent.
    pub lacks_key: bool,
    /// The endpoints to which the request may be sent; `None` permits all.
    pub endpoint_filter: Option<Arc<EndpointFilter>>,
    /// The highest number of attempts; `usize::MAX` if the request sets no limit.
    pub max_attempts: usize,
    /// The time at which its attempts are given up.
    pub deadline: Micros,
    /// Whether a streamed answer has begun. The request is then not cancelled, retried or rejected, because
    /// the client may have received a part of the answer.
    pub streaming: bool,
    /// Whether the body has not been received yet.
    pub body_pending: bool,
    /// Whether the request has its final answer.
    pub answered: bool,
    /// The attempts in the order of their start.
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// Creates a request that arrives at `now`.
    pub fn new(now: Micros, request: &NewRequest, class: &Class) -> Self {
        PendingRequest {
            class: ClassIndex(request.class),
            lacks_key: request.lacks_key,
            endpoint_filter: request.endpoint_filter.clone(),
            max_attempts: if request.max_attempts == 0 { usize::MAX } else { request.max_attempts },
            deadline: attempt_deadline(now, request, class),
            streaming: false,
            body_pending: request.body_pending > 0,
            answered: false,
            attempts: Vec::new(),
        }
    }

    /// Whether any attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }
}

/// The time at which the attempts of a request are given up. It is the deadline of the request. If a late
/// answer of its class has no value, it is the end of the latency objective if that is earlier, because a
/// further wait would only load the endpoints.
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
    /// The endpoint to which the attempt was sent.
    pub endpoint: EndpointIndex,
    /// The class of its request.
    pub class: ClassIndex,
    /// The duration of the attempt, in microseconds.
    pub took: f64,
}

/// All pending requests.
#[derive(Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The number of attempts that endpoints work on.
    in_flight: u32,
}

impl PendingRequests {
    /// Whether a pending request has this id.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// The pending request with this id.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// The number of attempts of this balancer that endpoints work on.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.requests.insert(id, request);
    }

    /// Marks the answer of a request as streamed.
    pub fn set_streaming(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }

    /// Records an attempt that starts at `now`, and returns the time at which it is to be given up. Returns
    /// `None` if the request is not pending.
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

    /// Records that the body of a request has been received: its endpoints begin to work on it, and the
    /// duration of its attempts counts from `now`.
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

    /// Records the end of an attempt. Returns `None` if there is no such attempt or it has ended before.
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

    /// Records the final answer of a request: cancels its attempts in flight if `can_cancel` (the platform
    /// can cancel attempts), and removes the request if all its attempts have ended.
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

    /// The duration so far of the attempt that has exceeded its latency objective by the greatest factor, as
    /// a multiple of that objective; `None` if all attempts are within it. Attempts that have ended and
    /// requests past their deadline are not included.
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
