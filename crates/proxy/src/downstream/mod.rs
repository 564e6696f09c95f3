//! The downstream side: listeners, the connections of clients, and their requests.
//!
//! A listener accepts connections up to a limit, and serves each by its protocol (`http` or `rpc`). A request passes
//! through these phases, whichever protocol it arrives by: read and validate its head, route it, read its body, reserve its
//! id and idempotency key (`request`); submit it to the decisions of one pool after another and wait for the response
//! (`dispatch`); send the response and count the outcome. Errors of any phase are one type (`error`).
//!
//! `timeouts` ends connections whose client sends or reads too slowly, and `drain` shuts a listener down gracefully.

mod accept;
mod connection;
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

use config::Protocol;
use decide::{DownstreamConnections, Micros};
use shutdown::{Shutdown, ShutdownPolicy};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::request_ids::OpenRequestIds;
use crate::router::Router;
use drain::DrainState;
use registry::ConnectionRegistry;

/// How requests of a listener are read and routed.
pub struct Frontend {
    /// Routes them.
    pub router: Rc<dyn Router>,
    /// The ids of open requests.
    pub ids: OpenRequestIds,
    /// The protocol of its clients.
    pub protocol: Protocol,
    /// Another process has the listening socket too, and goes on with it when this one ends.
    pub is_socket_shared: bool,
}

/// A listener with its connections.
struct ListenerState {
    frontend: Frontend,
    connections: Rc<ConnectionRegistry>,
    drain: DrainState,
}

impl ListenerState {
    fn new(frontend: Frontend, max_connections: usize) -> ListenerState {
        let router = &frontend.router;
        let policy = ShutdownPolicy {
            longest_client_timeout: router.max_request_deadline().as_micros() as Micros,
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

    /// The connections that clients have left, once they get no new ones; None before.
    fn remaining_connections(&self) -> Option<DownstreamConnections> {
        let gets_no_new_ones = self.drain.is_started() && !self.frontend.is_socket_shared;
        gets_no_new_ones.then(|| DownstreamConnections {
            idle: self.connections.idle_count(),
            open: self.connections.open_count(),
        })
    }

    /// Whether new requests are welcome here.
    fn is_ready(&self) -> bool {
        let is_reachable = !self.drain.is_started() || self.frontend.is_socket_shared;
        is_reachable && self.frontend.router.is_ready()
    }
}

/// Serves clients until `stop` completes, then drains: returns once every request that was taken has its response.
/// At most `max_connections` connections stay open; one more is accepted, and then a connection is closed for it.
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
