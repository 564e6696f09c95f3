//! Endpoints of pools.

use std::net::SocketAddr;

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Completes its requests in flight and gets no new ones.
    Draining,
    /// Removed from its pool.
    Gone,
}

/// An endpoint of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// The name, unique in the pool.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The name of the zone.
    pub zone: String,
    /// The kind of machine; empty if none is given.
    pub machine_kind: String,
    /// The cell; `None` if the endpoint is in none. With deduplication by cell, the endpoints of a cell
    /// discard each other's repeats.
    pub cell: Option<u64>,
    /// The capacity, relative to the other endpoints.
    pub weight: f64,
    /// The state.
    pub state: EndpointState,
    /// The time of its start, in Unix milliseconds. If it is 0, the endpoint has no slow start.
    pub started_unix_ms: f64,
}
