//! The settings of an announced address, and its state as shown to operators.

use ipnet::IpNet;

use super::StateReason;
use crate::table::Attributes;
use crate::Micros;

/// The conditions for announcing an address. Fractions are of a pool's capacity, from 0 to 1. An endpoint is
/// available if it is listed as ready and is not unhealthy; the listed state is ignored if the list is stale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// The address is announced if at least this fraction is ready, past slow start and healthy.
    pub announce: f64,
    /// The address is withdrawn if less than this fraction is available; at most `announce`.
    pub withdraw: f64,
    /// The address is announced as degraded if less than this fraction is available. Values up to `withdraw`,
    /// such as 0, have no effect.
    pub degrade: f64,
    /// The minimum number of endpoints, both for announcing an address and for keeping it announced.
    pub min_endpoints: usize,
}

/// The settings of route flap damping. Durations are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damping {
    /// The hold-up time without flaps: how long all pools must be ready without interruption before the
    /// address is announced.
    pub hold_up: Micros,
    /// The maximum hold-up time after flaps.
    pub max_hold_up: Micros,
    /// The half-life of the penalty that flaps add.
    pub half_life: Micros,
}

/// An address that can be announced.
#[derive(Clone, Debug, PartialEq)]
pub struct Address {
    /// The prefix.
    pub prefix: IpNet,
    /// The names of the pools, all of which must be able to serve.
    pub pools: Vec<String>,
    /// The thresholds at which a pool can serve.
    pub thresholds: Thresholds,
    /// Route flap damping.
    pub damping: Damping,
    /// The path attributes.
    pub attributes: Attributes,
    /// The path attributes while the address is degraded.
    pub degraded: Attributes,
}

/// How an address is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementLevel {
    /// Not announced.
    Withdrawn,
    /// Announced with the attributes of a degraded address.
    Degraded,
    /// Announced with the normal attributes.
    Normal,
    /// Announced with the community GRACEFUL_SHUTDOWN (RFC 8326) before it is withdrawn.
    GracefulShutdown,
}

impl AnnouncementLevel {
    /// Returns the name that is shown to operators.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            AnnouncementLevel::Withdrawn => "withdrawn",
            AnnouncementLevel::Degraded => "degraded",
            AnnouncementLevel::Normal => "announced",
            AnnouncementLevel::GracefulShutdown => "leaving",
        }
    }
}

/// The state of an address, as shown to operators.
#[derive(Clone, Debug)]
pub struct AddressView {
    /// The prefix.
    pub prefix: IpNet,
    /// The level at which the address is announced.
    pub level: AnnouncementLevel,
    /// The reason for the level.
    pub reason: StateReason,
    /// When the address entered this level.
    pub since: Micros,
    /// The number of withdrawals since the start because the address could not be served.
    pub flaps: u64,
    /// The hold-up time that would apply now.
    pub hold_up: Micros,
    /// When the hold-up time of a withdrawn address began; `None` if it is not running.
    pub ready_since: Option<Micros>,
}
