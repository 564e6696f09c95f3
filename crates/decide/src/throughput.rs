//! Arrivals and successful answers of this balancer as decaying counts.
//!
//! The counts cover the span that [`ObservationWindow::span`] returns: a count divided by that span is a
//! rate.

use crate::ewma::Ewma;
use crate::time::{Micros, ObservationWindow};

/// The requests that arrive and those that are served.
#[derive(Default)]
pub(crate) struct Throughput {
    /// The number of requests that arrived.
    pub arrivals: Ewma,
    /// The successful answers; the sum is of their latency objectives, in microseconds.
    pub served: Ewma,
    /// The number of successful answers of endpoints that have completed their slow start.
    pub served_warm: Ewma,
}

impl Throughput {
    /// Counts a request that arrived.
    pub fn record_arrival(&mut self, now: Micros, window: ObservationWindow) {
        self.arrivals.record(now, window.time_constant, 0.0);
    }

    /// Counts a successful answer; `objective` is the latency objective of its class in microseconds.
    pub fn record_success(&mut self, now: Micros, window: ObservationWindow, objective: f64, is_warm: bool) {
        self.served.record(now, window.time_constant, objective);
        if is_warm {
            self.served_warm.record(now, window.time_constant, 0.0);
        }
    }

    /// Scales the sum of the objectives served to a pool whose size has changed by the factor `size_ratio`;
    /// the number of answers stays.
    pub fn scale_served(&mut self, size_ratio: f64) {
        self.served.sum *= size_ratio;
    }
}
