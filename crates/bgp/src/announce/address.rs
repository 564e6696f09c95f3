//! The settings of an announced address, and the state that operators read.

use ipnet::IpNet;

use super::StateReason;
use crate::table::Attributes;
use crate::Micros;

/// Parts of a pool's capacity, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Announced if at least this part is ready, past slow start and healthy.
    pub announce: f64,
    /// Withdrawn if less than this part is available; at most `announce`.
    pub withdraw: f64,
    /// Announced as degraded if less than this part is available; at least `withdraw`. Never with 0.
    pub degrade: f64,
    /// The least number of endpoints, to announce and not to withdraw.
    pub min_endpoints: usize,
}

/// Route flap damping, with times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damping {
    /// The hold-up time: ready without a break for this long before the address is announced.
    pub hold_up: Micros,
    /// The longest hold-up time after flaps.
    pub max_hold_up: Micros,
    /// The half-life of the penalty of flaps.
    pub half_life: Micros,
}

/// An address that can be announced.
#[derive(Clone, Debug, PartialEq)]
pub struct Address {
    /// The prefix.
    pub prefix: IpNet,
    /// The names of the pools, all of which must be able to serve.
    pub pools: Vec<String>,
    /// When a pool can serve.
    pub thresholds: Thresholds,
    /// Route flap damping.
    pub damping: Damping,
    /// The path attributes.
    pub attributes: Attributes,
    /// The path attributes while it is degraded.
    pub degraded: Attributes,
}

/// How an address is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementLevel {
    /// Not at all.
    Withdrawn,
    /// With the attributes of a degraded address.
    Degraded,
    /// With its normal attributes.
    Normal,
    /// With the community GRACEFUL_SHUTDOWN, before it is withdrawn.
    GracefulShutdown,
}

impl AnnouncementLevel {
    /// Its name for operators.
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

/// The state of an address.
#[derive(Clone, Debug)]
pub struct AddressView {
    /// The prefix.
    pub prefix: IpNet,
    /// How it is announced.
    pub level: AnnouncementLevel,
    /// Why.
    pub reason: StateReason,
    /// When it entered this level.
    pub since: Micros,
    /// Withdrawals because it could not serve, since the start.
    pub flaps: u64,
    /// The hold-up time that would apply now.
    pub hold_up: Micros,
    /// Since when it has been ready, while its hold-up time runs.
    pub ready_since: Option<Micros>,
}
