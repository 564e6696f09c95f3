use super::{RetryBudget, RetryPolicy};
use crate::attempts::{Attempt, PendingRequest};
use crate::endpoint_table::EndpointTable;
use crate::index::EndpointIndex;
use crate::{Class, DeduplicationGroup, Endpoint, EndpointId, NewRequest, Outcome, Semantics, Settings};

const WINDOW: i64 = 1_000;

/// Two endpoints, in zones 0 and 1.
fn endpoints() -> EndpointTable {
    let mut table = EndpointTable::default();
    for id in 0..2 {
        let endpoint = Endpoint { id: EndpointId(id), zone: id as usize, ..Endpoint::default() };
        table.update(0, &endpoint, 1);
    }
    table
}

/// Whether a request with these semantics, with an attempt at endpoint 0 in flight since time 0, may have
/// another attempt at `endpoint` at `now`.
fn may_retry(semantics: Semantics, endpoint: usize, now: i64) -> bool {
    let class = Class { semantics, latency_objective: 10_000, ..Class::default() };
    let settings = Settings {
        classes: vec![class.clone()],
        max_attempts: 2,
        hedging_allowed: true,
        ..Settings::default()
    };
    let new = NewRequest { time_left: 10_000, ..NewRequest::default() };
    let mut request = PendingRequest::new(0, &new, &class);
    request.attempts.push(Attempt::new(EndpointIndex(0), 0));
    RetryPolicy::new(&settings).may_start_attempt(now, &request, &endpoints(), EndpointIndex(endpoint))
}

/// Guards against a repeat that executes a request twice: on an endpoint that does not discard repeats of the
/// first one, or after the deduplication window.
#[test]
fn semantics_decide_whether_another_attempt_may_start() {
    assert!(may_retry(Semantics::Idempotent, 1, 10));
    assert!(!may_retry(Semantics::AtMostOnce, 1, 10));
    let within = |group| Semantics::Deduplicated { group, window: WINDOW };
    assert!(may_retry(within(DeduplicationGroup::All), 1, 10));
    assert!(may_retry(within(DeduplicationGroup::Zone), 0, 10));
    assert!(!may_retry(within(DeduplicationGroup::Zone), 1, 10));
    assert!(
        !may_retry(within(DeduplicationGroup::Cell), 0, 10),
        "endpoints without a cell share no deduplication"
    );
    assert!(!may_retry(within(DeduplicationGroup::All), 1, WINDOW), "the deduplication window is over");
}

/// Guards the endpoints against attempts whose answer nobody waits for.
#[test]
fn no_attempt_starts_from_the_deadline_on() {
    assert!(may_retry(Semantics::Idempotent, 1, 9_999));
    assert!(!may_retry(Semantics::Idempotent, 1, 10_000));
}

/// Guards the budget: connect failures of an endpoint that is down must not use up the retries of other
/// failures.
#[test]
fn connect_failures_do_not_spend_the_budget() {
    let mut budget = RetryBudget::new();
    for _ in 0..3 {
        assert!(budget.allows(Outcome::ConnectFailed, 100.0, 100.0));
        budget.spend(Outcome::ConnectFailed);
    }
    for _ in 0..3 {
        assert!(budget.allows(Outcome::Error, 100.0, 100.0));
        budget.spend(Outcome::Error);
    }
    assert!(!budget.allows(Outcome::Error, 100.0, 100.0));
}

/// Guards the endpoints against retries that are likely to end late as well.
#[test]
fn timeouts_and_requests_with_little_time_left_are_not_retried() {
    let budget = RetryBudget::new();
    assert!(!budget.allows(Outcome::Timeout, 100.0, 100.0));
    assert!(!budget.allows(Outcome::Error, 50.0, 100.0));
}
