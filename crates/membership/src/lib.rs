//! Membership: when a pool's discovery is asked for the list of endpoints, and for how long a list may be relied on.
//!
//! Pure: no I/O and no clock; times come in as microseconds, chance comes from a seed. [`Watch`] is the state machine
//! of one proxy that watches one discovery, and owns the lease on its list. Which endpoints are listed is none of its business.
//! [`Maintenance`] is what operators say of endpoints beside it.
#![warn(missing_docs)]

mod call;
mod lease;
pub mod maintenance;
mod time;
mod watch;

pub use call::CallId;
pub use lease::{Expiry, ExpiryCause, Failure, InitialList, LeaseTerms};
pub use maintenance::{Maintenance, Refused};
pub use time::Micros;
pub use watch::{Action, Event, Policy, Watch};
