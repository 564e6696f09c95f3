//! The base threshold: requests in flight that the highest priority level is admitted up to at rest.
//!
//! Rule: by Little's law, a part of the requests in flight at which an answer takes its whole latency
//! objective at the rate now served. It rises at once and falls slowly. Before there are samples it is a
//! fixed number for each endpoint; when endpoints come and go it scales with their number.
//!
//! Inputs: the sum of the latency objectives served, in microseconds; counts of endpoints.

use super::Occupancy;
use crate::throughput::Throughput;
use crate::time::{Micros, ObservationWindow};

/// The part of the requests in flight at which answers take their whole objective.
const PART_OF_OBJECTIVE: f64 = 0.45;
/// What is left of the threshold after a period in which less was served.
const FALL_PER_PERIOD: f64 = 0.995;
/// The threshold for each endpoint before there are samples; balancers share it evenly.
pub(crate) const INITIAL_THRESHOLD_PER_ENDPOINT: f64 = 10.0;
/// The threshold is at least this while nothing is shed, so that a balancer that sees little does not shed by
/// chance. Not while shedding: the floors of many small balancers would add up to more than the pool can do.
const MIN_THRESHOLD: f64 = 8.0;
/// The floor exceeds the threshold by at most this many standard deviations (the square root of the threshold)
/// of a random count.
const FLOOR_SPREAD: f64 = 1.5;

/// The base threshold of one balancer.
pub(crate) struct BaseThreshold {
    /// In requests in flight; infinite until an endpoint is ready.
    value: f64,
    balancers: f64,
}

/// The in-flight count and threshold to compare: this balancer's, or where that is small the sums over its
/// gossip group.
#[derive(Clone, Copy)]
pub(crate) struct ThresholdCheck {
    /// The requests in flight.
    pub in_flight: u32,
    /// The threshold of the whole slots.
    pub threshold: f64,
}

impl BaseThreshold {
    /// No threshold yet.
    pub fn new(balancers: u32) -> Self {
        BaseThreshold { value: f64::INFINITY, balancers: f64::from(balancers) }
    }

    /// The threshold, in requests in flight.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// The threshold of all balancers for each of the `ready` endpoints; `None` where there is none yet.
    pub fn per_endpoint(&self, ready: usize) -> Option<f64> {
        let is_known = self.value.is_finite() && ready > 0;
        is_known.then(|| self.value / ready as f64 * self.balancers)
    }

    /// Moves the threshold by `weight` (0 to 1) towards one of another balancer; without one it stays so.
    pub fn approach(&mut self, per_endpoint: f64, ready: usize, weight: f64) {
        if self.value.is_finite() {
            let target = per_endpoint * (ready as f64 / self.balancers);
            self.value += (target - self.value) * weight;
        }
    }

    /// The endpoint list has changed. A start at full load without a threshold would build a backlog that
    /// outlives it; one learned on another pool would crowd the endpoints left, or leave new ones idle. What was
    /// served before scales alike, as the next threshold is computed from it.
    pub fn on_pool_change(&mut self, ready_before: usize, ready: usize, throughput: &mut Throughput) {
        if ready == 0 {
            return;
        }
        if self.value.is_infinite() {
            self.value = INITIAL_THRESHOLD_PER_ENDPOINT * ready as f64 / self.balancers;
        } else if ready_before > 0 {
            let part = ready as f64 / ready_before as f64;
            self.value *= part;
            throughput.scale_served(part);
        }
    }

    /// Follows what is served; called once a period.
    pub fn on_period(&mut self, now: Micros, throughput: &mut Throughput, window: ObservationWindow) {
        throughput.served.decay(now, window.time_constant);
        if window.age(now) <= window.time_constant / 2.0 {
            return;
        }
        let in_flight_at_objective = throughput.served.sum / window.span(now);
        let fallen = if self.value.is_finite() { self.value * FALL_PER_PERIOD } else { 0.0 };
        self.value = (in_flight_at_objective * PART_OF_OBJECTIVE).max(fallen);
    }

    /// Is it so small that this balancer's own requests are too few to go by?
    pub fn is_small(&self) -> bool {
        self.value < MIN_THRESHOLD
    }

    /// What to compare now: where the own threshold is small, a group that gossips compares the sum of its
    /// requests in flight with the sum of its thresholds.
    pub fn check(&self, occupancy: Occupancy, is_shedding: bool) -> ThresholdCheck {
        let mut in_flight = occupancy.in_flight;
        let mut threshold = self.value;
        if self.is_small() {
            in_flight += occupancy.peers_in_flight;
            threshold *= (occupancy.peers + 1) as f64;
        }
        let floor =
            if is_shedding { 0.0 } else { MIN_THRESHOLD.min(threshold + FLOOR_SPREAD * threshold.sqrt()) };
        ThresholdCheck { in_flight, threshold: threshold.max(floor) }
    }
}

#[cfg(test)]
mod tests;
