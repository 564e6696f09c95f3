//! The UDP socket over which the proxies of a tier exchange gossip, where the settings allow it.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use crate::inbox::DriverHandle;

/// The largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;

/// The socket, and the addresses of the peers.
pub struct GossipSocket {
    socket: UdpSocket,
    peers_by_rank: Vec<SocketAddr>,
}

impl GossipSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// The address cannot be bound: the reason, in a line.
    pub async fn bind(listen: SocketAddr, peers_by_rank: Vec<SocketAddr>) -> Result<GossipSocket, String> {
        let socket = UdpSocket::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
        Ok(GossipSocket { socket, peers_by_rank })
    }

    /// Sends a message to the peer of this rank. It may be lost, and is where it cannot be sent at once.
    pub fn send(&self, rank: u32, message: &[u8]) {
        let Some(peer) = self.peers_by_rank.get(rank as usize) else { return };
        if message.len() <= MAX_MESSAGE_BYTES {
            let _ = self.socket.try_send_to(message, *peer);
        }
    }

    /// Passes messages on for as long as it is polled; those that are not from a peer are ignored.
    pub async fn receive(&self, driver: DriverHandle) {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            // An error tells of a message sent to a peer that is down.
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else { continue };
            let rank = self.peers_by_rank.iter().position(|peer| *peer == sender);
            if let (Some(rank), true) = (rank, length <= MAX_MESSAGE_BYTES) {
                driver.gossip_received(rank as u32, buffer[..length].to_vec());
            }
        }
    }
}
