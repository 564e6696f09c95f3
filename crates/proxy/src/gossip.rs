//! Short messages between the proxies of a tier, where the settings allow them.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use crate::inbox::DriverHandle;

/// The longest message, in bytes.
const MOST_MESSAGE: usize = 256;

pub struct GossipSocket {
    socket: UdpSocket,
    /// By rank.
    addresses: Vec<SocketAddr>,
}

impl GossipSocket {
    pub async fn bind(listen: SocketAddr, addresses: Vec<SocketAddr>) -> Result<GossipSocket, String> {
        let socket = UdpSocket::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
        Ok(GossipSocket { socket, addresses })
    }

    /// Sends a message, which may be lost; one that cannot go at once is.
    pub fn send(&self, to: u32, message: &[u8]) {
        if let Some(address) = self.addresses.get(to as usize).filter(|_| message.len() <= MOST_MESSAGE) {
            let _ = self.socket.try_send_to(message, *address);
        }
    }

    /// Hands messages on for as long as it is polled; those that no peer sent are passed over.
    pub async fn receive(&self, handle: DriverHandle) {
        let mut buffer = [0; MOST_MESSAGE + 1];
        loop {
            // An error here speaks of a message sent to a peer that is down.
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else { continue };
            let rank = self.addresses.iter().position(|a| *a == sender);
            if let (Some(rank), true) = (rank, length <= MOST_MESSAGE) {
                handle.gossip_received(rank as u32, buffer[..length].to_vec());
            }
        }
    }
}
