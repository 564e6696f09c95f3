//! Ends connections whose client does not send a request in time, reads nothing of a response, or has gone. A connection
//! that waits for its next request stays.

use std::rc::Rc;
use std::time::Duration;

use config::Protocol;
use tokio::time::{sleep_until, Instant};

use super::connection::DownstreamConnection;
use super::ListenerState;

/// The head of a request is complete within this time: from the start of the connection for its first request, from the
/// head's first byte for later ones.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a connection that is closed to make room for another.
const HEAD_TIMEOUT_AT_LIMIT: Duration = Duration::from_millis(500);
/// How often connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Enforces the timeouts of all connections for as long as it is polled.
pub async fn enforce(listener: Rc<ListenerState>) {
    loop {
        let due_at = Instant::now() + CHECK_INTERVAL;
        sleep_until(due_at).await;
        listener.drain.report_lateness(due_at.elapsed());
        listener.connections.for_each(|connection| check(&listener, connection));
    }
}

fn check(listener: &ListenerState, connection: &DownstreamConnection) {
    let is_client_gone = || connection.is_busy() && connection.socket.is_peer_closed();
    if connection.is_response_stalled() || is_client_gone() {
        connection.abort();
    }
    if connection.is_busy() {
        return;
    }
    let is_making_room = connection.is_closing() && !listener.drain.is_started();
    let timeout = if is_making_room { HEAD_TIMEOUT_AT_LIMIT } else { HEAD_TIMEOUT };
    if head_awaited_since(listener, connection).is_some_and(|since| since.elapsed() > timeout) {
        connection.abort_if_idle();
    }
}

/// Since when a head is awaited. JSON-RPC connections may stay silent, but have to complete a message that they have started.
fn head_awaited_since(listener: &ListenerState, connection: &DownstreamConnection) -> Option<Instant> {
    let is_first_awaited = !connection.has_received_request() && listener.frontend.protocol == Protocol::Http;
    if is_first_awaited {
        Some(connection.last_used_at())
    } else {
        connection.socket.message_started_at()
    }
}
