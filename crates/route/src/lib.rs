//! Routing: which class and pool a request belongs to, and which pools it may fall back to.
//!
//! Pure: no I/O, no clock, no randomness. A [`RouteTable`] is built once, checked as a whole and never changes; the proxy
//! and `amberlever check` look up in the very same one. Which endpoint of a pool a request goes to is not decided here but
//! by the decision module, among the endpoints that the route allows ([`EndpointScope`]).
//!
//! # The most specific route wins
//!
//! Of the routes that match a request, the first by this order; each step decides only where the one before left
//! routes equal:
//!
//! 1. host: an exact name, then `*.suffix` (the longer suffix first), then none;
//! 2. path, segment by segment from the left: a literal, then a parameter, then the open end of a prefix;
//! 3. a route that names methods before one that names none;
//! 4. the route that asks for more headers;
//! 5. one that names a class, 6. one that names a tenant, 7. one that names zones of clients.
//!
//! Two routes that are equal in all of these and that some request would match both are an error
//! ([`Conflict`]): the order of routes never matters.
#![warn(missing_docs)]

mod conflict;
mod fallback;
mod host_map;
mod host_owners;
mod matcher;
pub mod normalize;
mod pattern;
mod request;
mod resolve;
mod route;
mod split;
mod table;

pub use conflict::Conflict;
pub use fallback::{EndpointCounts, Fallback, FallbackCondition, PoolChoice};
pub use host_owners::HostOwners;
pub use matcher::{RouteMatcher, Specificity};
pub use pattern::{HostPattern, PathPattern, PatternError};
pub use request::{HeaderFields, NormalizedRequest, RawRequest, RequestAttributes};
pub use resolve::{RouteError, RouteMatch};
pub use route::{EndpointScope, Route};
pub use split::{Split, SplitKey, SplitPool};
pub use table::RouteTable;

/// A pool, by its index in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub usize);
