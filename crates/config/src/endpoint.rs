//! Endpoints of pools.

use std::net::SocketAddr;

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes the requests that it has.
    Draining,
    /// Removed from its pool.
    Gone,
}

/// An endpoint of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Its name, unique in its pool.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub machine_kind: String,
    /// Its cell, for deduplication.
    pub cell: Option<u64>,
    /// Its capacity relative to the others'.
    pub weight: f64,
    /// Its state.
    pub state: EndpointState,
    /// When it started, in Unix milliseconds; 0 for long ago.
    pub started_unix_ms: f64,
}
