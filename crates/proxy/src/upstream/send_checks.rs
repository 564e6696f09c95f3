//! The checks whether an attempt may continue: before anything is written, and over HTTP also before
//! connecting. JSON-RPC has no check before connecting.

use std::time::Duration;

use decide::EndpointId;
use tokio::time::Instant;

use super::attempt_error::NotSentReason;
use super::{AttemptRequest, UpstreamPool, DRAIN_MARGIN};

/// Checks whether a connection may be established for the attempt, because connections cost the endpoint
/// work.
pub fn check_before_connect(pool: &UpstreamPool, request: &AttemptRequest) -> Result<(), NotSentReason> {
    if pool.list_expiry.is_expired() {
        return Err(NotSentReason::ListExpired);
    }
    if request.disconnect_probe.is_disconnected() {
        return Err(NotSentReason::ClientDisconnected);
    }
    Ok(())
}

/// Checks whether the attempt may be written, and returns the time until its deadline. Repeats the checks
/// made before connecting, because connecting may have taken long.
pub fn check_before_write(pool: &UpstreamPool, request: &AttemptRequest) -> Result<Duration, NotSentReason> {
    let time_left = request.deadline.saturating_duration_since(Instant::now());
    if time_left.is_zero() {
        return Err(NotSentReason::DeadlineExceeded);
    }
    if request.disconnect_probe.is_disconnected() {
        return Err(NotSentReason::ClientDisconnected);
    }
    if pool.list_expiry.is_expired() {
        return Err(NotSentReason::ListExpired);
    }
    if is_past_send_cutoff(pool, request.endpoint) {
        return Err(NotSentReason::EndpointDrained);
    }
    Ok(time_left)
}

/// Whether the endpoint has been forgotten, or has less than [`DRAIN_MARGIN`] left of its drain grace.
fn is_past_send_cutoff(pool: &UpstreamPool, endpoint: EndpointId) -> bool {
    let endpoints = pool.endpoints.borrow();
    let Some(endpoint) = endpoints.get(endpoint) else { return true };
    let grace = pool.drain_grace();
    endpoint.draining_since.is_some_and(|since| since.elapsed() + DRAIN_MARGIN >= grace)
}
