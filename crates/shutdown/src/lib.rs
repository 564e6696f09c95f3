//! Graceful shutdown of a process: until when connections and requests are accepted, how long a request may
//! still take, when connections are closed, and when the process may exit.
//!
//! The crate does no I/O and reads no clock; times are microseconds on a monotonic clock. One [`Shutdown`]
//! belongs to one listener. The same state machine covers tiers of one or two proxies, larger tiers, and a
//! proxy that shares its listening socket with its successor.
//!
//! Shortly before the kill, streamed responses whose endpoint has fallen silent are cut off, so that their clients
//! see it; one that an endpoint still sends goes on until the kill.
//!
//! A process also exits if clients keep their requests open: a bound after the longest client timeout.
//!
//! ```text
//! begin  accepts and serves        closes idle connections     sends the last responses
//!   |------------------------------|---------------------------|------------------------------|
//!   0                              accepts_until               responses_due_at               kill
//! ```
#![warn(missing_docs)]

mod connection;
mod policy;
mod response;
mod state;

pub use connection::{ConnectionAction, ConnectionState};
pub use policy::ShutdownPolicy;
pub use response::StreamedResponse;
pub use state::Shutdown;

/// Microseconds on a monotonic clock.
pub type Micros = i64;

/// One millisecond.
pub(crate) const MILLISECOND: Micros = 1_000;
