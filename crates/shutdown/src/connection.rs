//! The state of a client's connection, and the action for it during a shutdown.

use crate::{Micros, MILLISECOND};

/// The time after connecting within which a client is expected to send its first request.
const FIRST_REQUEST_TIMEOUT: Micros = 250 * MILLISECOND;

/// The state of a client's connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// Whether a request on the connection has no response yet.
    pub has_open_request: bool,
    /// Whether a request was received on the connection.
    pub has_had_request: bool,
    /// Whether a part of the next request was received.
    pub has_partial_request: bool,
    /// The time of the last response, or of the start of the connection before the first response.
    pub last_used_at: Micros,
}

impl ConnectionState {
    /// Returns whether the connection was opened so recently that the first request is probably on its way.
    #[must_use]
    pub fn is_new(&self, now: Micros) -> bool {
        !self.has_had_request && now < self.last_used_at + FIRST_REQUEST_TIMEOUT
    }
}

/// The action for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// The connection stays open.
    Keep,
    /// The connection is closed after the response to the present request or to the request on its way.
    CloseAfterResponse,
    /// The connection is closed at once.
    Close,
}
