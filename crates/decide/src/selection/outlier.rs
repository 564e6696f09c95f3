//! Outlier detection: endpoints that fail are ejected for a while.
//!
//! Rules:
//! - A failure ejects an endpoint when the number of consecutive failures of any kind reaches the limit of
//!   its own kind: 1 connect failure, 2 resets (a response that cannot be parsed also counts as a reset, and
//!   a healthy endpoint may send one), 3 timeouts. The time of ejection is one observation window. It doubles
//!   with each consecutive failure beyond the limit, at most three times.
//! - An endpoint that rejects a request because it is full is ejected for one typical latency of the pool,
//!   because one of its requests may have ended by then. A full endpoint rejects at once, so it has no
//!   attempts of this balancer in flight and would rank first.
//! - If most of a pool is ejected, ejection is ignored.
//!
//! Times are in microseconds. An ejection ends at random after half to all of its time, so that balancers do
//! not return to an endpoint at the same time.

use fastrand::Rng;

use crate::endpoint_table::EndpointTable;
use crate::index::EndpointIndex;
use crate::time::{jittered, Micros, ObservationWindow};
use crate::Outcome;

/// The number of consecutive failures of any kind from which a timeout ejects.
const TIMEOUTS_TO_EJECT: u32 = 3;
/// The number of consecutive failures of any kind from which a broken connection ejects.
const RESETS_TO_EJECT: u32 = 2;
/// The number of consecutive failures of any kind from which a failed connection attempt ejects.
const CONNECT_FAILURES_TO_EJECT: u32 = 1;
/// The highest number of times that the time of ejection is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// The failures of one endpoint, and whether it is ejected.
#[derive(Default)]
pub(crate) struct Ejection {
    /// The number of failures since the last successful answer.
    pub consecutive_failures: u32,
    /// The time at which the ejection ends. Until then the endpoint ranks behind those that are not ejected.
    pub ejected_until: Micros,
}

impl Ejection {
    /// Whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: Micros, outcome: Outcome, window: ObservationWindow, rng: &mut Rng) {
        match outcome {
            Outcome::Ok => *self = Ejection::default(),
            Outcome::Timeout => self.record_failure(now, TIMEOUTS_TO_EJECT, window, rng),
            Outcome::Reset => self.record_failure(now, RESETS_TO_EJECT, window, rng),
            Outcome::ConnectFailed => self.record_failure(now, CONNECT_FAILURES_TO_EJECT, window, rng),
            Outcome::Error | Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Counts a failure of a kind that ejects from `failures_to_eject` consecutive failures on.
    fn record_failure(
        &mut self,
        now: Micros,
        failures_to_eject: u32,
        window: ObservationWindow,
        rng: &mut Rng,
    ) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < failures_to_eject {
            return;
        }
        let doublings = (self.consecutive_failures - failures_to_eject).min(MAX_DOUBLINGS);
        self.ejected_until = jittered(now, window.micros() << doublings, rng);
    }

    /// Ejects the endpoint for between half of `wait` and all of it because it is full. An ejection that ends
    /// later stays.
    pub fn eject_full(&mut self, now: Micros, wait: Micros, rng: &mut Rng) {
        let until = jittered(now, wait, rng);
        self.ejected_until = self.ejected_until.max(until);
    }
}

/// The number of endpoints of a pool that are ejected.
pub(crate) fn ejected_count(now: Micros, pool: &[EndpointIndex], endpoints: &EndpointTable) -> usize {
    pool.iter().filter(|&&index| endpoints[index].ejection.is_ejected(now)).count()
}

#[cfg(test)]
mod tests;
