//! A JSON-RPC connection to an endpoint, which carries many calls at once.
//!
//! A task (`task`) writes and reads; it shares the state of the connection (`state`) with the calls (`call`).
//! A call is encoded only when the socket accepts its first byte (`outgoing_frame`).
//! At most [`RpcSettings::max_concurrent_calls`] calls are in flight, and at most twice as many frames are
//! queued for writing.

mod call;
mod outgoing_frame;
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
use super::attempt_error::NotSentReason;
use crate::socket::Socket;

/// The JSON-RPC settings of a pool.
#[derive(Clone, Debug)]
pub struct RpcSettings {
    /// The framing that delimits messages.
    pub framing: Framing,
    /// The maximum number of calls in flight on a connection.
    pub max_concurrent_calls: usize,
    /// The method of the notification that cancels a call. `None` if the endpoints support no cancellation.
    pub cancel_method: Option<String>,
}

/// A JSON-RPC connection. Dropping the last reference closes it; each call in flight holds one.
pub struct RpcConnection {
    state: Rc<ConnectionState>,
    task: AbortHandle,
}

impl RpcConnection {
    /// Starts a task that writes and reads JSON-RPC messages on a socket.
    pub fn new(socket: Socket, settings: RpcSettings) -> RpcConnection {
        let state = Rc::new(ConnectionState::new(settings));
        let task = spawn_local(task::run(Rc::clone(&state), socket)).abort_handle();
        RpcConnection { state, task }
    }

    /// Whether another call may be sent.
    pub fn has_capacity(&self) -> bool {
        self.state.has_capacity()
    }

    /// Whether the connection accepts further calls, apart from its capacity.
    pub fn is_usable(&self) -> bool {
        !self.state.is_closed()
    }

    /// The time since when there has been no call; `None` while there is one.
    pub fn idle_since(&self) -> Option<Instant> {
        self.state.idle_since()
    }

    /// Whether the connection is no longer usable, or has been idle for `max_idle` or longer.
    pub fn is_expired(&self, max_idle: Duration) -> bool {
        !self.is_usable() || self.idle_since().is_some_and(|since| since.elapsed() >= max_idle)
    }

    /// Queues a call for writing. `progress` counts the bytes that the kernel has accepted; `encode` builds the
    /// call from its id, which is encoded as JSON, or says why it may no longer be sent. It is called when the
    /// socket accepts the first byte of the call.
    pub fn send(
        self: &Rc<Self>,
        progress: CallBytesWritten,
        encode: impl Fn(&str) -> Result<Vec<u8>, NotSentReason> + 'static,
    ) -> InFlightCall {
        InFlightCall::start(Rc::clone(self), progress, encode)
    }
}

impl Drop for RpcConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
