//! Closes connections whose client does not send a request in time, stops reading a response, or has
//! disconnected. A connection that waits for its next request stays open.

use std::rc::Rc;
use std::time::Duration;

use config::Protocol;
use tokio::time::{sleep_until, Instant};

use super::connection::DownstreamConnection;
use super::cut_off::{CutOffReason, CutOffStream, RequestId};
use super::ListenerState;
use crate::body::STALL_TIMEOUT;
use crate::log::log_line;

/// The maximum time until the head of a request is complete: from the start of the connection for its first
/// request, from the head's first byte for later ones.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum time until a head is complete on a connection that is being closed to make room for another.
const HEAD_TIMEOUT_AT_LIMIT: Duration = Duration::from_millis(500);
/// The interval at which connections are checked.
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
    let is_stalled = connection.is_response_stalled();
    if is_stalled {
        log_line(format_args!(
            "closing the connection of a client that has read nothing of its response for {} s",
            STALL_TIMEOUT.as_secs()
        ));
    }
    if is_stalled {
        connection.abort(CutOffReason::ClientStalled);
    } else if is_client_gone() {
        connection.abort(CutOffReason::ClientDisconnected);
    }
    if connection.is_busy() {
        return;
    }
    let is_making_room = connection.is_closing() && !listener.drain.is_started();
    let timeout = if is_making_room { HEAD_TIMEOUT_AT_LIMIT } else { HEAD_TIMEOUT };
    if head_awaited_since(listener, connection).is_some_and(|since| since.elapsed() > timeout) {
        let bytes = connection.socket.message_bytes();
        listener.frontend.cut_offs.record(
            CutOffStream::Connection,
            CutOffReason::HeadTimeout,
            &RequestId::default(),
            bytes,
        );
        connection.abort_if_idle();
    }
}

/// The time from which the head timeout counts; `None` if no head is due. JSON-RPC connections may stay
/// silent, but have to complete a message that they have started.
fn head_awaited_since(listener: &ListenerState, connection: &DownstreamConnection) -> Option<Instant> {
    let is_first_awaited = !connection.has_received_request() && listener.frontend.protocol == Protocol::Http;
    if is_first_awaited {
        Some(connection.last_used_at())
    } else {
        connection.socket.message_started_at()
    }
}
