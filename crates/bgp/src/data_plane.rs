//! The status that a data plane reports to the speaker that announces its addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Reported periodically: that a report arrives shows that the data plane makes progress.
#[derive(Clone, Debug, Default)]
pub struct DataPlaneStatus {
    /// Its listeners accept connections.
    pub accepting: bool,
    /// The endpoint lists of its pools by name; none where nothing can have changed.
    pub pools: Option<BTreeMap<String, PoolEndpointList>>,
}

/// The endpoint list of a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolEndpointList {
    /// A list has been received.
    pub received: bool,
    /// The time since the source of the list was last heard. None where the configuration lists the endpoints.
    pub source_silent_for: Option<Duration>,
    /// The listed endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint on the list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its capacity, relative to the other endpoints of the pool.
    pub weight: f64,
    /// It is ready, not draining.
    pub ready: bool,
    /// It has completed slow start.
    pub warm: bool,
}
