//! The UDP socket over which the proxies of a tier exchange gossip, if the settings enable it.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use crate::inbox::DriverHandle;

/// The maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;

/// The gossip socket with the addresses of the peers.
pub struct GossipSocket {
    socket: UdpSocket,
    peers_by_rank: Vec<SocketAddr>,
}

impl GossipSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// Returns a one-line message with the address and the cause if the address cannot be bound.
    pub async fn bind(listen: SocketAddr, peers_by_rank: Vec<SocketAddr>) -> Result<GossipSocket, String> {
        let socket = UdpSocket::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
        Ok(GossipSocket { socket, peers_by_rank })
    }

    /// Sends a message to the peer of this rank. The message is dropped if it is too large or cannot be sent
    /// at once, and may be lost on the way.
    pub fn send(&self, rank: u32, message: &[u8]) {
        let Some(peer) = self.peers_by_rank.get(rank as usize) else { return };
        if message.len() <= MAX_MESSAGE_BYTES {
            let _ = self.socket.try_send_to(message, *peer);
        }
    }

    /// Passes received messages on to the driver, for as long as it is polled. Messages that are not from a
    /// peer or are too large are ignored.
    pub async fn receive(&self, driver: DriverHandle) {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            // An error here results from an earlier message to a peer that is down.
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else { continue };
            let rank = self.peers_by_rank.iter().position(|peer| *peer == sender);
            if let (Some(rank), true) = (rank, length <= MAX_MESSAGE_BYTES) {
                driver.gossip_received(rank as u32, buffer[..length].to_vec());
            }
        }
    }
}
