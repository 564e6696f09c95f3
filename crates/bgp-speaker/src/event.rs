//! What the speaker's own tasks report to its event loop.

use std::net::SocketAddr;

use bgp::Direction;
use tokio::net::TcpStream;

use crate::connection::ConnectionEvent;

/// Identifies a dial or a connection, so that reports of one that was replaced can be ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// A report of a task.
pub enum Event {
    /// A dial has completed.
    Dialed {
        /// The peer's name.
        peer: String,
        /// Which dial.
        id: ConnectionId,
        /// The connection, or why there is none.
        result: std::io::Result<TcpStream>,
    },
    /// A connection reports something.
    Connection {
        /// The peer's name.
        peer: String,
        /// Who opened it.
        direction: Direction,
        /// Which connection.
        id: ConnectionId,
        /// What happened.
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
