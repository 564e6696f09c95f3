//! The connections of clients during a shutdown.

use crate::{Micros, MILLISECOND};

/// A client is expected to send its first request within this time of connecting.
const FIRST_REQUEST_TIMEOUT: Micros = 250 * MILLISECOND;

/// What is known of a client's connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// A request on it has no response yet.
    pub has_open_request: bool,
    /// It has had a request.
    pub has_had_request: bool,
    /// A part of its next request was received.
    pub has_partial_request: bool,
    /// The time of its start or its last response.
    pub last_used_at: Micros,
}

impl ConnectionState {
    /// Whether it was opened just now, so that its first request is on its way.
    #[must_use]
    pub fn is_new(&self, now: Micros) -> bool {
        !self.has_had_request && now < self.last_used_at + FIRST_REQUEST_TIMEOUT
    }
}

/// What to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It stays open.
    Keep,
    /// It is closed with the response to the request that is on it or on its way.
    CloseAfterResponse,
    /// It is closed.
    Close,
}
