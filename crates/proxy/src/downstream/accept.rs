//! Accepts connections. At most the listener's limit stay open; one more is accepted, and then a connection is closed for
//! it.

use std::rc::Rc;
use std::time::Duration;

use config::Protocol;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connection::DownstreamConnection;
use super::{http, rpc, ListenerState};
use crate::exchange::MAX_HEAD_BYTES;
use crate::socket::{Socket, NO_HEAD_CAPTURE};

/// Pause before accepting again after a failure or at the limit; accepting at once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts and serves connections for as long as it is polled.
pub async fn accept_connections(listener: &Rc<ListenerState>, socket: &TcpListener) {
    let connections = &listener.connections;
    loop {
        match socket.accept().await {
            Ok((stream, _)) => spawn_connection(listener, stream),
            Err(_) => {
                connections.close_least_recently_used();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        // A connection in the backlog waits; one that is accepted and dropped would lose its request.
        while connections.is_over_limit() {
            if connections.stays_over_limit() {
                connections.close_least_recently_used();
            }
            // Checked again after a pause, as a new connection may be closed later and that is not notified.
            let _ = timeout(ACCEPT_PAUSE, connections.connection_ended()).await;
        }
    }
}

/// Registers a connection, and serves it in a task of its own.
pub fn spawn_connection(listener: &Rc<ListenerState>, stream: TcpStream) {
    let protocol = listener.frontend.protocol;
    let max_head_bytes = if protocol == Protocol::Http { MAX_HEAD_BYTES } else { NO_HEAD_CAPTURE };
    let socket = Socket::for_downstream(stream, max_head_bytes);
    let connection = Rc::new(DownstreamConnection::new(socket.clone()));
    let registration = listener.connections.register(Rc::clone(&connection));
    let listener = Rc::clone(listener);
    spawn_local(async move {
        let _registration = registration;
        match protocol {
            Protocol::Http => http::serve(&listener, &connection, socket).await,
            Protocol::JsonRpc { framing, calls } => {
                rpc::serve(&listener, &connection, socket, framing, calls).await;
            }
        }
    });
}
