//! Addresses without a listener.

use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

/// The number of connections that the kernel queues for a listener.
const BACKLOG: i32 = 128;

/// Returns an address without a listener.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound")
}

/// A port that is bound and refuses connections until it is opened.
pub struct ReservedPort(Socket);

impl ReservedPort {
    /// Binds a port.
    ///
    /// # Panics
    /// If no port is available.
    #[must_use]
    pub fn new() -> ReservedPort {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        ReservedPort(socket)
    }

    /// Returns the address of the port.
    ///
    /// # Panics
    /// If the socket has no address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("bound").as_socket().expect("an address")
    }

    /// Starts to accept connections.
    ///
    /// # Panics
    /// If the socket cannot listen.
    #[must_use]
    pub fn open(self) -> TcpListener {
        self.0.listen(BACKLOG).expect("listens");
        self.0.into()
    }
}

impl Default for ReservedPort {
    fn default() -> Self {
        ReservedPort::new()
    }
}
