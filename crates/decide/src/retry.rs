//! Whether another attempt may start, and whether a rejection may promise that nothing ran.
//!
//! Rules:
//! - the retry budget earns a fixed part of a retry with each request, so retries cannot feed an overload;
//!   a retry after an attempt that never connected does not spend the budget, as that cost no endpoint
//!   anything, but needs a token in it;
//! - no retry after a timeout, nor with less time left than half of what the class typically takes;
//! - what has run, or may have, is repeated only as far as the class's [`Semantics`] allow.
//!
//! Bounds: `max_attempts` of the settings and of the request; one attempt at a time, as nothing starts a second one
//! (`hedging_allowed` only lets it pass).

use crate::attempts::{Attempt, PendingRequest};
use crate::endpoint_table::EndpointTable;
use crate::index::{ClassIndex, EndpointIndex};
use crate::time::Micros;
use crate::{DeduplicationGroup, Endpoint, EndpointState, Outcome, Semantics, Settings};

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Retries in the budget at the start.
const INITIAL_RETRIES: f64 = 3.0;
/// The most retries that the budget holds.
const MAX_RETRIES: f64 = 10.0;

/// A token bucket of retries.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// The budget at the start.
    pub fn new() -> Self {
        RetryBudget { tokens: INITIAL_RETRIES }
    }

    /// Adds what one request earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// May an attempt that ended so be retried? Needs a token whatever the outcome. `time_left` and `typical_latency` are in microseconds.
    pub fn allows(&self, outcome: Outcome, time_left: f64, typical_latency: f64) -> bool {
        time_left > typical_latency / 2.0 && outcome != Outcome::Timeout && self.tokens >= 1.0
    }

    /// Pays for a retry after an attempt that ended so; one after a failed connection costs nothing.
    pub fn spend(&mut self, outcome: Outcome) {
        if outcome != Outcome::ConnectFailed {
            self.tokens -= 1.0;
        }
    }
}

/// What may run again.
pub(crate) struct RetryPolicy {
    max_attempts: usize,
    hedging_allowed: bool,
    semantics: Vec<Semantics>,
}

impl RetryPolicy {
    /// The policy that the settings ask for.
    pub fn new(settings: &Settings) -> Self {
        RetryPolicy {
            max_attempts: settings.max_attempts.max(1),
            hedging_allowed: settings.hedging_allowed,
            semantics: settings.classes.iter().map(|class| class.semantics).collect(),
        }
    }

    /// May an attempt of this request start at this endpoint now?
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
            && self.may_run_again(now, request, endpoints, entry)
    }

    /// May a rejection of this request promise that a retry does no harm?
    pub fn may_reject(&self, request: &PendingRequest) -> bool {
        let may_have_run = request.attempts.iter().any(Attempt::may_have_run);
        match self.semantics(request.class) {
            Semantics::Idempotent => true,
            Semantics::AtMostOnce => !may_have_run,
            Semantics::Deduplicated { group, .. } => !may_have_run || group == DeduplicationGroup::All,
        }
    }

    /// Do the attempts so far allow another one at this endpoint?
    fn may_run_again(
        &self,
        now: Micros,
        request: &PendingRequest,
        endpoints: &EndpointTable,
        entry: &Endpoint,
    ) -> bool {
        let mut may_have_run = request.attempts.iter().filter(|attempt| attempt.may_have_run());
        match self.semantics(request.class) {
            Semantics::Idempotent => true,
            Semantics::AtMostOnce => may_have_run.next().is_none(),
            Semantics::Deduplicated { group, window } => may_have_run.all(|attempt| {
                let earlier = &endpoints[attempt.endpoint].entry;
                share_deduplication(group, earlier, entry) && now < attempt.sent_at + window
            }),
        }
    }

    fn semantics(&self, class: ClassIndex) -> Semantics {
        self.semantics[class.0]
    }
}

fn is_eligible(entry: &Endpoint, request: &PendingRequest) -> bool {
    entry.state == EndpointState::Ready
        && request.endpoint_filter.as_ref().is_none_or(|filter| filter.matches(entry))
}

/// Does `second` discard repeats of what ran on `first`?
fn share_deduplication(group: DeduplicationGroup, first: &Endpoint, second: &Endpoint) -> bool {
    match group {
        DeduplicationGroup::All => true,
        DeduplicationGroup::Zone => first.zone == second.zone,
        DeduplicationGroup::Cell => first.cell.is_some() && first.cell == second.cell,
    }
}

#[cfg(test)]
mod tests;
