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
    /// The number of successful answers, and the sum of their latency objectives in microseconds.
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

    /// Multiplies the sum of the latency objectives of successful answers by `size_ratio`, the factor by
    /// which the number of ready endpoints has changed. The number of answers is not changed.
    pub fn scale_served(&mut self, size_ratio: f64) {
        self.served.sum *= size_ratio;
    }
}
