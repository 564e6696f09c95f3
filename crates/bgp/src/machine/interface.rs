//! The states, timers, events, actions and settings of the state machine.

use crate::message::Notification;
use crate::Micros;

/// The states of RFC 4271.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum State {
    Idle,
    Connect,
    Active,
    OpenSent,
    OpenConfirm,
    Established,
}

impl State {
    /// Returns the name of the state in RFC 4271.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            State::Idle => "Idle",
            State::Connect => "Connect",
            State::Active => "Active",
            State::OpenSent => "OpenSent",
            State::OpenConfirm => "OpenConfirm",
            State::Established => "Established",
        }
    }
}

/// The timers of RFC 4271 that are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Timer {
    ConnectRetry,
    Hold,
    Keepalive,
    IdleHold,
}

/// An event. The numbers are those of RFC 4271 section 8.1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Start (1 and 3; 4 and 5 for a passive machine).
    Start,
    /// Stop, with the NOTIFICATION to send (2, 8).
    Stop(Notification),
    /// A timer has expired (9, 10, 11, 13).
    TimerExpired(Timer),
    /// The TCP connection is established (16, 17).
    ConnectionEstablished,
    /// The TCP connection could not be established, or has ended (18).
    ConnectionFailed,
    /// A valid OPEN (19).
    OpenReceived {
        /// The negotiated hold time in seconds.
        hold_time_s: u16,
    },
    /// An invalid message header (21).
    HeaderError(Notification),
    /// An invalid OPEN, or one from an unexpected peer (22).
    OpenError(Notification),
    /// Collision detection keeps the other connection to this peer (23).
    CollisionLost,
    /// A NOTIFICATION that the peer does not support this version (24).
    VersionErrorReceived,
    /// Any other NOTIFICATION (25).
    NotificationReceived,
    /// A KEEPALIVE (26).
    KeepaliveReceived,
    /// An UPDATE, or a ROUTE-REFRESH, which is valid in the same states (27).
    UpdateReceived,
    /// An UPDATE with an error that ends the session (28).
    UpdateError(Notification),
}

/// An action to carry out. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a TCP connection.
    Connect,
    /// Send an OPEN.
    SendOpen,
    /// Send a KEEPALIVE.
    SendKeepalive,
    /// Send a NOTIFICATION.
    SendNotification(Notification),
    /// Close the connection once all queued messages are written.
    Close,
    /// The session is established.
    SessionUp,
    /// The established session has ended.
    SessionDown,
}

/// Settings of a state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineSettings {
    /// Whether the machine waits for the peer to connect and never dials.
    pub passive: bool,
    /// The connect retry time in microseconds, which is also the idle hold time after the first failure.
    pub connect_retry_time: Micros,
    /// The maximum idle hold time in microseconds.
    pub max_idle_hold_time: Micros,
}
