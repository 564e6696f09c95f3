//! The health of the process and of the pools, and whether a pool can serve an address with given thresholds.
//!
//! Endpoints that fail their health checks count as unavailable, however old the endpoint list is. Unknown
//! health neither withdraws an address nor announces one.

use super::{StateReason, Thresholds};

/// The state of an endpoint according to the endpoint list and its health checks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointHealth {
    /// The capacity, relative to the other endpoints of the pool.
    pub weight: f64,
    /// Whether the endpoint is listed as ready, not as draining.
    pub ready: bool,
    /// Whether the endpoint has completed slow start.
    pub warm: bool,
    /// Whether the endpoint passes its health checks; `None` before the first conclusive result.
    pub healthy: Option<bool>,
}

/// The health of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolHealth {
    /// The endpoints of the last list; `None` before the first list.
    pub endpoints: Option<Vec<EndpointHealth>>,
    /// Whether the list is older than its maximum age.
    pub stale: bool,
}

/// The health of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessHealth {
    /// Whether the listeners accept connections.
    pub accepting: bool,
    /// Whether the data plane makes progress.
    pub alive: bool,
    /// Whether the process exceeds its memory limit.
    pub memory_limit_exceeded: bool,
}

impl ProcessHealth {
    /// Returns the reason why the process cannot serve, if it cannot.
    pub(super) fn fault(self) -> Option<StateReason> {
        match self {
            ProcessHealth { alive: false, .. } => Some(StateReason::DataPlaneStalled),
            ProcessHealth { accepting: false, .. } => Some(StateReason::NotAccepting),
            ProcessHealth { memory_limit_exceeded: true, .. } => Some(StateReason::MemoryLimitExceeded),
            _ => None,
        }
    }
}

/// An assessment of whether an address can be served.
pub(super) enum Assessment {
    /// It cannot be served, so it is withdrawn.
    Unavailable(StateReason),
    /// It is not certain whether it can be served, so it keeps its level.
    Unconfirmed(StateReason),
    /// It can be served with this fraction of the capacity, from 0 to 1.
    Available(f64),
}

impl Assessment {
    /// Returns the worse of two assessments, the first if both are equally bad.
    pub(super) fn worse(self, other: Assessment) -> Assessment {
        use Assessment::{Available, Unavailable, Unconfirmed};
        match (self, other) {
            (Unavailable(reason), _) | (_, Unavailable(reason)) => Unavailable(reason),
            (Unconfirmed(reason), _) | (_, Unconfirmed(reason)) => Unconfirmed(reason),
            (Available(one), Available(two)) => Available(one.min(two)),
        }
    }
}

/// The total weight and the number of some endpoints of a pool.
#[derive(Clone, Copy)]
struct Capacity {
    weight: f64,
    count: usize,
}

impl Capacity {
    fn of<'a>(endpoints: impl Iterator<Item = &'a EndpointHealth>) -> Capacity {
        let none = Capacity { weight: 0.0, count: 0 };
        endpoints.fold(none, |sum, endpoint| Capacity {
            weight: sum.weight + endpoint.weight.max(0.0),
            count: sum.count + 1,
        })
    }

    /// Returns the weight as a fraction of the total weight, from 0 to 1.
    fn fraction_of(self, total: Capacity) -> f64 {
        if total.weight > 0.0 {
            self.weight / total.weight
        } else {
            0.0
        }
    }
}

/// Assesses whether the pool of this name can serve an address with these thresholds.
pub(super) fn assess(pool: &str, health: &PoolHealth, thresholds: &Thresholds) -> Assessment {
    let Some(endpoints) = &health.endpoints else {
        // This is the case after a reload, for example. An address that was announced before it stays
        // announced.
        return Assessment::Unconfirmed(StateReason::NoEndpointList(pool.to_owned()));
    };
    // A stale list does not show which endpoints are ready now, but the health checks still show which
    // respond.
    let is_available = |e: &&EndpointHealth| (e.ready || health.stale) && e.healthy != Some(false);
    let is_confirmed = |e: &&EndpointHealth| e.ready && e.warm && e.healthy == Some(true);
    let total = Capacity::of(endpoints.iter());
    let available = Capacity::of(endpoints.iter().filter(is_available));
    let confirmed = Capacity::of(endpoints.iter().filter(is_confirmed));
    let available_fraction = available.fraction_of(total);
    let min_endpoints = thresholds.min_endpoints.max(1);
    let suffices = |capacity: Capacity, min_fraction: f64| {
        capacity.fraction_of(total) >= min_fraction && capacity.count >= min_endpoints
    };
    let insufficient =
        || StateReason::InsufficientCapacity(pool.to_owned(), (available_fraction * 100.0) as u8);
    if available.count == 0 {
        return Assessment::Unavailable(StateReason::NoEndpointAvailable(pool.to_owned()));
    }
    if !suffices(available, thresholds.withdraw) {
        return Assessment::Unavailable(insufficient());
    }
    if health.stale {
        return Assessment::Unconfirmed(StateReason::StaleEndpointList(pool.to_owned()));
    }
    if suffices(confirmed, thresholds.announce) {
        // The available fraction, not the confirmed one, so that an endpoint in slow start does not degrade
        // the address.
        return Assessment::Available(available_fraction);
    }
    if suffices(available, thresholds.announce) {
        return Assessment::Unconfirmed(StateReason::WarmingUp(pool.to_owned()));
    }
    Assessment::Unconfirmed(insufficient())
}
