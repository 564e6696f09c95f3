//! BGP-4 for a speaker that announces addresses and never forwards: messages, sessions, and the decisions which addresses
//! are announced.
//!
//! Without I/O: no sockets, no clock, and randomness only from a seed. Times are microseconds of one monotonic clock.
//! [`Peer`] takes what connections report and returns actions, [`Announcer`] takes the health of pools and decides what is
//! announced. Neither depends on the other; [`Table`] holds what is advertised.
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
    Counts, Direction, Input, NotificationOrigin, NotificationRecord, Peer, PeerAction, PeerSettings,
    PeerView, PrefixCounts,
};

pub use table::{Attributes, Speaker, Table};
pub use update::{scan, SessionParameters, UpdateSummary};
pub use write::{keepalive, notification, open_message, updates};

/// A time or a span in microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
