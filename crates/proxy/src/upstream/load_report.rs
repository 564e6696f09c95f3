//! The load reports of endpoints: JSON objects with numeric values, in a response header or in the body of
//! the response to a health check.

use std::cell::Cell;
use std::collections::BTreeMap;

use decide::platform_settings::LoadReportField;
use decide::LoadReport;

use crate::log::log_line;

/// The largest plausible value of a field. A larger value would keep all requests away from a healthy
/// endpoint.
const MAX_VALUE: f64 = 1e6;

/// Parses load reports and logs the first malformed one.
#[derive(Default)]
pub struct LoadReportParser {
    has_logged_malformed: Cell<bool>,
}

impl LoadReportParser {
    /// Parses a report. Returns `None` if it is malformed or has a value outside of 0 to [`MAX_VALUE`].
    pub fn parse(&self, json: &[u8]) -> Option<LoadReport> {
        let Some(values) = parse_values(json) else {
            self.log_malformed(json);
            return None;
        };
        let mut report = LoadReport::default();
        for (name, value) in values {
            LoadReportField::from_key(&name).store(&mut report, value);
        }
        Some(report)
    }

    fn log_malformed(&self, json: &[u8]) {
        if !self.has_logged_malformed.replace(true) {
            let text = String::from_utf8_lossy(json);
            log_line(format_args!("ignoring malformed load report, further ones are not logged: {text:?}"));
        }
    }
}

fn parse_values(json: &[u8]) -> Option<BTreeMap<String, f64>> {
    let values = serde_json::from_slice::<BTreeMap<String, f64>>(json).ok()?;
    let is_plausible = |value: &f64| (0.0..=MAX_VALUE).contains(value);
    Some(values).filter(|values| values.values().all(is_plausible))
}
