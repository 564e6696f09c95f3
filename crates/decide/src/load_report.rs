//! The last load report of an endpoint.
//!
//! A report covers the requests of all balancers but arrives late. This balancer's own count is exact but
//! covers only its own requests. The queue estimate moves from the report to the count as the report ages.

use crate::time::{elapsed, Micros, DISTANT_PAST};
use crate::LoadReport;

/// The last load report of one endpoint.
pub(crate) struct LastLoadReport {
    /// The number of requests at the endpoint as last reported, or the number that wait there if only that
    /// was reported.
    in_flight: f64,
    /// The fraction of the processors of the endpoint in use, as last reported; `None` before the first
    /// report of it.
    utilisation: Option<f64>,
    received_at: Micros,
    /// The number of requests that this balancer sent since the report.
    sent_since: u32,
}

impl Default for LastLoadReport {
    fn default() -> Self {
        LastLoadReport { in_flight: 0.0, utilisation: None, received_at: DISTANT_PAST, sent_since: 0 }
    }
}

impl LastLoadReport {
    /// Records a report. Values that are negative or not finite are ignored.
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

    /// The reported utilisation; `None` if there is none or the last report is older than `since`.
    pub fn recent_utilisation(&self, since: Micros) -> Option<f64> {
        self.utilisation.filter(|_| self.received_at >= since)
    }

    /// An estimate of the requests at the endpoint at `now`. `counted` is the number in flight that the
    /// balancers counted themselves. The weight of a report decays with `time_constant` (microseconds).
    pub fn queue_estimate(&self, now: Micros, counted: f64, time_constant: f64) -> f64 {
        let freshness = (-elapsed(self.received_at, now) / time_constant).exp();
        let reported = (self.in_flight + f64::from(self.sent_since)).max(counted);
        freshness * reported + (1.0 - freshness) * counted
    }
}

fn is_usable(value: &f64) -> bool {
    value.is_finite() && *value >= 0.0
}

#[cfg(test)]
mod tests;
