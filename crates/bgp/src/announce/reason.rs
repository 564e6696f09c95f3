//! The reasons for the announcement level of an address, with the texts shown to operators.

use std::fmt;

/// The reason for the announcement level of an address. Pools are identified by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateReason {
    /// All pools can serve.
    Ready,
    /// All pools can serve, but the hold-up time is not over.
    HoldUp,
    /// An operator holds the address down.
    HeldByOperator,
    /// The process is shutting down.
    ShuttingDown,
    /// No listener accepts.
    NotAccepting,
    /// The data plane makes no progress.
    DataPlaneStalled,
    /// The process exceeds its memory limit.
    MemoryLimitExceeded,
    /// There is no pool of this name.
    UnknownPool(String),
    /// No endpoint list has been received.
    NoEndpointList(String),
    /// The endpoint list is stale.
    StaleEndpointList(String),
    /// No endpoint is available.
    NoEndpointAvailable(String),
    /// The pool has too little available capacity or too few available endpoints; the number is the available
    /// percentage of the capacity.
    InsufficientCapacity(String, u8),
    /// Enough capacity is available, but part of it is in slow start or has not passed a health check yet.
    WarmingUp(String),
}

impl fmt::Display for StateReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateReason::Ready => write!(f, "ready"),
            StateReason::HoldUp => write!(f, "ready, waiting out its hold-up"),
            StateReason::HeldByOperator => write!(f, "held by an operator"),
            StateReason::ShuttingDown => write!(f, "the process ends"),
            StateReason::NotAccepting => write!(f, "no listener accepts"),
            StateReason::DataPlaneStalled => write!(f, "the data plane does not move on"),
            StateReason::MemoryLimitExceeded => write!(f, "short of memory"),
            StateReason::UnknownPool(pool) => write!(f, "there is no pool `{pool}`"),
            StateReason::NoEndpointList(pool) => write!(f, "pool `{pool}` has had no list of nodes"),
            StateReason::StaleEndpointList(pool) => write!(f, "pool `{pool}` has an old list of nodes"),
            StateReason::NoEndpointAvailable(pool) => write!(f, "pool `{pool}` has no node that answers"),
            StateReason::InsufficientCapacity(pool, percent) => {
                write!(f, "pool `{pool}` has {percent} % of its capacity")
            }
            StateReason::WarmingUp(pool) => write!(f, "pool `{pool}` is not warm, or has not answered yet"),
        }
    }
}
