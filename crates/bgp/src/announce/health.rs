//! The health of the process and of the pools, and whether a pool can serve an address with given thresholds.
//!
//! Endpoints that fail their health checks count as unavailable, however old the endpoint list is. What is unknown
//! neither withdraws an address nor announces one.

use super::{StateReason, Thresholds};

/// An endpoint, as it is listed and as its health checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointHealth {
    /// Its capacity, relative to the other endpoints of the pool.
    pub weight: f64,
    /// It is listed as ready, not as draining.
    pub ready: bool,
    /// It has completed slow start.
    pub warm: bool,
    /// Whether it passes its health checks; none before the first result.
    pub healthy: Option<bool>,
}

/// What is known of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolHealth {
    /// The endpoints of the last list; none before there was one.
    pub endpoints: Option<Vec<EndpointHealth>>,
    /// The list is older than it may be.
    pub stale: bool,
}

/// What is known of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessHealth {
    /// Its listeners accept.
    pub accepting: bool,
    /// Its data plane makes progress.
    pub alive: bool,
    /// It exceeds its memory limit.
    pub memory_full: bool,
}

impl ProcessHealth {
    /// Why the process cannot serve, if it cannot.
    pub(super) fn fault(self) -> Option<StateReason> {
        match self {
            ProcessHealth { alive: false, .. } => Some(StateReason::DataPlaneStalled),
            ProcessHealth { accepting: false, .. } => Some(StateReason::NotAccepting),
            ProcessHealth { memory_full: true, .. } => Some(StateReason::MemoryLimitExceeded),
            _ => None,
        }
    }
}

/// Whether an address can be served.
pub(super) enum Assessment {
    /// It cannot: the address is withdrawn.
    Unavailable(StateReason),
    /// Not known for sure: the address stays as it is.
    Unconfirmed(StateReason),
    /// It can, with this part of the capacity, from 0 to 1.
    Available(f64),
}

impl Assessment {
    /// The worse of two; the first where both are equally bad.
    pub(super) fn worse(self, other: Assessment) -> Assessment {
        use Assessment::{Available, Unavailable, Unconfirmed};
        match (self, other) {
            (Unavailable(reason), _) | (_, Unavailable(reason)) => Unavailable(reason),
            (Unconfirmed(reason), _) | (_, Unconfirmed(reason)) => Unconfirmed(reason),
            (Available(one), Available(two)) => Available(one.min(two)),
        }
    }
}

/// Weight and number of some endpoints of a pool.
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

    /// The part of the total weight, from 0 to 1.
    fn fraction_of(self, total: Capacity) -> f64 {
        if total.weight > 0.0 {
            self.weight / total.weight
        } else {
            0.0
        }
    }
}

/// Whether the pool of this name can serve an address with these thresholds.
pub(super) fn assess(pool: &str, health: &PoolHealth, thresholds: &Thresholds) -> Assessment {
    let Some(endpoints) = &health.endpoints else {
        // After a reload, for instance; what was announced before it stays announced.
        return Assessment::Unconfirmed(StateReason::NoEndpointList(pool.to_owned()));
    };
    // A stale list does not say which endpoints are ready; the health checks still say which answer.
    let is_available = |e: &&EndpointHealth| (e.ready || health.stale) && e.healthy != Some(false);
    let is_confirmed = |e: &&EndpointHealth| e.ready && e.warm && e.healthy == Some(true);
    let total = Capacity::of(endpoints.iter());
    let available = Capacity::of(endpoints.iter().filter(is_available));
    let confirmed = Capacity::of(endpoints.iter().filter(is_confirmed));
    let available_fraction = available.fraction_of(total);
    let least_endpoints = thresholds.min_endpoints.max(1);
    let suffices = |capacity: Capacity, least_fraction: f64| {
        capacity.fraction_of(total) >= least_fraction && capacity.count >= least_endpoints
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
        // By what is available: a single endpoint in slow start does not degrade the address.
        return Assessment::Available(available_fraction);
    }
    if suffices(available, thresholds.announce) {
        return Assessment::Unconfirmed(StateReason::WarmingUp(pool.to_owned()));
    }
    Assessment::Unconfirmed(insufficient())
}
