//! Connections that stay free while a balancer shuts down.
//!
//! Rule: while the balancer accepts no new connections and its clients may have no other balancer to connect
//! to, a request that would take one of the last idle connections is shed. Clients that find no idle
//! connection assume that the balancer has failed, and close the connections that they have, too. More
//! connections stay free for lower priority levels.
//!
//! Inputs: the numbers of idle and of open downstream connections. Bound: a fraction of the open ones.

use crate::{DownstreamConnections, Settings};

/// The number of connections that stay free for the highest priority level; each level below it leaves one
/// more free.
const RESERVED_CONNECTIONS: usize = 3;
/// The divisor of the number of open connections that yields the highest number of reserved ones.
const MAX_RESERVED_DIVISOR: usize = 4;

/// The rule of reserved connections for one balancer.
pub(crate) struct ReservedConnections {
    may_shut_down_alone: bool,
}

impl ReservedConnections {
    /// Creates the rule. It applies only if the fleet is so small that the balancer may shut down alone.
    pub fn new(settings: &Settings) -> Self {
        ReservedConnections { may_shut_down_alone: settings.may_shut_down_alone() }
    }

    /// Whether a request must leave its connection free; `levels_above` is the number of priority levels
    /// above its own.
    pub fn must_stay_free(&self, connections: Option<DownstreamConnections>, levels_above: usize) -> bool {
        let Some(connections) = connections.filter(|_| self.may_shut_down_alone) else { return false };
        let reserved = RESERVED_CONNECTIONS + levels_above;
        connections.idle < reserved.min(connections.open / MAX_RESERVED_DIVISOR)
    }
}

#[cfg(test)]
mod tests;
