use super::{PendingRequest, PendingRequests};
use crate::endpoint_table::EndpointTable;
use crate::index::EndpointIndex;
use crate::time::ObservationWindow;
use crate::{Action, Class, Endpoint, NewRequest, Outcome, RequestId};

const WINDOW: ObservationWindow = ObservationWindow { time_constant: 1e6, started_at: 0 };
const ENDPOINT: EndpointIndex = EndpointIndex(0);
const ID: RequestId = RequestId(1);

fn endpoints() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.update(0, &Endpoint::default(), 1);
    table
}

/// One request with one attempt in flight.
fn pending(table: &mut EndpointTable, body_pending: i64) -> PendingRequests {
    let class = Class { latency_objective: 1_000, ..Class::default() };
    let new = NewRequest { id: ID, time_left: 5_000, body_pending, ..NewRequest::default() };
    let mut requests = PendingRequests::default();
    requests.insert(ID, PendingRequest::new(0, &new, &class));
    let deadline = requests.start_attempt(0, ID, ENDPOINT, table, WINDOW);
    assert_eq!(
        deadline,
        Some(body_pending + 1_000),
        "a late answer has no value, so the objective is the deadline"
    );
    requests
}

/// Guards the counts in flight: a slow upload must not count as work of the endpoint, and a repeated event
/// must not count an attempt twice.
#[test]
fn received_body_puts_attempt_in_flight_once() {
    let mut table = endpoints();
    let mut requests = pending(&mut table, 200);
    assert_eq!(requests.in_flight(), 0);
    requests.on_body_received(100, ID, &mut table, WINDOW);
    requests.on_body_received(100, ID, &mut table, WINDOW);
    assert_eq!([requests.in_flight(), table[ENDPOINT].in_flight], [1, 1]);
}

/// Guards the counts in flight against a second end of the same attempt.
#[test]
fn second_end_of_an_attempt_has_no_effect() {
    let mut table = endpoints();
    let mut requests = pending(&mut table, 0);
    let ended = requests.end_attempt(300, ID, 0, Outcome::Error, &mut table, WINDOW).expect("in flight");
    assert!((ended.took - 300.0).abs() < 1e-9);
    assert!(requests.end_attempt(300, ID, 0, Outcome::Error, &mut table, WINDOW).is_none());
    assert_eq!([requests.in_flight(), table[ENDPOINT].in_flight], [0, 0]);
}

/// Guards against losing a request whose attempts still run: their ends would leave the counts in flight too
/// high. A finished request that is never removed would use memory without bound.
#[test]
fn finished_request_is_removed_when_its_attempts_have_ended() {
    let mut table = endpoints();
    let mut requests = pending(&mut table, 0);
    let mut actions = Vec::new();
    requests.finish(ID, true, &mut actions);
    assert_eq!(actions, [Action::Cancel { request: ID, attempt: 0 }]);
    requests.finish(ID, true, &mut actions);
    assert_eq!(actions.len(), 1, "an attempt is cancelled once");
    assert!(requests.contains(ID));
    requests.end_attempt(10, ID, 0, Outcome::Cancelled, &mut table, WINDOW);
    requests.finish(ID, true, &mut actions);
    assert!(!requests.contains(ID));
}
