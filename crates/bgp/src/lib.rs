//! BGP-4 for a speaker that announces addresses and never forwards packets: messages, sessions, and the
//! decision which addresses are announced.
//!
//! The crate does no I/O: it has no sockets and no clock, and its randomness comes from a seed. Times are
//! microseconds of one monotonic clock. [`Peer`] turns the events of connections into actions, and
//! [`Announcer`] decides from the health of pools which addresses are announced. Neither depends on the
//! other; [`Table`] holds the prefixes advertised to a peer.
#![warn(missing_docs)]

mod announce;
mod data_plane;
mod health_check;
mod machine;
mod message;
mod open;
mod peer;
mod table;
mod update;
mod write;

pub use announce::{
    Address, AddressView, AnnouncementLevel, Announcer, Damping, EndpointHealth, PoolHealth, ProcessHealth,
    StateReason, Thresholds, MAX_ADDRESSES,
};
pub use data_plane::{DataPlaneStatus, ListedEndpoint, PoolEndpointList};
pub use health_check::{HealthCheckSettings, HealthChecker};
pub use machine::{Action, Event, Machine, MachineSettings, State, Timer};
pub use message::{parse_header, MessageType, Notification, HEADER_LENGTH, MAX_MESSAGE_LENGTH};
pub use open::Open;
pub use peer::{
    Direction, MessageCounts, NotificationOrigin, NotificationRecord, Peer, PeerAction, PeerInput,
    PeerSettings, PeerView, PrefixCounts,
};
pub use table::{Attributes, EncodingParameters, Table};
pub use update::{scan_update, SessionParameters, UpdateSummary};
pub use write::{keepalive, notification, open_message, updates};

/// A time or a duration in microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
