//! Accepts connections up to the listener's limit. One connection beyond the limit is accepted, and another
//! is closed to make room for it.

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

/// The pause before accepting again after a failure, and before checking the limit again. Retries without a
/// pause would saturate the CPU.
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
        // Above the limit, new connections wait in the backlog; accepting and dropping one would lose its
        // request.
        while connections.is_over_limit() {
            if connections.stays_over_limit() {
                connections.close_least_recently_used();
            }
            // A new connection becomes a candidate for closing only after a while, and nothing signals that,
            // so the loop checks again after a pause.
            let _ = timeout(ACCEPT_PAUSE, connections.connection_ended()).await;
        }
    }
}

/// Registers a connection and serves it in its own task.
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
