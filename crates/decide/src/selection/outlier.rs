//! Outlier detection: endpoints that fail are ejected for a while.
//!
//! Rules:
//! - a failure ejects once failures in a row, of any kind, reach the limit of its own kind: 1 connect failure,
//!   2 resets (a response that cannot be read may come from a sound endpoint), 3 timeouts; each further one
//!   doubles the time, three times at most, from one observation window;
//! - an endpoint that rejects a request as full is ejected until one of its requests may have ended: it answers
//!   at once and so has nothing of ours in flight, and would rank first;
//! - where most of a pool is ejected, ejection is ignored.
//!
//! Times are in microseconds. Ends of ejection are jittered, so that balancers do not come back in step.

use fastrand::Rng;

use crate::endpoint_table::EndpointTable;
use crate::index::EndpointIndex;
use crate::time::{jittered, Micros, ObservationWindow};
use crate::Outcome;

/// Failures in a row of any kind from which a timeout ejects.
const TIMEOUTS_TO_EJECT: u32 = 3;
/// Failures in a row of any kind from which a broken connection ejects.
const RESETS_TO_EJECT: u32 = 2;
/// Failures in a row of any kind from which a failed connection ejects.
const CONNECT_FAILURES_TO_EJECT: u32 = 1;
/// The time of ejection is doubled at most so many times.
const MAX_DOUBLINGS: u32 = 3;

/// The failures of one endpoint, and whether it is ejected.
#[derive(Default)]
pub(crate) struct Ejection {
    /// Failures since the last successful answer.
    pub consecutive_failures: u32,
    /// It gets requests again from then on.
    pub ejected_until: Micros,
}

impl Ejection {
    /// Is it ejected now?
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }

    /// Takes in how an attempt ended.
    pub fn record(&mut self, now: Micros, outcome: Outcome, window: ObservationWindow, rng: &mut Rng) {
        match outcome {
            Outcome::Ok => *self = Ejection::default(),
            Outcome::Timeout => self.record_failure(now, TIMEOUTS_TO_EJECT, window, rng),
            Outcome::Reset => self.record_failure(now, RESETS_TO_EJECT, window, rng),
            Outcome::ConnectFailed => self.record_failure(now, CONNECT_FAILURES_TO_EJECT, window, rng),
            Outcome::Error | Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Counts a failure of which `failures_to_eject` in a row eject.
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

    /// Ejects it for about `wait`, as it is full.
    pub fn eject_full(&mut self, now: Micros, wait: Micros, rng: &mut Rng) {
        let until = jittered(now, wait, rng);
        self.ejected_until = self.ejected_until.max(until);
    }
}

/// How many endpoints of a pool are ejected.
pub(crate) fn ejected_count(now: Micros, pool: &[EndpointIndex], endpoints: &EndpointTable) -> usize {
    pool.iter().filter(|&&index| endpoints[index].ejection.is_ejected(now)).count()
}

#[cfg(test)]
mod tests;
