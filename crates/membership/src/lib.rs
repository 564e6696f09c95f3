//! Membership of a pool: when discovery is polled for the list of endpoints, for how long a list may be used,
//! and which endpoints operators have drained.
//!
//! The crate does no I/O and reads no clock: times are passed in as microseconds, and random numbers come
//! from a seed. [`DiscoveryWatch`] is the state machine of one proxy that watches one discovery. It owns the
//! lease on the list and does not read the endpoints in the list. The crate `decide` (module `discovery`)
//! decides when a watch that ended is started again. [`Maintenance`] holds the drains that operators request,
//! independently of discovery.
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
pub use watch::{
    CallResult, DiscoveryMode, DiscoveryWatch, ListStatus, WatchAction, WatchEvent, WatchPolicy, WatchStatus,
};
