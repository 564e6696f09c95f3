//! BGP-4 as a speaker that announces addresses and never forwards: messages, sessions, what is announced and when.
//!
//! Pure: no sockets, no clock, no randomness but from a seed. Times are microseconds of one monotonic clock. What the
//! wire brings goes into [`Peer`], what is known of pools into [`Announcer`]; both append what is to be done.
//!
//! What a session is may not know what an address is, and the other way round: [`Table`] stands between them.
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
    StateReason, Thresholds, MOST_ADDRESSES,
};
pub use data_plane::{DataPlaneStatus, ListedEndpoint, PoolEndpointList};
pub use health_check::{HealthCheckSettings, HealthChecker};
pub use machine::{Action, Event, Machine, MachineSettings, State, Timer};
pub use message::{frame, Kind, Notification, HEADER, MOST_MESSAGE};
pub use open::Open;
pub use peer::{
    Counts, Direction, Input, NotificationOrigin, NotificationRecord, Peer, PeerAction, PeerSettings,
    PeerView, PrefixCounts,
};

pub use table::{Attributes, Speaker, Table};
pub use update::{scan, SessionParameters, UpdateSummary};
pub use write::{keepalive, notification, open_message, updates};

/// Microseconds.
pub type Micros = i64;

/// A second.
pub const SECOND: Micros = 1_000_000;
