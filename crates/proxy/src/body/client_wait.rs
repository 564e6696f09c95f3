//! When the client of a streamed request begins to wait for its response.
//!
//! The client's timeout counts from the arrival of the last byte of its request on this machine, whether or
//! not this process has read it. While the endpoint takes nothing, the flow control of the two connections
//! keeps the rest of the body from being read, so the last byte may have been sent without being seen. Such a
//! client waits from the time at which the endpoint last took something. Does no I/O and reads no clock.

use tokio::time::Instant;

/// The state of the transfer of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferState {
    /// The last byte is on this machine.
    Arrived,
    /// Everything that has arrived was passed on; the client has to send more.
    AwaitingClient,
    /// A part of the body is ready to be sent, of which the endpoint has taken nothing since this time.
    AwaitingEndpoint {
        /// When the endpoint last took a part of the body.
        since: Instant,
    },
}

/// Determines from periodic observations since when a client waits for its response.
#[derive(Clone, Copy, Debug)]
pub struct ClientWait {
    observed_at: Instant,
    arrived_at: Option<Instant>,
}

impl ClientWait {
    /// Starts to observe a transfer whose last byte has not arrived at `now`.
    pub fn new(now: Instant) -> ClientWait {
        ClientWait { observed_at: now, arrived_at: None }
    }

    /// Records an observation. Returns since when the client waits; `None` if it is still sending.
    pub fn observe(&mut self, now: Instant, state: TransferState) -> Option<Instant> {
        // The last byte may have arrived right after the previous observation.
        let earliest_arrival = self.observed_at;
        self.observed_at = now;
        if state == TransferState::Arrived {
            self.arrived_at.get_or_insert(earliest_arrival);
        }
        match state {
            TransferState::AwaitingEndpoint { since } => self.arrived_at.or(Some(since)),
            TransferState::Arrived | TransferState::AwaitingClient => self.arrived_at,
        }
    }
}

#[cfg(test)]
mod tests;
