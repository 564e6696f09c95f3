//! The state of a peer as operators read it.

use std::net::Ipv4Addr;

use ipnet::IpNet;

use crate::machine::State;
use crate::message::Notification;
use crate::Micros;

/// Messages by type, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Counts {
    pub updates: u64,
    pub keepalives: u64,
    pub notifications: u64,
    pub refreshes: u64,
}

/// Prefixes in UPDATEs of the peer, since the start. They are counted and discarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixCounts {
    /// Prefixes announced.
    pub announced: u64,
    /// Prefixes withdrawn.
    pub withdrawn: u64,
}

/// Who sent a NOTIFICATION.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationOrigin {
    /// This speaker.
    Sent,
    /// The peer.
    Received,
}

/// A NOTIFICATION that ended a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotificationRecord {
    /// When it was sent or received.
    pub at: Micros,
    /// Who sent it.
    pub origin: NotificationOrigin,
    /// What it says.
    pub notification: Notification,
}

/// The state of a peer.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The state of the connection that has progressed further.
    pub state: State,
    /// When it entered this state.
    pub since: Micros,
    /// The negotiated hold time in microseconds; 0 without one.
    pub hold_time: Micros,
    /// Sessions established since the start.
    pub sessions_established: u64,
    /// The peer's BGP identifier, once its OPEN has arrived.
    pub id: Option<Ipv4Addr>,
    /// IPv6 unicast was negotiated.
    pub ipv6: bool,
    /// Messages received.
    pub received: Counts,
    /// Messages sent.
    pub sent: Counts,
    /// Prefixes received.
    pub prefixes: PrefixCounts,
    /// Malformed UPDATEs that did not end the session.
    pub malformed_updates: u64,
    /// The last NOTIFICATION.
    pub last_notification: Option<NotificationRecord>,
    /// The prefixes announced to the peer.
    pub advertised: Vec<IpNet>,
}
