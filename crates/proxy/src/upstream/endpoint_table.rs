//! The endpoints of a pool by id, each with its entry of the endpoint list, its address and its connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use decide::{Endpoint, EndpointId, EndpointState};
use tokio::time::Instant;

use super::connections::EndpointConnections;
use super::http_connection::HttpConnection;
use super::rpc_connection::RpcConnection;

/// The endpoints of a pool. Removed endpoints stay until [`EndpointTable::forget_removed`].
#[derive(Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
}

/// An endpoint with its connections.
pub struct TrackedEndpoint {
    entry: Endpoint,
    /// The address on which the endpoint accepts connections.
    pub address: SocketAddr,
    /// When it counts as notified that the endpoint is draining or removed; `None` while it is neither.
    pub draining_since: Option<Instant>,
    /// The connections to the endpoint.
    pub connections: EndpointConnections,
}

impl TrackedEndpoint {
    fn new(entry: Endpoint, address: SocketAddr) -> TrackedEndpoint {
        let connections = EndpointConnections::default();
        TrackedEndpoint { entry, address, draining_since: None, connections }
    }

    fn update(&mut self, entry: &Endpoint, address: SocketAddr, notified_at: Instant) {
        if self.address != address || self.entry.up_since != entry.up_since {
            // The endpoint is another process or has another address, so the old connections are useless.
            self.connections.close_all();
        }
        self.address = address;
        self.entry = entry.clone();
        if entry.state == EndpointState::Ready {
            self.draining_since = None;
        } else {
            self.start_draining(notified_at);
        }
    }

    fn remove(&mut self, notified_at: Instant) {
        self.entry.state = EndpointState::Removed;
        self.start_draining(notified_at);
    }

    fn start_draining(&mut self, notified_at: Instant) {
        self.draining_since.get_or_insert(notified_at);
        self.connections.close_all();
    }

    fn is_removed(&self) -> bool {
        self.entry.state == EndpointState::Removed
    }

    fn is_grace_over(&self, drain_grace: Duration) -> bool {
        self.draining_since.is_some_and(|since| since.elapsed() >= drain_grace)
    }
}

impl EndpointTable {
    /// Adds or updates an endpoint from its entry in the endpoint list, which counts as notified at this time.
    pub fn update(&mut self, entry: &Endpoint, address: SocketAddr, notified_at: Instant) {
        let endpoint = self.endpoints.entry(entry.id);
        endpoint.or_insert_with(|| TrackedEndpoint::new(entry.clone(), address)).update(
            entry,
            address,
            notified_at,
        );
    }

    /// Marks all endpoints that are not listed as removed, which counts as notified at this time.
    pub fn mark_unlisted_removed(&mut self, is_listed: impl Fn(EndpointId) -> bool, notified_at: Instant) {
        for (id, endpoint) in &mut self.endpoints {
            if !is_listed(*id) {
                endpoint.remove(notified_at);
            }
        }
    }

    /// Forgets the removed endpoints whose drain grace is over. Their replacements have new ids, so without
    /// this the table would grow without bound.
    pub fn forget_removed(&mut self, drain_grace: Duration) {
        self.endpoints.retain(|_, endpoint| !endpoint.is_removed() || !endpoint.is_grace_over(drain_grace));
    }

    /// The endpoint with this id.
    pub fn get(&self, id: EndpointId) -> Option<&TrackedEndpoint> {
        self.endpoints.get(&id)
    }

    /// Whether another endpoint that is neither draining nor removed has the address of this one.
    pub fn is_replaced(&self, endpoint: &TrackedEndpoint) -> bool {
        self.endpoints.values().any(|other| {
            other.entry.id != endpoint.entry.id
                && other.address == endpoint.address
                && other.draining_since.is_none()
        })
    }

    /// The connections to the endpoint with this id.
    pub fn connections_mut(&mut self, id: EndpointId) -> Option<&mut EndpointConnections> {
        self.endpoints.get_mut(&id).map(|endpoint| &mut endpoint.connections)
    }

    /// Visits each endpoint, including removed ones.
    pub fn for_each(&self, mut visit: impl FnMut(&Endpoint, SocketAddr)) {
        for endpoint in self.endpoints.values() {
            visit(&endpoint.entry, endpoint.address);
        }
    }

    /// The endpoints that have not been removed.
    pub fn listed(&self) -> Vec<Endpoint> {
        let listed = self.endpoints.values().filter(|endpoint| !endpoint.is_removed());
        listed.map(|endpoint| endpoint.entry.clone()).collect()
    }

    /// Keeps an idle HTTP connection, unless the endpoint is draining.
    pub fn add_idle_http(&mut self, id: EndpointId, connection: HttpConnection) {
        if let Some(connections) = self.connections_unless_draining(id) {
            connections.add_idle_http(connection);
        }
    }

    /// Keeps a JSON-RPC connection, unless the endpoint is draining.
    pub fn add_rpc(&mut self, id: EndpointId, connection: Rc<RpcConnection>) {
        if let Some(connections) = self.connections_unless_draining(id) {
            connections.add_rpc(connection);
        }
    }

    fn connections_unless_draining(&mut self, id: EndpointId) -> Option<&mut EndpointConnections> {
        let endpoint = self.endpoints.get_mut(&id).filter(|endpoint| endpoint.draining_since.is_none())?;
        Some(&mut endpoint.connections)
    }

    /// Closes the connections that have been idle for `max_idle` or longer.
    pub fn close_idle_longer_than(&mut self, max_idle: Duration) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.connections.close_idle_longer_than(max_idle);
        }
    }

    /// Closes all connections, those with calls in flight when these have ended.
    pub fn close_all_connections(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.connections.close_all();
        }
    }

    /// Closes one idle connection, preferably an HTTP one. Returns false if no connection is idle.
    pub fn close_idle_connection(&mut self) -> bool {
        self.close_idle_http() || self.close_idle_rpc()
    }

    /// Compares the HTTP connections that have been idle the longest at each endpoint, and closes the one of
    /// these with the shortest idle time. Other connections of the pool may have been idle for longer.
    fn close_idle_http(&mut self) -> bool {
        let connections = self.endpoints.values_mut().map(|endpoint| &mut endpoint.connections);
        let idle = connections.filter_map(|all| Some((all.longest_http_idle_time()?, all)));
        let Some((_, connections)) = idle.min_by_key(|(idle_time, _)| *idle_time) else { return false };
        connections.close_longest_idle_http();
        true
    }

    /// Closes the JSON-RPC connection of the pool that has been without calls the longest.
    fn close_idle_rpc(&mut self) -> bool {
        let connections = self.endpoints.values_mut().map(|endpoint| &mut endpoint.connections);
        let idle = connections.filter_map(|all| Some((all.longest_idle_rpc()?, all)));
        let Some((connection, connections)) = idle.min_by_key(|(connection, _)| *connection) else {
            return false;
        };
        connections.close_rpc(connection);
        true
    }
}
