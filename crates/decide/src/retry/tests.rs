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

/// May a request of such a class that had an attempt at endpoint 0, in flight since 0, go to `endpoint` at `now`?
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

#[test]
fn semantics_decide_whether_another_attempt_may_start() {
    assert!(may_retry(Semantics::Idempotent, 1, 10));
    assert!(!may_retry(Semantics::AtMostOnce, 1, 10));
    let within = |group| Semantics::Deduplicated { group, window: WINDOW };
    assert!(may_retry(within(DeduplicationGroup::All), 1, 10));
    assert!(may_retry(within(DeduplicationGroup::Zone), 0, 10));
    assert!(!may_retry(within(DeduplicationGroup::Zone), 1, 10));
    assert!(!may_retry(within(DeduplicationGroup::Cell), 0, 10), "without a cell nothing is shared");
    assert!(!may_retry(within(DeduplicationGroup::All), 1, WINDOW), "after the window");
}

#[test]
fn no_attempt_starts_after_the_deadline() {
    assert!(may_retry(Semantics::Idempotent, 1, 9_999));
    assert!(!may_retry(Semantics::Idempotent, 1, 10_000));
}

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

#[test]
fn timeouts_and_requests_with_little_time_left_are_not_retried() {
    let budget = RetryBudget::new();
    assert!(!budget.allows(Outcome::Timeout, 100.0, 100.0));
    assert!(!budget.allows(Outcome::Error, 50.0, 100.0));
}
