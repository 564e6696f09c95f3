//! The state of a peer as shown to operators.

use std::net::Ipv4Addr;

use ipnet::IpNet;

use crate::machine::State;
use crate::message::Notification;
use crate::Micros;

/// The numbers of messages by type since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct MessageCounts {
    pub updates: u64,
    pub keepalives: u64,
    pub notifications: u64,
    pub refreshes: u64,
}

/// The numbers of prefixes in UPDATEs of the peer since the start. The prefixes themselves are discarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixCounts {
    /// The number of announced prefixes.
    pub announced: u64,
    /// The number of withdrawn prefixes.
    pub withdrawn: u64,
}

/// The side that sent a NOTIFICATION.
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
    /// When the NOTIFICATION was sent or received.
    pub at: Micros,
    /// The side that sent it.
    pub origin: NotificationOrigin,
    /// The NOTIFICATION.
    pub notification: Notification,
}

/// The state of a peer as shown to operators.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The state of the session: that of the more advanced of the two connections.
    pub state: State,
    /// When that connection entered this state.
    pub since: Micros,
    /// The negotiated hold time in microseconds; 0 before it is negotiated.
    pub hold_time: Micros,
    /// The number of sessions established since the start.
    pub sessions_established: u64,
    /// The peer's BGP identifier, once its OPEN has arrived.
    pub id: Option<Ipv4Addr>,
    /// Whether IPv6 unicast was negotiated.
    pub ipv6: bool,
    /// The received messages.
    pub received: MessageCounts,
    /// The sent messages.
    pub sent: MessageCounts,
    /// The received prefixes.
    pub prefixes: PrefixCounts,
    /// The number of malformed UPDATEs that did not end the session.
    pub malformed_updates: u64,
    /// The last NOTIFICATION that was sent or received, except for the resolution of collisions by this
    /// speaker.
    pub last_notification: Option<NotificationRecord>,
    /// The prefixes announced to the peer.
    pub advertised: Vec<IpNet>,
}
