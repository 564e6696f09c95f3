//! Counts the attempts that were not sent, by the reason.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::Labels;

/// The label with the reason.
const REASON_LABEL: &str = "reason";

/// The counters of one pool. Clones share them; those of [`UnsentCounters::default`] are not exposed.
#[derive(Clone, Debug, Default)]
pub struct UnsentCounters {
    family: Family<Labels, Counter>,
    pool: Labels,
}

impl UnsentCounters {
    pub(super) fn new(family: &Family<Labels, Counter>, pool: Labels) -> UnsentCounters {
        UnsentCounters { family: family.clone(), pool }
    }

    /// Counts an attempt that was not sent. The set of reasons must be fixed, because each one is a time series.
    pub fn count(&self, reason: &'static str) {
        let mut labels = self.pool.clone();
        labels.push((REASON_LABEL, reason.to_owned()));
        self.family.get_or_create(&labels).inc();
    }
}
