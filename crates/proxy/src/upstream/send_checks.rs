//! The checks whether an attempt may continue: before anything is written, and over HTTP also before
//! connecting. JSON-RPC has no check before connecting.

use std::time::Duration;

use decide::EndpointId;
use tokio::time::Instant;

use super::attempt_error::NotSentReason;
use super::{AttemptRequest, UpstreamPool, MAX_WRITE_DELAY};

/// Checks whether a connection may be established for the attempt, because connections cost the endpoint
/// work.
pub fn check_before_connect(pool: &UpstreamPool, request: &AttemptRequest) -> Result<(), NotSentReason> {
    may_connect(pool, request).inspect_err(|reason| pool.unsent_attempts.count(reason.label()))
}

fn may_connect(pool: &UpstreamPool, request: &AttemptRequest) -> Result<(), NotSentReason> {
    if pool.list_expiry.is_expired() {
        return Err(NotSentReason::ListExpired);
    }
    if request.disconnect_probe.is_disconnected() {
        return Err(NotSentReason::ClientDisconnected);
    }
    Ok(())
}

/// Checks whether the attempt may be written now, and returns the time until its deadline. To be called right
/// before the first byte is written: whatever happens between choosing the endpoint and the write may take
/// long. All reasons why an attempt may no longer be written are checked here, for both protocols.
pub fn check_before_write(pool: &UpstreamPool, request: &AttemptRequest) -> Result<Duration, NotSentReason> {
    may_write(pool, request).inspect_err(|reason| pool.unsent_attempts.count(reason.label()))
}

fn may_write(pool: &UpstreamPool, request: &AttemptRequest) -> Result<Duration, NotSentReason> {
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
    if is_past_repeat_cutoff(request) {
        return Err(NotSentReason::DeduplicationExpired);
    }
    Ok(time_left)
}

/// Whether the request may have been executed and has less than [`MAX_WRITE_DELAY`] left of the time in which
/// endpoints discard its repeat.
fn is_past_repeat_cutoff(request: &AttemptRequest) -> bool {
    request.write_before.is_some_and(|write_before| Instant::now() + MAX_WRITE_DELAY >= write_before)
}

/// Whether the endpoint has been forgotten, has less than [`MAX_WRITE_DELAY`] left of its drain grace, or is
/// draining while another endpoint is listed at its address: what is sent there would reach another process.
fn is_past_send_cutoff(pool: &UpstreamPool, endpoint: EndpointId) -> bool {
    let endpoints = pool.endpoints.borrow();
    let Some(endpoint) = endpoints.get(endpoint) else { return true };
    let grace = pool.drain_grace();
    let is_grace_over = |since: Instant| since.elapsed() + MAX_WRITE_DELAY >= grace;
    endpoint.draining_since.is_some_and(|since| is_grace_over(since) || endpoints.is_replaced(endpoint))
}
