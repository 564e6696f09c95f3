//! Submits an accepted request of any protocol to the balancer of its first pool, and to that of the next
//! pool each time a pool rejects it, until it has its final response.

use std::rc::Rc;
use std::time::Duration;

use decide::{Micros, RequestId};
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

use super::cut_off::{CutOffReason, CutOffStream, RequestId as LoggedId};
use super::request::AcceptedRequest;
use super::ListenerState;
use crate::exchange::{DisconnectProbe, Execution, FinalResponse, UpstreamRequest};
use crate::inbox::DriverHandle;
use crate::router::{RejectionOutcome, NO_RETRY_AFTER};

/// The time reserved within the client's timeout for sending the response.
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// The reserved time is at most the client's timeout divided by this number.
const RESPONSE_TIME_DIVISOR: u32 = 10;
/// A request without a decision fails this long before its client's timeout. Shorter than [`RESPONSE_TIME`],
/// so that the balancer responds first, except for client timeouts under 80 ms.
const BACKSTOP_MARGIN: Duration = Duration::from_millis(8);

/// The time that a request may take.
struct TimeBudget {
    received_at: Instant,
    /// The time available to the balancers, from when the request is complete.
    decision_time: Duration,
    /// When the request fails even if the balancer has not responded.
    backstop: Instant,
}

impl TimeBudget {
    /// Computes the budget of a request. `timeout` counts from when the request is complete, which may take
    /// another `body_pending` microseconds.
    fn new(received_at: Instant, body_pending: Micros, timeout: Duration) -> TimeBudget {
        let body_time = Duration::from_micros(body_pending.max(0) as u64);
        let response_time = RESPONSE_TIME.min(timeout / RESPONSE_TIME_DIVISOR);
        TimeBudget {
            received_at,
            decision_time: timeout.saturating_sub(response_time),
            backstop: received_at + body_time + timeout.saturating_sub(BACKSTOP_MARGIN),
        }
    }

    /// The time left for the balancer of a later pool, in microseconds.
    fn time_left(&self) -> Micros {
        self.decision_time.saturating_sub(self.received_at.elapsed()).as_micros() as Micros
    }
}

/// Submits a request and waits for its final response. `received_at` is when the request arrived. Dropping
/// this future notifies the balancer that the client has disconnected.
pub async fn dispatch(
    listener: &ListenerState,
    request: AcceptedRequest,
    disconnect_probe: &DisconnectProbe,
    received_at: Instant,
) -> FinalResponse {
    let AcceptedRequest {
        mut decision_input,
        message,
        mut pools,
        client_timeout,
        mut reserved_key,
        mut id_claim,
        is_unsafe,
    } = request;
    let attempts = pools.attempt_counter();
    if is_unsafe {
        id_claim.observe_unsafe_attempts(attempts.clone());
    }
    if let Some(key) = &mut reserved_key {
        key.observe_attempts(attempts.clone());
    }
    if listener.drain.is_deadline_passed() {
        return FinalResponse::Rejected { retry_after: NO_RETRY_AFTER, execution: Execution::RuledOut };
    }
    decision_input.downstream_connections = listener.remaining_connections();
    let timeout = listener.drain.request_timeout(received_at, client_timeout);
    let budget = TimeBudget::new(received_at, decision_input.body_pending, timeout);
    decision_input.time_left = budget.decision_time.as_micros() as Micros;
    let response = loop {
        let driver = pools.driver();
        let (id, response) = driver.submit(
            decision_input.clone(),
            Rc::clone(&message),
            disconnect_probe.clone(),
            attempts.clone(),
        );
        let cancellation = CancelOnDrop { driver, id };
        let response = wait_for_response(listener, cancellation, response, &budget, &message).await;
        let FinalResponse::Rejected { execution, .. } = response else { break response };
        match pools.on_rejected(execution) {
            RejectionOutcome::Final => break response,
            // A streamed body cannot be sent again, not even to another pool.
            RejectionOutcome::NextPool if message.body().streaming().is_some() => break response,
            RejectionOutcome::Failed => break FinalResponse::Failed,
            RejectionOutcome::NextPool => {
                decision_input.endpoint_filter = pools.endpoint_filter();
                decision_input.max_attempts = pools.max_attempts();
                decision_input.time_left = budget.time_left();
            }
        }
    };
    if let Some(error) = message.body().streaming().and_then(|body| body.failure()) {
        record_cut_off(listener, CutOffReason::Body(error), &message);
    }
    if let Some(mut key) = reserved_key {
        key.record_response(&response);
    }
    // The id is claimed until the final response is known, and for longer if nobody is there to get it.
    if !disconnect_probe.is_disconnected() {
        id_claim.release();
    }
    response
}

/// Waits for a pool's response to a request that was submitted to it.
async fn wait_for_response(
    listener: &ListenerState,
    _cancellation: CancelOnDrop<'_>,
    response: oneshot::Receiver<FinalResponse>,
    budget: &TimeBudget,
    message: &UpstreamRequest,
) -> FinalResponse {
    let reason = tokio::select! {
        biased;
        response = response => return response.unwrap_or(FinalResponse::Failed),
        () = sleep_until(budget.backstop) => CutOffReason::Undecided,
        () = listener.drain.deadline_passed() => CutOffReason::Shutdown,
    };
    record_cut_off(listener, reason, message);
    FinalResponse::TimedOut
}

/// Records why a request ends without the response of an endpoint.
fn record_cut_off(listener: &ListenerState, reason: CutOffReason, message: &UpstreamRequest) {
    let id = LoggedId::of(message.headers());
    let bytes = message.body().streaming().map_or(0, |body| body.bytes_read());
    listener.frontend.cut_offs.record(CutOffStream::Request, reason, &id, bytes);
}

/// Cancels a request and its attempts when dropped; has no effect after the response.
struct CancelOnDrop<'a> {
    driver: &'a DriverHandle,
    id: RequestId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.driver.client_disconnected(self.id);
    }
}
