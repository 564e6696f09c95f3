//! Decoded BGP messages.

use std::net::{IpAddr, Ipv4Addr};

/// An address and the number of its significant bits.
pub type Prefix = (IpAddr, u8);

/// The content of an UPDATE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    pub withdrawn: Vec<Prefix>,
    pub announced: Vec<Prefix>,
    pub path: Vec<u32>,
    pub next_hop: Option<IpAddr>,
    pub med: Option<u32>,
    pub local_pref: Option<u32>,
    pub communities: Vec<u32>,
    pub large_communities: Vec<[u32; 3]>,
}

/// A received message, or the end of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BgpMessage {
    Open {
        asn: u32,
        /// In seconds.
        hold_time: u16,
        id: Ipv4Addr,
        /// Code and value of each.
        capabilities: Vec<(u8, Vec<u8>)>,
    },
    Routes(Routes),
    Notification {
        code: u8,
        subcode: u8,
        data: Vec<u8>,
    },
    Keepalive,
    /// A message of another type.
    Other(u8),
    ConnectionClosed,
}
