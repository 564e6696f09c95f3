//! The settings of the simulated proxies.

use decide::{Class, Micros, Semantics, Settings};
use membership::{DiscoveryMode, LeaseTerms, WatchPolicy};

use crate::endpoint::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW};
use crate::{Fleet, MILLISECOND, SECOND};

/// The latency objective of all requests.
pub const LATENCY_OBJECTIVE: Micros = SECOND;
/// The deadline of all requests.
pub const DEADLINE: Micros = 2_500 * MILLISECOND;
/// The time after a drain counts as notified within which forwarding must end.
pub const DRAIN_GRACE: Micros = 500 * MILLISECOND;
/// The time before the end of the drain grace at which forwarding ends.
const DRAIN_MARGIN: Micros = 150 * MILLISECOND;
/// The maximum time between polls, as set by the platform.
const MAX_POLL_INTERVAL: Micros = 10 * SECOND;

/// Returns the settings of the balancer of this rank.
pub fn balancer_settings(fleet: &Fleet, rank: usize) -> Settings {
    let class = |priority_weight: f64, semantics| Class {
        latency_objective: LATENCY_OBJECTIVE,
        deadline: DEADLINE,
        priority_weight,
        late_answer_value: 0.0,
        semantics,
    };
    Settings {
        balancers: fleet.proxies as u32,
        rank: rank as u32,
        tiers: 1,
        classes: vec![class(12.0, Semantics::Idempotent), class(1.0, Semantics::AtMostOnce)],
        poll_discovery: true,
        max_poll_interval: MAX_POLL_INTERVAL,
        can_cancel: true,
        hedging_allowed: true,
        max_attempts: 3,
        timer_resolution: 5 * MILLISECOND,
        slow_start_min_capacity: fleet.slow_start_min_capacity,
        slow_start_duration: fleet.announced_slow_start,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_window: OVERLOAD_WINDOW,
        ..Settings::default()
    }
}

/// Returns the policy by which the proxies watch discovery.
pub fn watch_policy() -> WatchPolicy {
    let terms = LeaseTerms {
        drain_grace: DRAIN_GRACE,
        margin: DRAIN_MARGIN,
        max_suspension: 4 * MAX_POLL_INTERVAL,
        presumed_outage: MAX_POLL_INTERVAL * 4 / 5,
    };
    WatchPolicy { mode: DiscoveryMode::Polled, lease: Some(terms) }
}
