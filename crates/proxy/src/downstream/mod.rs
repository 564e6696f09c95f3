//! The downstream side: listeners, client connections and requests.
//!
//! A listener accepts connections up to a limit and serves each one with its protocol (`http` or `rpc`). A
//! request of either protocol passes through these phases: read and validate the head, route the request,
//! read the body, reserve the id and the idempotency key (`request`); submit the request to the balancer of
//! one pool after another and wait for the response (`dispatch`); send the response and count the outcome.
//! The errors of all phases share one type (`error`).
//!
//! `timeouts` closes connections whose client sends or reads too slowly, and `drain` shuts a listener down
//! gracefully.

mod accept;
mod connection;
mod cut_off;
mod dispatch;
mod drain;
mod error;
mod http;
mod registry;
mod request;
mod rpc;
mod timeouts;

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use config::Protocol;
use decide::{DownstreamConnections, Micros};
use shutdown::{Shutdown, ShutdownPolicy};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::memory::MemoryBudget;
use crate::request_ids::OpenRequestIds;
use crate::router::Router;
pub use cut_off::CutOffLog;
use drain::DrainState;
use registry::ConnectionRegistry;

/// The protocol, the router and the request ids of a listener.
pub struct Frontend {
    /// Routes the requests.
    pub router: Rc<dyn Router>,
    /// The ids of open requests.
    pub ids: OpenRequestIds,
    /// The protocol of the clients.
    pub protocol: Protocol,
    /// Whether another process shares the listening socket and continues to accept on it after this process
    /// exits.
    pub is_socket_shared: bool,
    /// The memory for requests in flight.
    pub memory: Arc<MemoryBudget>,
    /// Records what is ended early.
    pub cut_offs: Rc<CutOffLog>,
}

/// A listener, its connections and its drain state.
struct ListenerState {
    frontend: Frontend,
    connections: Rc<ConnectionRegistry>,
    drain: DrainState,
}

impl ListenerState {
    fn new(frontend: Frontend, max_connections: usize) -> ListenerState {
        let router = &frontend.router;
        let policy = ShutdownPolicy {
            longest_client_timeout: router.longest_client_timeout().as_micros() as Micros,
            has_kill_deadline: router.has_termination_deadline(),
            clients_may_have_no_other_proxy: router.may_shut_down_alone(),
            shares_listener: frontend.is_socket_shared,
        };
        let clock = Clock::new();
        ListenerState {
            frontend,
            connections: Rc::new(ConnectionRegistry::new(max_connections, clock)),
            drain: DrainState::new(Shutdown::new(policy), clock),
        }
    }

    /// The client connections during a graceful shutdown; `None` before it, and if another process shares the
    /// listening socket.
    fn remaining_connections(&self) -> Option<DownstreamConnections> {
        let is_draining_alone = self.drain.is_started() && !self.frontend.is_socket_shared;
        is_draining_alone.then(|| DownstreamConnections {
            idle: self.connections.idle_count(),
            open: self.connections.open_count(),
        })
    }

    /// Whether load balancers in front may send new requests to this listener.
    fn is_ready(&self) -> bool {
        let is_reachable = !self.drain.is_started() || self.frontend.is_socket_shared;
        is_reachable && self.frontend.router.is_ready()
    }
}

/// Serves clients until `stop` completes, then drains; returns once every accepted request has its response.
/// At most `max_connections` connections stay open: one more is accepted, and then a connection is closed to
/// make room.
pub async fn run(
    frontend: Frontend,
    socket: TcpListener,
    max_connections: usize,
    stop: impl Future<Output = ()>,
) {
    let listener = Rc::new(ListenerState::new(frontend, max_connections));
    let mut stop = pin!(stop);
    let timeouts = spawn_local(timeouts::enforce(Rc::clone(&listener)));
    tokio::select! {
        () = stop.as_mut() => {}
        () = accept::accept_connections(&listener, &socket) => {}
    }
    drain::drain(&listener, socket).await;
    timeouts.abort();
}

#[cfg(test)]
mod tests;
