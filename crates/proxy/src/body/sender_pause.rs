//! How long the sender of a body may pause.
//!
//! A pause counts from when the reader began to wait for the sender: the time that a slow reader takes is not the
//! sender's. Does no I/O and reads no clock.

use std::time::Duration;

use tokio::time::Instant;

use super::{BodyError, MAX_BODY_WITHIN_DEADLINE_BYTES, STALL_TIMEOUT};

/// The longest pause of an endpoint that is expected to go on. Endpoints pause for up to 2 s.
pub(super) const MAX_ENDPOINT_PAUSE: Duration = Duration::from_millis(2500);
/// The longest pause, after the deadline of the request, in a response of unknown length of which no more than
/// [`MAX_BODY_WITHIN_DEADLINE_BYTES`] have arrived.
pub(super) const MAX_PAUSE_PAST_DEADLINE: Duration = MAX_ENDPOINT_PAUSE;

/// The limit on the pauses of one body.
#[derive(Clone, Copy, Debug)]
pub struct PauseLimit {
    /// The deadline of the request of a response whose length is unknown.
    request_deadline: Option<Instant>,
}

/// The end of a pause that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseExpiry {
    /// When the pause is too long.
    pub at: Instant,
    /// The error of the body from then on.
    pub error: BodyError,
}

impl PauseLimit {
    /// The limit for a body of a known length, and for the body of a request.
    pub const STALL_ONLY: PauseLimit = PauseLimit { request_deadline: None };

    /// The limit for a response of unknown length to a request with this deadline.
    pub fn past_deadline(request_deadline: Instant) -> PauseLimit {
        PauseLimit { request_deadline: Some(request_deadline) }
    }

    /// When a pause that the reader has waited for since `since` is too long, after `bytes_read`.
    pub fn expiry(&self, since: Instant, bytes_read: u64) -> PauseExpiry {
        let stall = PauseExpiry { at: since + STALL_TIMEOUT, error: BodyError::Stalled };
        let deadline = self.request_deadline.filter(|_| bytes_read <= MAX_BODY_WITHIN_DEADLINE_BYTES);
        let Some(deadline) = deadline else { return stall };
        let at = deadline.max(since + MAX_PAUSE_PAST_DEADLINE);
        if at < stall.at {
            PauseExpiry { at, error: BodyError::PausedPastDeadline }
        } else {
            stall
        }
    }
}

#[cfg(test)]
mod tests;
