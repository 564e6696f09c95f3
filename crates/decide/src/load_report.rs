//! The last load report of an endpoint.
//!
//! A report tells of all callers' requests but is late; this balancer's own count is exact but partial. The
//! queue estimate moves from the one to the other as the report ages.

use crate::time::{elapsed, Micros, DISTANT_PAST};
use crate::LoadReport;

/// What an endpoint last reported.
pub(crate) struct LastLoadReport {
    /// Requests it had in hand.
    in_flight: f64,
    /// Part of its processors in use.
    utilisation: Option<f64>,
    received_at: Micros,
    /// Requests that this balancer sent since.
    sent_since: u32,
}

impl Default for LastLoadReport {
    fn default() -> Self {
        LastLoadReport { in_flight: 0.0, utilisation: None, received_at: DISTANT_PAST, sent_since: 0 }
    }
}

impl LastLoadReport {
    /// Takes in a report; values that are negative or no number are ignored.
    pub fn update(&mut self, now: Micros, report: &LoadReport) {
        if let Some(in_flight) = report.in_flight.or(report.queued).filter(is_usable) {
            self.in_flight = in_flight;
            self.received_at = now;
            self.sent_since = 0;
        }
        if let Some(utilisation) = report.utilisation.filter(is_usable) {
            self.utilisation = Some(utilisation);
            self.received_at = now;
        }
    }

    /// Counts a request that this balancer sends.
    pub fn count_sent(&mut self) {
        self.sent_since += 1;
    }

    /// The utilisation that was reported, if it was at `since` or later.
    pub fn recent_utilisation(&self, since: Micros) -> Option<f64> {
        self.utilisation.filter(|_| self.received_at >= since)
    }

    /// Requests that the endpoint has in hand by now. `known` is what the balancers are known to have in
    /// flight there; a report loses its weight with `time_constant` (microseconds).
    pub fn queue_estimate(&self, now: Micros, known: f64, time_constant: f64) -> f64 {
        let freshness = (-elapsed(self.received_at, now) / time_constant).exp();
        let reported = (self.in_flight + f64::from(self.sent_since)).max(known);
        freshness * reported + (1.0 - freshness) * known
    }
}

fn is_usable(value: &f64) -> bool {
    value.is_finite() && *value >= 0.0
}

#[cfg(test)]
mod tests;
