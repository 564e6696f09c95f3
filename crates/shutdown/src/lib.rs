//! Graceful shutdown of a process: until when it accepts connections and requests, how long a request may still take, which
//! connections are closed when, and when the process may exit.
//!
//! Pure: no I/O and no clock; times are microseconds on a monotonic clock. One [`Shutdown`] belongs to one listener. Tiers of
//! one or two proxies, larger tiers, and a proxy that shares its listening socket with its successor are cases of the same machine.
//!
//! ```text
//! begin  accepts and serves        closes idle connections     only open responses
//!   |------------------------------|---------------------------|------------------------------> killed
//!   0                              accepts_until               responses_due_at               kill
//! ```
#![warn(missing_docs)]

mod connection;
mod policy;
mod state;

pub use connection::{ConnectionAction, ConnectionState};
pub use policy::ShutdownPolicy;
pub use state::Shutdown;

/// Microseconds on a monotonic clock.
pub type Micros = i64;

/// One millisecond.
pub(crate) const MILLISECOND: Micros = 1_000;
