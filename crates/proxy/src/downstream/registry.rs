//! The open connections of a listener, and the limit on their number.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

use super::connection::DownstreamConnection;
use crate::clock::Clock;

/// The open connections of a listener.
pub struct ConnectionRegistry {
    max_connections: usize,
    /// The connections by their serial number, in the order of acceptance.
    connections: RefCell<BTreeMap<u64, Rc<DownstreamConnection>>>,
    accepted_count: Cell<u64>,
    /// Notified when a connection has ended.
    ended: Notify,
    clock: Clock,
}

/// Keeps a connection registered until dropped.
pub struct Registration {
    registry: Rc<ConnectionRegistry>,
    id: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().remove(&self.id);
        self.registry.ended.notify_one();
    }
}

impl ConnectionRegistry {
    /// Creates an empty registry. At most `max_connections` connections stay open.
    pub fn new(max_connections: usize, clock: Clock) -> ConnectionRegistry {
        ConnectionRegistry {
            max_connections,
            connections: RefCell::default(),
            accepted_count: Cell::new(0),
            ended: Notify::new(),
            clock,
        }
    }

    /// Adds a connection until the returned registration is dropped.
    pub fn register(self: &Rc<Self>, connection: Rc<DownstreamConnection>) -> Registration {
        let id = self.accepted_count.get() + 1;
        self.accepted_count.set(id);
        self.connections.borrow_mut().insert(id, connection);
        Registration { registry: Rc::clone(self), id }
    }

    /// The number of open connections.
    pub fn open_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// The number of open connections without an open request.
    pub fn idle_count(&self) -> usize {
        self.connections.borrow().values().filter(|connection| !connection.is_busy()).count()
    }

    /// Whether more connections are open than the limit allows.
    pub fn is_over_limit(&self) -> bool {
        self.open_count() > self.max_connections
    }

    /// Whether the limit is still exceeded once all connections that are being closed have ended.
    pub fn stays_over_limit(&self) -> bool {
        let connections = self.connections.borrow();
        connections.values().filter(|connection| !connection.is_closing()).count() > self.max_connections
    }

    /// All open connections.
    pub fn snapshot(&self) -> Vec<Rc<DownstreamConnection>> {
        self.connections.borrow().values().cloned().collect()
    }

    /// Calls `visit` for each open connection.
    pub fn for_each(&self, visit: impl FnMut(&Rc<DownstreamConnection>)) {
        self.connections.borrow().values().for_each(visit);
    }

    /// Completes once a connection has ended.
    pub async fn connection_ended(&self) {
        self.ended.notified().await;
    }

    /// Closes one connection to make room: the connection that has been idle for longest, else one with a
    /// partial request, else a busy one after its response. A new connection is spared, because its first
    /// request may already be on its way and would be lost.
    pub fn close_least_recently_used(&self) {
        let connections = self.connections.borrow();
        let now = self.clock.now();
        let is_candidate = |connection: &&Rc<DownstreamConnection>| {
            let is_new = || connection.shutdown_state(self.clock, false).is_new(now);
            !connection.is_closing() && (connection.is_busy() || !is_new())
        };
        let least_recently_used = connections.values().filter(is_candidate).min_by_key(|connection| {
            let has_read_partial_request = connection.socket.message_bytes() > 0;
            (connection.is_busy(), has_read_partial_request, connection.last_used_at())
        });
        if let Some(connection) = least_recently_used {
            connection.close();
        }
    }
}
