//! Idempotency keys: the keyed requests in progress, and the responses of those that were served, so that a
//! key is executed once, whatever the protocol of its requests.
//!
//! The first request with a key reserves the key. While that request is in progress, other requests with the
//! key are rejected. After it was served, other requests get its response for the retention period, or a
//! result that indicates that the response is no longer stored. A request that ends in any other way releases
//! its key.
//!
//! The size of the table is bounded by [`TableLimits`], but no key is executed twice because of it: a
//! response that exceeds the limit is evicted while its key is retained, and a new key that exceeds the limit
//! is rejected.
//!
//! The crate does no I/O and reads no clock: times are passed in.
#![warn(missing_docs)]

mod table;

pub use table::{IdempotencyTable, ReservationId, ReserveOutcome, StoredResponse, TableLimits, TableUsage};

/// A time or a duration, in microseconds.
pub type Micros = i64;
