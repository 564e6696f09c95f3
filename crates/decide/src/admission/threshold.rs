//! The base threshold: the requests in flight up to which the highest priority level is admitted while the
//! cursor is at rest.
//!
//! Rule: by Little's law, the rate served now times the latency objective is the number of requests that
//! would be in flight if each answer took its whole objective. The threshold is a fraction of that number. It
//! rises at once and falls slowly. Before there are samples it is a fixed number per endpoint. When endpoints
//! are added or removed it scales with their number.
//!
//! Inputs: the sum of the latency objectives served, in microseconds; numbers of endpoints.

use super::Occupancy;
use crate::throughput::Throughput;
use crate::time::{Micros, ObservationWindow};

/// The threshold as a fraction of the requests in flight at which answers take their whole objective.
const OBJECTIVE_FRACTION: f64 = 0.45;
/// The lowest threshold after a control period, as a fraction of the previous threshold.
const MIN_RETAINED_FRACTION: f64 = 0.995;
/// The threshold per endpoint before there are samples, over all balancers; each has an even share of it.
pub(crate) const INITIAL_THRESHOLD_PER_ENDPOINT: f64 = 10.0;
/// The lowest threshold while nothing is shed, in requests in flight, so that a balancer with little traffic
/// does not shed by chance. It does not apply while shedding: the sum over many small balancers would exceed
/// the capacity of the pool.
const MIN_THRESHOLD: f64 = 8.0;
/// The highest amount by which [`MIN_THRESHOLD`] raises a computed threshold, in standard deviations of a
/// Poisson count (the square root of the threshold).
const MAX_FLOOR_DEVIATIONS: f64 = 1.5;

/// The base threshold of one balancer.
pub(crate) struct BaseThreshold {
    /// The threshold in requests in flight; infinite until an endpoint is ready.
    value: f64,
    balancers: f64,
}

/// The requests in flight and the threshold to compare: those of this balancer or, if its threshold is small,
/// the sums over its gossip group.
#[derive(Clone, Copy)]
pub(crate) struct ThresholdCheck {
    /// The requests in flight.
    pub in_flight: u32,
    /// The threshold of the highest priority level at rest.
    pub threshold: f64,
}

impl BaseThreshold {
    /// Creates an infinite base threshold, which admits everything until an endpoint is ready.
    pub fn new(balancers: u32) -> Self {
        BaseThreshold { value: f64::INFINITY, balancers: f64::from(balancers) }
    }

    /// The threshold, in requests in flight.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// The threshold of all balancers together per endpoint, for `ready` ready endpoints; `None` if there is
    /// no threshold yet.
    pub fn per_endpoint(&self, ready: usize) -> Option<f64> {
        let is_defined = self.value.is_finite() && ready > 0;
        is_defined.then(|| self.value / ready as f64 * self.balancers)
    }

    /// Moves the threshold by the fraction `weight` (0 to 1) towards that of another balancer, given per
    /// endpoint. Does nothing if there is no threshold yet.
    pub fn approach(&mut self, per_endpoint: f64, ready: usize, weight: f64) {
        if self.value.is_finite() {
            let target = per_endpoint * (ready as f64 / self.balancers);
            self.value += (target - self.value) * weight;
        }
    }

    /// Adjusts the threshold to a changed endpoint list. The first list sets an initial threshold, because a
    /// start at full load without a threshold would build a backlog that lasts longer than the start. Later
    /// ones scale it, because the threshold of the previous pool would overload the endpoints that are left,
    /// or leave new ones idle. The objectives served so far are scaled as well, because the next threshold is
    /// computed from them.
    pub fn on_pool_change(&mut self, ready_before: usize, ready: usize, throughput: &mut Throughput) {
        if ready == 0 {
            return;
        }
        if self.value.is_infinite() {
            self.value = INITIAL_THRESHOLD_PER_ENDPOINT * ready as f64 / self.balancers;
        } else if ready_before > 0 {
            let size_ratio = ready as f64 / ready_before as f64;
            self.value *= size_ratio;
            throughput.scale_served(size_ratio);
        }
    }

    /// Updates the threshold from the rate served; called once per control period.
    pub fn on_period(&mut self, now: Micros, throughput: &mut Throughput, window: ObservationWindow) {
        throughput.served.decay(now, window.time_constant);
        if window.age(now) <= window.time_constant / 2.0 {
            return;
        }
        let in_flight_at_objective = throughput.served.sum / window.span(now);
        let fallen = if self.value.is_finite() { self.value * MIN_RETAINED_FRACTION } else { 0.0 };
        self.value = (in_flight_at_objective * OBJECTIVE_FRACTION).max(fallen);
    }

    /// Whether the threshold is so small that the requests of this balancer alone are too few for a
    /// comparison.
    pub fn is_small(&self) -> bool {
        self.value < MIN_THRESHOLD
    }

    /// The values to compare now. If the threshold of this balancer is small, the sum of the requests in
    /// flight of its gossip group is compared with the sum of the thresholds of the group.
    pub fn check(&self, occupancy: Occupancy, is_shedding: bool) -> ThresholdCheck {
        let mut in_flight = occupancy.in_flight;
        let mut threshold = self.value;
        if self.is_small() {
            in_flight += occupancy.peers_in_flight;
            threshold *= (occupancy.peers + 1) as f64;
        }
        let floor = if is_shedding {
            0.0
        } else {
            MIN_THRESHOLD.min(threshold + MAX_FLOOR_DEVIATIONS * threshold.sqrt())
        };
        ThresholdCheck { in_flight, threshold: threshold.max(floor) }
    }
}

#[cfg(test)]
mod tests;
