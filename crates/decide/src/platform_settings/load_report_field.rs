//! The values of a load report, and their keys in the settings.

use crate::LoadReport;

/// A value that a load report may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// The number of requests at the endpoint.
    InFlight,
    /// The number of waiting requests.
    Queued,
    /// The fraction of the processors in use.
    Utilisation,
    /// The recent service time in milliseconds.
    ServiceTime,
    /// The requests served per second.
    RequestRate,
    /// The errors per second.
    ErrorRate,
    /// A key that is unknown to this version.
    Unknown,
}

impl LoadReportField {
    /// The field with this key in the settings or on the wire; [`LoadReportField::Unknown`] if there is none.
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

    /// Stores a value in its field of a report; an unknown field is ignored.
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
