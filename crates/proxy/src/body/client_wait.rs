//! When the client of a streamed request begins to wait for its response.
//!
//! The client's timeout counts from when it has written the last byte of its request. While the endpoint is the
//! slower side, that byte may lie unseen in the buffers of the two kernels: what this process has read or its
//! kernel has received is not what the client has written. The wait therefore counts from the last time that is
//! known to precede the last byte, whatever the endpoint takes from then on. Does no I/O and reads no clock.

use std::collections::VecDeque;

use tokio::time::Instant;

/// The most bytes that the kernel of a client may hold for sending: the default limit of Linux. An endpoint that
/// does not take as many in a client's time cannot answer in it, because they are ahead of the last byte.
pub(super) const MAX_CLIENT_BUFFER_BYTES: u64 = 4 << 20;
/// The least number of bytes between two checkpoints, which bounds their number.
const CHECKPOINT_BYTES: u64 = 64 << 10;

/// How much of a request is on this machine, in bytes of the message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// The bytes that were read.
    pub read: u64,
    /// The bytes that have arrived and were not read.
    pub unread: u64,
    /// The length of the message; `None` if only its end tells it.
    pub total: Option<u64>,
}

impl Arrival {
    /// The bytes that have arrived, read or not.
    fn arrived(self) -> u64 {
        self.read + self.unread
    }

    /// Whether the last byte is known to have arrived.
    pub fn is_complete(self) -> bool {
        self.total.is_some_and(|total| self.arrived() >= total)
    }

    /// Whether the client cannot have written the last byte yet, whatever its kernel holds.
    pub fn lacks_more_than_client_buffer(self) -> bool {
        self.total.is_some_and(|total| total > self.arrived() + MAX_CLIENT_BUFFER_BYTES)
    }
}

/// The state of the transfer of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferState {
    /// The last byte is on this machine.
    Arrived,
    /// Everything that has arrived was read; the client has to send more.
    AwaitingClient,
    /// A part of the body waits to be taken by the endpoint.
    AwaitingEndpoint,
}

/// How many bytes had arrived at a time.
#[derive(Clone, Copy, Debug)]
struct Checkpoint {
    at: Instant,
    arrived: u64,
}

/// Determines from periodic observations since when a client may wait for its response.
#[derive(Clone, Debug)]
pub struct ClientWait {
    /// A time at which the client was certainly still sending: the last one that the observations prove.
    sending_until: Instant,
    /// In the order of time; the first one is the last that a full buffer of the client cannot explain.
    checkpoints: VecDeque<Checkpoint>,
}

impl ClientWait {
    /// Starts to observe a transfer whose last byte has not arrived at `now`.
    pub fn new(now: Instant) -> ClientWait {
        ClientWait { sending_until: now, checkpoints: VecDeque::new() }
    }

    /// Records that everything that has arrived was read and more is missing.
    pub fn on_caught_up(&mut self, now: Instant) {
        self.sending_until = now;
    }

    /// Records an observation. Returns since when the client may wait; `None` if it is still sending.
    pub fn observe(&mut self, now: Instant, state: TransferState, arrival: Arrival) -> Option<Instant> {
        if state == TransferState::AwaitingClient {
            self.on_caught_up(now);
        }
        self.record_arrival(now, arrival.arrived());
        (state != TransferState::AwaitingClient).then_some(self.sending_until)
    }

    /// What arrives now beyond a full buffer of the client was not written at an earlier checkpoint.
    fn record_arrival(&mut self, now: Instant, arrived: u64) {
        if self.checkpoints.back().is_none_or(|last| arrived >= last.arrived + CHECKPOINT_BYTES) {
            self.checkpoints.push_back(Checkpoint { at: now, arrived });
        }
        while let Some(first) = self.checkpoints.front() {
            if arrived <= first.arrived + MAX_CLIENT_BUFFER_BYTES {
                break;
            }
            self.sending_until = self.sending_until.max(first.at);
            self.checkpoints.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
