//! Idempotency keys: which keyed requests are in progress, and the responses of those that were served, so that a key is
//! executed once whichever protocol its requests come by.
//!
//! The rule: the first request with a key reserves it. While it is in progress, others with that key are rejected; once
//! it was served, they get its response for the retention period, or are told that it is no longer stored. A request
//! that ends in any other way releases its key.
//!
//! Bounded by [`TableLimits`], and never at the cost of the rule: a response that finds no room is evicted while its key
//! stays known, and a new key that finds no room is rejected.
//!
//! Pure: the caller passes the time, nothing is read or sent.
#![warn(missing_docs)]

mod table;

pub use table::{IdempotencyTable, ReservationId, ReserveOutcome, StoredResponse, TableLimits, TableUsage};

/// A point in time or a span, in microseconds.
pub type Micros = i64;
