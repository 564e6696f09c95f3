//! Arrivals and successful answers of this balancer as decaying counts.
//!
//! Inputs: each request that arrives and each successful answer. The counts stand for the span that
//! [`ObservationWindow::span`] gives, so a count over that span is a rate.

use crate::ewma::Ewma;
use crate::time::{Micros, ObservationWindow};

/// What arrives and what is served.
#[derive(Default)]
pub(crate) struct Throughput {
    /// Requests that arrived.
    pub arrivals: Ewma,
    /// Successful answers; the sum is of their latency objectives, in microseconds.
    pub served: Ewma,
    /// Successful answers of endpoints that are past their slow start.
    pub served_warm: Ewma,
}

impl Throughput {
    /// Counts a request that arrived.
    pub fn record_arrival(&mut self, now: Micros, window: ObservationWindow) {
        self.arrivals.record(now, window.time_constant, 0.0);
    }

    /// Counts a successful answer; `objective` is its class's latency objective in microseconds.
    pub fn record_success(&mut self, now: Micros, window: ObservationWindow, objective: f64, is_warm: bool) {
        self.served.record(now, window.time_constant, objective);
        if is_warm {
            self.served_warm.record(now, window.time_constant, 0.0);
        }
    }

    /// Scales the objectives served to a pool that is `part` of the size that it had; the count stays.
    pub fn scale_served(&mut self, part: f64) {
        self.served.sum *= part;
    }
}
