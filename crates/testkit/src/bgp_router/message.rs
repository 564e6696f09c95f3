//! Decoded BGP messages.

use std::net::{IpAddr, Ipv4Addr};

/// An address and the number of its significant bits.
pub type Prefix = (IpAddr, u8);

/// The content of an UPDATE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    /// Prefixes that are no longer reachable.
    pub withdrawn: Vec<Prefix>,
    /// Prefixes announced with the attributes of this UPDATE.
    pub announced: Vec<Prefix>,
    /// AS_PATH, without segment types.
    pub path: Vec<u32>,
    /// NEXT_HOP, of either address family.
    pub next_hop: Option<IpAddr>,
    /// MULTI_EXIT_DISC.
    pub med: Option<u32>,
    /// LOCAL_PREF.
    pub local_pref: Option<u32>,
    /// COMMUNITIES.
    pub communities: Vec<u32>,
    /// LARGE_COMMUNITIES.
    pub large_communities: Vec<[u32; 3]>,
}

/// A received message, or the end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BgpMessage {
    /// An OPEN.
    Open {
        /// The AS number: that of the four-octet capability, if there is one, else the two-octet one.
        asn: u32,
        /// The hold time in seconds.
        hold_time: u16,
        /// The BGP identifier.
        id: Ipv4Addr,
        /// The code and value of each capability.
        capabilities: Vec<(u8, Vec<u8>)>,
    },
    /// An UPDATE.
    Routes(Routes),
    /// A NOTIFICATION.
    Notification { code: u8, subcode: u8, data: Vec<u8> },
    /// A KEEPALIVE.
    Keepalive,
    /// A message of another type.
    Other(u8),
    /// The peer of the router closed the connection.
    ConnectionClosed,
}
