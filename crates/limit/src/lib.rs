//! Limits for the tenants of one process, so that the load of one tenant does not affect the others.
//!
//! The crate does no I/O, reads no clock and uses no random numbers; times are passed in as microseconds. A
//! [`Limiter`] is applied before the load balancing decisions, which shed load to protect the endpoints. No
//! request is queued: a request over a limit is rejected at once, with a [`RejectReason`] and the time after
//! which a retry may be admitted.
//!
//! Three kinds of limits:
//!
//! - **The limits of one tenant**: requests per second with a burst ([`TokenBucket`]), requests in flight,
//!   connections, bytes of bodies, and retries per second.
//! - **The request rate of the process** is divided by weighted max-min fairness (progressive filling,
//!   Bertsekas and Gallager, "Data Networks", section 6.5.2) according to the demand in the last period.
//!   Unused shares are lent to other tenants. A tenant that becomes active has its guaranteed share at once
//!   and its fair share after one period ([`SHARE_PERIOD`]).
//! - **Quotas** (requests in flight, bytes of bodies) cannot be reclaimed before the requests end. Beyond its
//!   guaranteed quota a tenant may borrow only what remains free if every active tenant uses its whole
//!   guaranteed quota.
//!
//! Within a tenant, requests of low priority are rejected first: they must leave a fraction of the tenant's
//! credit unused.
#![warn(missing_docs)]

mod fair_share;
mod limiter;
mod limits;
mod quota;
mod rejection;
mod tenant;
mod tenant_table;
mod token_bucket;
mod usage;

pub use fair_share::{max_min_fair_shares, Demand};
pub use limiter::{Limiter, Permit, ResourcesInUse};
pub use limits::{Capacity, Limits};
pub use rejection::{RejectReason, Rejection};
pub use tenant_table::TenantId;
pub use token_bucket::TokenBucket;
pub use usage::{RejectionCounts, Usage};

/// A time or a duration, in microseconds.
pub type Micros = i64;

/// The period after which fair shares are recomputed, in microseconds.
pub const SHARE_PERIOD: Micros = 100_000;
/// The time without requests after which a tenant with no request in flight is inactive, in microseconds. An
/// inactive tenant has no share.
pub const IDLE_TIMEOUT: Micros = 10_000_000;
