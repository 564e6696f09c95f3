//! Connections that stay free while a balancer shuts down.
//!
//! Rule: where callers may have nowhere else to go, and get no new connections here, a request that would
//! take one of the last free ones is shed. Callers that find none free take the balancer for dead, and leave
//! the connections that they have, too. More stay free for lower priority levels.
//!
//! Inputs: the caller's idle and open connections. Bound: a part of the open ones.

use crate::{DownstreamConnections, Settings};

/// Connections that stay free for the highest priority level; each level under it leaves one more.
const RESERVED_CONNECTIONS: usize = 3;
/// But at most one in this many of the open connections.
const MAX_RESERVED_DIVISOR: usize = 4;

/// Whether this balancer reserves connections.
pub(crate) struct ReservedConnections {
    may_shut_down_alone: bool,
}

impl ReservedConnections {
    /// The rule as the number of balancers asks for it.
    pub fn new(settings: &Settings) -> Self {
        ReservedConnections { may_shut_down_alone: settings.may_shut_down_alone() }
    }

    /// Must a request with so many priority levels above it leave its connection free?
    pub fn must_stay_free(&self, connections: Option<DownstreamConnections>, levels_above: usize) -> bool {
        let Some(connections) = connections.filter(|_| self.may_shut_down_alone) else { return false };
        let reserved = RESERVED_CONNECTIONS + levels_above;
        connections.idle < reserved.min(connections.open / MAX_RESERVED_DIVISOR)
    }
}

#[cfg(test)]
mod tests;
