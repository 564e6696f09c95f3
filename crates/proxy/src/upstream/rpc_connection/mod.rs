//! A connection to an endpoint that speaks JSON-RPC: many calls at once, each with a result of its own.
//!
//! A task (`task`) writes and reads; the calls (`call`) share the state of the connection (`state`) with it. Bounded
//! by [`RpcSettings::max_concurrent_calls`]; twice as many frames may wait to be written.

mod call;
mod state;
mod task;
#[cfg(test)]
mod tests;

pub use self::call::{CallBytesWritten, CallResult, InFlightCall};

use std::rc::Rc;
use std::time::Duration;

use jsonrpc::Framing;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

use self::state::ConnectionState;
use crate::socket::Socket;

/// How the endpoints of a pool speak JSON-RPC.
#[derive(Clone, Debug)]
pub struct RpcSettings {
    /// How messages are delimited.
    pub framing: Framing,
    /// The most calls in flight on a connection.
    pub max_concurrent_calls: usize,
    /// The method of the notification that cancels a call, if there is one.
    pub cancel_method: Option<String>,
}

/// The connection. Dropping it closes it; calls in flight keep it open.
pub struct RpcConnection {
    state: Rc<ConnectionState>,
    task: AbortHandle,
}

impl RpcConnection {
    /// Starts a task that speaks JSON-RPC on this socket.
    pub fn new(socket: Socket, settings: RpcSettings) -> RpcConnection {
        let state = Rc::new(ConnectionState::new(settings));
        let task = spawn_local(task::run(Rc::clone(&state), socket)).abort_handle();
        RpcConnection { state, task }
    }

    /// Whether another call may be sent.
    pub fn has_capacity(&self) -> bool {
        self.state.has_capacity()
    }

    /// Whether it takes further calls at all.
    pub fn is_usable(&self) -> bool {
        !self.state.is_closed()
    }

    /// Since when there has been no call; none while there is one.
    pub fn idle_since(&self) -> Option<Instant> {
        self.state.idle_since()
    }

    /// Whether it is no longer usable, or has been idle for so long.
    pub fn is_expired(&self, max_idle: Duration) -> bool {
        !self.is_usable() || self.idle_since().is_some_and(|since| since.elapsed() >= max_idle)
    }

    /// Queues a call for writing. `progress` counts the bytes that the kernel has taken; `message` makes the call from its
    /// id, which is JSON.
    pub fn send(
        self: &Rc<Self>,
        progress: CallBytesWritten,
        message: impl FnOnce(&str) -> Vec<u8>,
    ) -> InFlightCall {
        InFlightCall::start(Rc::clone(self), progress, message)
    }
}

impl Drop for RpcConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
