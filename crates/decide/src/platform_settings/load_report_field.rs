//! The values of a load report, by the keys that the settings give them.

use crate::LoadReport;

/// A value that a load report may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Requests in hand.
    InFlight,
    /// Requests waiting.
    Queued,
    /// Part of the processors in use.
    Utilisation,
    /// Recent service time in milliseconds.
    ServiceTime,
    /// Requests served a second.
    RequestRate,
    /// Errors a second.
    ErrorRate,
    /// A key that this version does not know.
    Unknown,
}

impl LoadReportField {
    /// The field of a key in the settings or on the wire.
    #[must_use]
    pub fn from_key(key: &str) -> LoadReportField {
        match key {
            "concurrent" => LoadReportField::InFlight,
            "depth" => LoadReportField::Queued,
            "load_share" => LoadReportField::Utilisation,
            "mean_ms" => LoadReportField::ServiceTime,
            "tps" => LoadReportField::RequestRate,
            "err_ps" => LoadReportField::ErrorRate,
            _ => LoadReportField::Unknown,
        }
    }

    /// Puts a value into its place in a report.
    pub fn store(self, report: &mut LoadReport, value: f64) {
        let place = match self {
            LoadReportField::InFlight => &mut report.in_flight,
            LoadReportField::Queued => &mut report.queued,
            LoadReportField::Utilisation => &mut report.utilisation,
            LoadReportField::ServiceTime => &mut report.service_ms,
            LoadReportField::RequestRate => &mut report.requests_per_s,
            LoadReportField::ErrorRate => &mut report.errors_per_s,
            LoadReportField::Unknown => return,
        };
        *place = Some(value);
    }
}
