//! Limits of the tenants of one process, so that no tenant suffers from another's load.
//!
//! Pure: no I/O, no clock, no randomness; times come in as microseconds. A [`Limiter`] stands before the load balancing
//! decisions, which shed load for the endpoints' sake. Nothing waits here: a request over a limit is rejected at once,
//! with a [`RejectReason`] and the time after which a retry may be admitted.
//!
//! Three kinds of limits:
//!
//! - **A tenant's own limits**: requests a second with a burst ([`TokenBucket`]), requests in flight, connections, bytes
//!   of bodies, and retries a second.
//! - **The request rate of the process** is shared by weighted max-min fairness, filled progressively (Bertsekas and
//!   Gallager, "Data Networks", section 6.5.2) over the demand of the last period. Unused shares are lent to other
//!   tenants. A tenant that becomes active has its guaranteed share at once and its fair share after one period
//!   ([`SHARE_PERIOD`]).
//! - **Quotas** (requests in flight, bytes of bodies) cannot be reclaimed before the requests end. Beyond its guaranteed
//!   quota a tenant may borrow only what is left when every active tenant could still use all of its own.
//!
//! Within a tenant requests of low priority are rejected first: they must leave a part of the tenant's credit unused.
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

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// How often fair shares are recomputed, in microseconds.
pub const SHARE_PERIOD: Micros = 100_000;
/// A tenant without requests for this long, in microseconds, and with none in flight is inactive: it has no share.
pub const IDLE_TIMEOUT: Micros = 10_000_000;
