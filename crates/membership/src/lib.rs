//! Membership of a pool: when its discovery is polled for the list of endpoints, for how long a list may be relied on, and which
//! endpoints operators have drained.
//!
//! Pure: no I/O and no clock; times come in as microseconds, chance comes from a seed. [`DiscoveryWatch`] is the state machine of
//! one proxy that watches one discovery, and owns the lease on its list; it does not look at the endpoints in it.
//! When a watch that ended is started again is decided by the crate `decide` (its module `discovery`).
//! [`Maintenance`] holds what operators set for endpoints beside it.
#![warn(missing_docs)]

mod call;
mod lease;
pub mod maintenance;
mod time;
mod watch;

pub use call::CallId;
pub use lease::{CallFailure, Expiry, ExpiryCause, InitialList, LeaseTerms};
pub use maintenance::{Maintenance, MaintenanceRejection};
pub use time::Micros;
pub use watch::{DiscoveryMode, DiscoveryWatch, WatchAction, WatchEvent, WatchPolicy};
