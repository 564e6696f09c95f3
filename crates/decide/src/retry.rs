//! Retry rules: whether another attempt may start, and whether a rejection may guarantee that a retry by the
//! client does no harm.
//!
//! Rules:
//! - Each request adds a fixed fraction of a retry to the retry budget, so retries cannot sustain an
//!   overload. A retry after an attempt that never connected requires a token in the budget but does not take
//!   it, because that attempt did not load an endpoint.
//! - There is no retry after a timeout, nor if the time left is at most half of the typical latency of the
//!   class.
//! - A request that was executed, or may have been, is repeated only if the [`Semantics`] of its class allow
//!   it. The repeat must be written before the endpoints forget the first attempt, so the end of that time is
//!   a part of the action. A request that is sent without its key is not repeated by the key.
//!
//! Bounds: `max_attempts` of the settings and of the request. A request has at most one attempt at a time,
//! also if `hedging_allowed` permits two, because this version does not hedge.

use crate::attempts::{Attempt, PendingRequest};
use crate::endpoint_table::EndpointTable;
use crate::index::EndpointIndex;
use crate::time::Micros;
use crate::{DeduplicationGroup, Endpoint, EndpointState, Outcome, Semantics, Settings};

/// The number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// The number of retries in the budget at the start.
const INITIAL_RETRIES: f64 = 3.0;
/// The highest number of retries in the budget.
const MAX_RETRIES: f64 = 10.0;

/// A token bucket of retries.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates the budget with its initial retries.
    pub fn new() -> Self {
        RetryBudget { tokens: INITIAL_RETRIES }
    }

    /// Adds tokens for one request that arrived; a retry takes one token.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether an attempt with this outcome may be retried. The budget must have a token, also if
    /// [`RetryBudget::spend`] takes none after this outcome. `time_left` and `typical_latency` are in
    /// microseconds.
    pub fn allows(&self, outcome: Outcome, time_left: f64, typical_latency: f64) -> bool {
        time_left > typical_latency / 2.0 && outcome != Outcome::Timeout && self.tokens >= 1.0
    }

    /// Takes a token for a retry after an attempt with this outcome. After an attempt that never connected,
    /// no token is taken.
    pub fn spend(&mut self, outcome: Outcome) {
        if outcome != Outcome::ConnectFailed {
            self.tokens -= 1.0;
        }
    }
}

/// The rules on further attempts that do not depend on the budget.
pub(crate) struct RetryPolicy {
    max_attempts: usize,
    hedging_allowed: bool,
    semantics: Vec<Semantics>,
}

impl RetryPolicy {
    /// Creates the policy from the settings.
    pub fn new(settings: &Settings) -> Self {
        RetryPolicy {
            max_attempts: settings.max_attempts.max(1),
            hedging_allowed: settings.hedging_allowed,
            semantics: settings.classes.iter().map(|class| class.semantics).collect(),
        }
    }

    /// Whether an attempt of this request may start at this endpoint now.
    pub fn may_start_attempt(
        &self,
        now: Micros,
        request: &PendingRequest,
        endpoints: &EndpointTable,
        endpoint: EndpointIndex,
    ) -> bool {
        let entry = &endpoints[endpoint].entry;
        is_eligible(entry, request)
            && !request.streaming
            && !request.answered
            && now < request.deadline
            && request.attempts.len() < self.max_attempts.min(request.max_attempts)
            && (self.hedging_allowed || !request.has_attempt_in_flight())
            && self.may_run_again(request, endpoints, entry)
            && self.write_before(request).is_none_or(|write_before| now < write_before)
    }

    /// The time from which on nothing of a further attempt may be written: the endpoints that may have
    /// executed the request discard repeats only for a while. `None` if there is no such limit.
    pub fn write_before(&self, request: &PendingRequest) -> Option<Micros> {
        let Semantics::Deduplicated { window, .. } = self.semantics(request) else { return None };
        let may_have_run = request.attempts.iter().filter(|attempt| attempt.may_have_run());
        may_have_run.map(|attempt| attempt.sent_at + window).min()
    }

    /// Whether a rejection of this request may guarantee that a retry does no harm.
    pub fn may_reject(&self, request: &PendingRequest) -> bool {
        let may_have_run = request.attempts.iter().any(Attempt::may_have_run);
        match self.semantics(request) {
            Semantics::Idempotent => true,
            Semantics::AtMostOnce => !may_have_run,
            Semantics::Deduplicated { group, .. } => !may_have_run || group == DeduplicationGroup::All,
        }
    }

    /// Whether the semantics of the class and the attempts so far allow another one at this endpoint, if it is
    /// written before [`RetryPolicy::write_before`].
    fn may_run_again(&self, request: &PendingRequest, endpoints: &EndpointTable, entry: &Endpoint) -> bool {
        let mut may_have_run = request.attempts.iter().filter(|attempt| attempt.may_have_run());
        match self.semantics(request) {
            Semantics::Idempotent => true,
            Semantics::AtMostOnce => may_have_run.next().is_none(),
            Semantics::Deduplicated { group, .. } => may_have_run.all(|attempt| {
                let earlier = &endpoints[attempt.endpoint].entry;
                share_deduplication(group, earlier, entry)
            }),
        }
    }

    /// The semantics that hold for this request: without a key, no endpoint recognizes a repeat.
    fn semantics(&self, request: &PendingRequest) -> Semantics {
        match self.semantics[request.class.0] {
            Semantics::Deduplicated { .. } if request.lacks_key => Semantics::AtMostOnce,
            semantics => semantics,
        }
    }
}

fn is_eligible(entry: &Endpoint, request: &PendingRequest) -> bool {
    entry.state == EndpointState::Ready
        && request.endpoint_filter.as_ref().is_none_or(|filter| filter.matches(entry))
}

/// Whether `second` discards repeats of a request that was executed on `first`.
fn share_deduplication(group: DeduplicationGroup, first: &Endpoint, second: &Endpoint) -> bool {
    match group {
        DeduplicationGroup::All => true,
        DeduplicationGroup::Zone => first.zone == second.zone,
        DeduplicationGroup::Cell => first.cell.is_some() && first.cell == second.cell,
    }
}

#[cfg(test)]
mod tests;
