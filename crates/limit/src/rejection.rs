//! Why a request or a connection is rejected.

use std::fmt;

use crate::Micros;

/// The limit that rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The tenant's requests a second.
    Rate,
    /// The tenant's fair share of the process, while other tenants use theirs.
    Share,
    /// Requests in flight.
    InFlight,
    /// Downstream connections.
    Connections,
    /// Bytes of buffered bodies.
    Bodies,
}

impl RejectReason {
    /// All reasons, in the order in which they are declared.
    pub const ALL: [RejectReason; 5] = [
        RejectReason::Rate,
        RejectReason::Share,
        RejectReason::InFlight,
        RejectReason::Connections,
        RejectReason::Bodies,
    ];

    /// The name in responses and statistics.
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

/// A rejected request, which may be retried safely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The limit that was exceeded.
    pub reason: RejectReason,
    /// The time in microseconds after which a retry may be admitted; 0 if that is not known.
    pub retry_after: Micros,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rejected by a limit: {}", self.reason.name())
    }
}

impl std::error::Error for Rejection {}
