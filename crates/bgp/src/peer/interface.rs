//! The inputs, actions and settings of a peer.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use crate::machine::MachineSettings;
use crate::message::{MessageType, Notification};

/// The side that opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// This speaker.
    Outbound,
    /// The peer.
    Inbound,
}

/// Both directions.
pub(super) const DIRECTIONS: [Direction; 2] = [Direction::Outbound, Direction::Inbound];

impl Direction {
    /// Returns the opposite direction.
    pub(super) fn opposite(self) -> Direction {
        match self {
            Direction::Outbound => Direction::Inbound,
            Direction::Inbound => Direction::Outbound,
        }
    }
}

/// An input to the session of a peer.
#[derive(Clone, Debug)]
pub enum PeerInput<'a> {
    /// Start the session.
    Start,
    /// Stop the session with this NOTIFICATION.
    Stop(Notification),
    /// A TCP connection is established; the address is the local one of the connection.
    Connected(Direction, IpAddr),
    /// A TCP connection could not be established, or has ended.
    Failed(Direction),
    /// A message, without its header.
    Message(Direction, MessageType, &'a [u8]),
    /// An invalid message header, with the NOTIFICATION to send.
    HeaderError(Direction, Notification),
}

/// An action to carry out. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Open a TCP connection to the peer.
    Connect,
    /// Write these octets to the connection.
    Write(Direction, Vec<u8>),
    /// Close the connection once all queued messages are written.
    Close(Direction),
    /// Write a line to the log.
    Log(String),
}

/// Settings of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// The local AS number.
    pub asn: u32,
    /// The local BGP identifier.
    pub id: Ipv4Addr,
    /// The peer's AS number.
    pub peer_asn: u32,
    /// The proposed hold time in seconds; at least 3.
    pub hold_s: u16,
    /// The next hop of IPv4 prefixes; by default the local address of the connection.
    pub next_hop_v4: Option<Ipv4Addr>,
    /// The next hop of IPv6 prefixes; by default the local address of the connection.
    pub next_hop_v6: Option<Ipv6Addr>,
    /// Settings of the state machines.
    pub machine: MachineSettings,
}
