//! Schedules the active health checks of endpoints, and determines from their results which endpoints are
//! healthy.
//!
//! Each endpoint is checked at an interval, sooner after a failure, and is unhealthy after a number of
//! consecutive failures. Whenever an endpoint becomes unhealthy, some others are checked at once, so that a
//! fault of many endpoints is detected in little more time than a fault of one.
//!
//! Times are in microseconds. Memory is bounded by the number of endpoints and of checks in flight.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Micros;

/// Settings of health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCheckSettings {
    /// The time between two checks of an endpoint. It is shorter after a failure that does not yet make the
    /// endpoint unhealthy.
    pub interval: Micros,
    /// The duration after which a check fails.
    pub timeout: Micros,
    /// Consecutive failures after which an endpoint is unhealthy; at least 1.
    pub unhealthy_threshold: u32,
    /// The maximum number of checks in flight; at least 1.
    pub max_in_flight: usize,
}

impl HealthCheckSettings {
    fn in_flight_limit(&self) -> usize {
        self.max_in_flight.max(1)
    }
}

/// After a failure that is not yet conclusive, the next check is due after the interval divided by this.
const RECHECK_DIVISOR: Micros = 4;

#[derive(Clone, Copy, Debug)]
struct EndpointState {
    /// When the next check of the endpoint is due.
    due: Micros,
    in_flight: bool,
    consecutive_failures: u32,
    healthy: Option<bool>,
}

impl EndpointState {
    fn new(now: Micros) -> EndpointState {
        EndpointState { due: now, in_flight: false, consecutive_failures: 0, healthy: None }
    }
}

/// The health checks of all endpoints that announced addresses depend on.
#[derive(Clone, Debug)]
pub struct HealthChecker {
    settings: HealthCheckSettings,
    endpoints: BTreeMap<SocketAddr, EndpointState>,
    in_flight: usize,
}

impl HealthChecker {
    /// Creates a health checker without endpoints.
    #[must_use]
    pub fn new(settings: HealthCheckSettings) -> HealthChecker {
        HealthChecker { settings, endpoints: BTreeMap::new(), in_flight: 0 }
    }

    /// Replaces the settings.
    pub fn update_settings(&mut self, settings: HealthCheckSettings) {
        self.settings = settings;
    }

    /// Replaces the endpoints. Those already present keep their state; checks of new ones are due at once.
    pub fn set_endpoints(&mut self, now: Micros, addresses: impl Iterator<Item = SocketAddr>) {
        let mut previous = std::mem::take(&mut self.endpoints);
        for address in addresses {
            // An address may be listed by more than one pool.
            let known = previous.remove(&address).or_else(|| self.endpoints.get(&address).copied());
            self.endpoints.insert(address, known.unwrap_or_else(|| EndpointState::new(now)));
        }
        self.in_flight = self.endpoints.values().filter(|endpoint| endpoint.in_flight).count();
    }

    /// Returns whether an endpoint is healthy; `None` before the first conclusive result.
    #[must_use]
    pub fn is_healthy(&self, address: &SocketAddr) -> Option<bool> {
        self.endpoints.get(address).and_then(|endpoint| endpoint.healthy)
    }

    /// Returns when the next check is due; `None` while the maximum number of checks is in flight.
    #[must_use]
    pub fn next_check(&self) -> Option<Micros> {
        if self.in_flight >= self.settings.in_flight_limit() {
            return None;
        }
        let idle = self.endpoints.values().filter(|endpoint| !endpoint.in_flight);
        idle.map(|endpoint| endpoint.due).min()
    }

    /// Starts the checks that are due, the longest overdue first. Returns the endpoints to check.
    pub fn start_due(&mut self, now: Micros) -> Vec<SocketAddr> {
        let capacity = self.settings.in_flight_limit().saturating_sub(self.in_flight);
        let is_due = |endpoint: &EndpointState| !endpoint.in_flight && endpoint.due <= now;
        let endpoints = self.endpoints.iter();
        let mut due: Vec<(Micros, SocketAddr)> = endpoints
            .filter(|(_, endpoint)| is_due(endpoint))
            .map(|(address, endpoint)| (endpoint.due, *address))
            .collect();
        due.sort_unstable();
        due.truncate(capacity);
        for (_, address) in &due {
            if let Some(endpoint) = self.endpoints.get_mut(address) {
                endpoint.in_flight = true;
            }
        }
        self.in_flight += due.len();
        due.into_iter().map(|(_, address)| address).collect()
    }

    /// Records the result of a check. Returns whether the health of the endpoint has changed.
    pub fn on_result(&mut self, now: Micros, address: &SocketAddr, passed: bool) -> bool {
        let HealthCheckSettings { interval, unhealthy_threshold, .. } = self.settings;
        // An endpoint that was removed during its check is no longer counted as in flight.
        let checked = self.endpoints.get_mut(address).filter(|endpoint| endpoint.in_flight);
        let Some(endpoint) = checked else { return false };
        self.in_flight = self.in_flight.saturating_sub(1);
        let previous = endpoint.healthy;
        endpoint.in_flight = false;
        endpoint.consecutive_failures =
            if passed { 0 } else { endpoint.consecutive_failures.saturating_add(1) };
        let is_conclusive = passed || endpoint.consecutive_failures >= unhealthy_threshold.max(1);
        if is_conclusive {
            endpoint.healthy = Some(passed);
        }
        endpoint.due = now + if is_conclusive { interval } else { interval / RECHECK_DIVISOR };
        let changed = endpoint.healthy != previous;
        if changed && !passed {
            self.check_others(now);
        }
        changed
    }

    /// Schedules immediate checks of up to `max_in_flight` endpoints whose last check has not failed.
    fn check_others(&mut self, now: Micros) {
        let is_eligible = |endpoint: &&mut EndpointState| {
            !endpoint.in_flight && endpoint.consecutive_failures == 0 && endpoint.due > now
        };
        let eligible = self.endpoints.values_mut().filter(is_eligible);
        for endpoint in eligible.take(self.settings.max_in_flight) {
            endpoint.due = now;
        }
    }
}
