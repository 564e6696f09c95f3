//! The memory that clients can make the process use: one account, derived from the process's memory limit.
//!
//! The limit is divided between a fixed part, the connections, and the requests in flight. The number of
//! connections is bounded by the memory that idle ones use ([`MemoryPlan::max_sockets`]). Each request
//! reserves what it may use before anything of it is gathered ([`MemoryBudget::reserve`]); a request for which
//! there is no room is rejected. A reservation is released when what it was made for has been written or
//! dropped.
//!
//! All figures are resident memory, which is more than the sizes of the buffers: allocations are rounded up and
//! freed memory stays with the process.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use prometheus_client::metrics::counter::Counter;

use crate::router::{Rejection, NO_RETRY_AFTER};

/// The value of `x-refusal-cause` if a request is rejected for lack of memory.
pub const MEMORY_CAUSE: &str = "memory";
/// The fraction of the process's limit that is used; the rest is for what this account does not see.
const USABLE_FRACTION: f64 = 0.8;
/// The memory of a process without connections, in bytes.
const FIXED_BYTES: usize = 7 << 20;
/// The fraction of the memory for clients that connections may use.
const CONNECTION_FRACTION: f64 = 0.6;
/// The memory of an idle connection that has carried a request, in bytes: the read and the write buffer of the
/// HTTP implementation and the state of its task.
const CONNECTION_BYTES: usize = 28 << 10;
/// The least number of sockets that the memory limit leaves, however low it is.
const MIN_SOCKETS: usize = 64;
/// The least memory for requests in flight, however low the limit is: a few of the largest ones.
const MIN_REQUEST_BYTES: usize = 1 << 20;

/// The memory for requests in flight of a process whose configuration sets no memory limit, in bytes.
const DEFAULT_REQUEST_BYTES: usize = 256 << 20;

/// The memory of a request in flight without its body, in bytes: its head, as read and as sent, the state of
/// its tasks, and a response.
pub const REQUEST_BYTES: usize = 32 << 10;
/// The fraction of the memory for requests that may be used for what can be done without, so that it leaves room
/// for other requests.
const OPTIONAL_FRACTION: f64 = 0.5;

/// The memory of a body while it is read, beside its length, in bytes.
pub const BODY_OVERHEAD_BYTES: usize = 16 << 10;
/// The memory of a streamed body, in bytes: the buffers of the two connections, and what is on its way between
/// them.
pub const STREAM_BYTES: usize = 96 << 10;

/// How the memory limit of a process is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The maximum number of connections to clients and endpoints together.
    pub max_sockets: usize,
    /// The memory for requests in flight, in bytes.
    pub request_bytes: usize,
}

impl MemoryPlan {
    /// The plan of a process without a memory limit.
    pub const WITHOUT_LIMIT: MemoryPlan =
        MemoryPlan { max_sockets: usize::MAX, request_bytes: DEFAULT_REQUEST_BYTES };

    /// Divides a limit in bytes for a process that may use `sockets` connections.
    pub fn new(limit_bytes: usize, sockets: usize) -> MemoryPlan {
        let for_clients = ((limit_bytes as f64 * USABLE_FRACTION) as usize).saturating_sub(FIXED_BYTES);
        let for_connections = (for_clients as f64 * CONNECTION_FRACTION) as usize;
        let max_sockets = (for_connections / CONNECTION_BYTES).max(MIN_SOCKETS);
        let connections = sockets.min(max_sockets) * CONNECTION_BYTES;
        let request_bytes = for_clients.saturating_sub(connections).max(MIN_REQUEST_BYTES);
        MemoryPlan { max_sockets, request_bytes }
    }
}

/// The memory for the requests in flight.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: AtomicUsize,
    refusals: Counter,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes that counts what it refuses.
    pub fn new(limit: usize, refusals: Counter) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { limit, used: AtomicUsize::new(0), refusals })
    }

    /// Creates the budget of a process whose configuration sets no memory limit.
    pub fn without_limit() -> Arc<MemoryBudget> {
        MemoryBudget::new(DEFAULT_REQUEST_BYTES, Counter::default())
    }

    /// Reserves memory until the reservation is dropped.
    ///
    /// # Errors
    /// Returns [`MemoryExhausted`] if there is not enough left.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Result<MemoryReservation, MemoryExhausted> {
        let mut reservation = MemoryReservation { budget: Arc::clone(self), bytes: 0 };
        reservation.grow(bytes)?;
        Ok(reservation)
    }

    /// The number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Uses memory if the sum then is at most `limit`.
    fn try_use(&self, bytes: usize, limit: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// There is no memory left for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryExhausted;

impl From<MemoryExhausted> for Rejection {
    fn from(_: MemoryExhausted) -> Self {
        Rejection {
            status: StatusCode::SERVICE_UNAVAILABLE,
            cause: Some(MEMORY_CAUSE),
            retry_after: NO_RETRY_AFTER,
        }
    }
}

/// Reserved memory, which is released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves more memory.
    ///
    /// # Errors
    /// Returns [`MemoryExhausted`] and counts a refusal if there is not enough left.
    pub fn grow(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        if !self.budget.try_use(bytes, self.budget.limit) {
            self.budget.refusals.inc();
            return Err(MemoryExhausted);
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Makes an empty reservation from the same budget.
    pub fn another(&self) -> MemoryReservation {
        MemoryReservation { budget: Arc::clone(&self.budget), bytes: 0 }
    }

    /// Raises the reservation to `bytes` for something that can be done without, which may use only
    /// [`OPTIONAL_FRACTION`] of the budget. Returns whether it is that large now.
    pub fn raise_optionally(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let limit = (self.budget.limit as f64 * OPTIONAL_FRACTION) as usize;
        let is_reserved = missing == 0 || self.budget.try_use(missing, limit);
        if is_reserved {
            self.bytes += missing;
        }
        is_reserved
    }

    /// Releases what exceeds `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.budget.used.fetch_sub(released, Ordering::Relaxed);
    }

    /// Ties the reservation to a buffer: it is released when the last reference to the buffer is dropped.
    pub fn tie_to(self, buffer: Bytes) -> Bytes {
        if buffer.is_empty() {
            return buffer;
        }
        Bytes::from_owner(ReservedBuffer { buffer, _reservation: self })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A buffer with the reservation of its memory.
struct ReservedBuffer {
    buffer: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

#[cfg(test)]
mod tests;
