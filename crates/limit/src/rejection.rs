//! The rejection of a request or a connection, and its reason.

use std::fmt;

use crate::Micros;

/// The limit that causes a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The limit of the tenant on requests per second.
    Rate,
    /// The fair share of the tenant in the request rate of the process. The tenant may exceed its own share
    /// only by shares that other tenants do not use.
    Share,
    /// The limit or quota of requests in flight.
    InFlight,
    /// The limit on downstream connections.
    Connections,
    /// The limit or quota of bytes of request bodies, by announced length.
    Bodies,
}

impl RejectReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [RejectReason; 5] = [
        RejectReason::Rate,
        RejectReason::Share,
        RejectReason::InFlight,
        RejectReason::Connections,
        RejectReason::Bodies,
    ];

    /// Returns the name of the reason in responses and statistics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Rate => "rate",
            RejectReason::Share => "share",
            RejectReason::InFlight => "in-flight",
            RejectReason::Connections => "connections",
            RejectReason::Bodies => "bodies",
        }
    }
}

/// The rejection of a request or a connection. A rejected request may be retried safely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The limit that was exceeded.
    pub reason: RejectReason,
    /// The time after which a retry may be admitted, in microseconds; 0 if it is unknown.
    pub retry_after: Micros,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rejected by a limit: {}", self.reason.name())
    }
}

impl std::error::Error for Rejection {}
