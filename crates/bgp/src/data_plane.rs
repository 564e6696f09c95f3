//! The status that a data plane reports to the speaker that announces its addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A periodic report; its arrival shows that the data plane makes progress.
#[derive(Clone, Debug, Default)]
pub struct DataPlaneStatus {
    /// Whether the listeners accept connections.
    pub accepting: bool,
    /// The endpoint lists by the name of the pool; `None` if they cannot have changed since the last report.
    pub pools: Option<BTreeMap<String, PoolEndpointList>>,
}

/// The endpoint list of a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolEndpointList {
    /// Whether a list has been received.
    pub received: bool,
    /// The time since the source of the list last responded; `None` if the configuration lists the endpoints.
    pub source_silent_for: Option<Duration>,
    /// The listed endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The capacity, relative to the other endpoints of the pool.
    pub weight: f64,
    /// Whether the endpoint is ready, not draining.
    pub ready: bool,
    /// Whether the endpoint has completed slow start.
    pub warm: bool,
}
