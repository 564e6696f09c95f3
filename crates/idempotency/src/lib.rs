//! Idempotency keys: a table of the requests in progress and of the stored responses by key, so that a key's
//! request is not executed again while it is in progress or after it was served. The table is independent of
//! the protocol of the requests.
//!
//! The first request with a key reserves the key. While that request is in progress, other requests with the
//! key are rejected. After it was served, other requests get its response for the retention period, or a
//! result that indicates that the response is no longer stored. A request that ends in any other way releases
//! its key, unless it may have been executed and nothing else prevents that its repeat is executed.
//!
//! The size of the table is bounded by [`TableLimits`]. The limits do not cause a second execution: if the
//! responses exceed their limit, some are evicted but their keys are retained, and if the table is full, new
//! keys are rejected.
//!
//! The crate does no I/O and reads no clock: times are passed in.
#![warn(missing_docs)]

mod table;

pub use table::{IdempotencyTable, ReservationId, ReserveOutcome, StoredResponse, TableLimits, TableUsage};

/// A time or a duration, in microseconds.
pub type Micros = i64;
