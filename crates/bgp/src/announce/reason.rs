//! Why an address is announced as it is, with the texts that operators read.

use std::fmt;

/// Why an address is in its state. Pools are given by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateReason {
    /// All pools can serve.
    Ready,
    /// All pools can serve, but not yet for the hold-up time.
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
    /// Too little capacity is available, in percent.
    InsufficientCapacity(String, u8),
    /// Enough is available, but is in slow start or has not passed a health check yet.
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
            StateReason::InsufficientCapacity(pool, part) => {
                write!(f, "pool `{pool}` has {part} % of its capacity")
            }
            StateReason::WarmingUp(pool) => write!(f, "pool `{pool}` is not warm, or has not answered yet"),
        }
    }
}
