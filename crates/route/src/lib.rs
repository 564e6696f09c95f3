//! Routing: selects the class and the pool of a request, and the pools to which it may fall back.
//!
//! The crate does no I/O and uses neither clock nor randomness. A [`RouteTable`] is built once, checked as a
//! whole and never changed; the proxy and `amberlever check` look up routes in the same table. The endpoint of
//! the pool is not selected here but by the balancer of the pool (its decision module), among the endpoints
//! that the route allows ([`EndpointScope`]).
//!
//! # Precedence of routes
//!
//! If several routes match a request, the most specific one is selected. Routes are compared by the following
//! criteria; each one decides only between routes that are equal in those before it:
//!
//! 1. host: an exact name, then `*.suffix` (the longer suffix first), then any host;
//! 2. path, segment by segment from the left: a literal, then a parameter, then the open end of a prefix;
//! 3. a route with methods before one without;
//! 4. the route with more headers;
//! 5. a route with a class before one without;
//! 6. a route with a tenant before one without;
//! 7. a route with client zones before one without.
//!
//! Two routes that are equal in all of these and match a common request are an error ([`Conflict`]), so that
//! the order of routes has no effect.
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
