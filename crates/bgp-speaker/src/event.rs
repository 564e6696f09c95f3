//! The events that the tasks of the speaker send to its event loop.

use std::net::SocketAddr;

use bgp::Direction;
use tokio::net::TcpStream;

use crate::connection::ConnectionEvent;

/// Identifies a dial or a connection, so that events of one that was replaced can be ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// An event of a task.
pub enum Event {
    /// A dial has completed.
    Dialed {
        /// The peer's name.
        peer: String,
        /// The dial.
        id: ConnectionId,
        /// The connection, or the error of the dial.
        result: std::io::Result<TcpStream>,
    },
    /// A connection reports something.
    Connection {
        /// The peer's name.
        peer: String,
        /// The side that opened the connection.
        direction: Direction,
        /// The connection.
        id: ConnectionId,
        /// The event of the connection.
        event: ConnectionEvent,
    },
    /// A health check has completed.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: SocketAddr,
        /// Whether it passed.
        healthy: bool,
    },
}
