//! Counts the streams and connections that this process ended early, by the reason.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::Labels;

/// The label with what was ended.
const STREAM_LABEL: &str = "stream";
/// The label with the reason.
const REASON_LABEL: &str = "reason";

/// The counters of a process. Clones share them; those of [`CutOffCounters::default`] are not exposed.
#[derive(Clone, Debug, Default)]
pub struct CutOffCounters(Family<Labels, Counter>);

impl CutOffCounters {
    pub(super) fn new(family: &Family<Labels, Counter>) -> CutOffCounters {
        CutOffCounters(family.clone())
    }

    /// Counts a stream that was ended early. The sets of both labels must be fixed, because each pair is a time
    /// series.
    pub fn count(&self, stream: &'static str, reason: &'static str) {
        let labels = vec![(STREAM_LABEL, stream.to_owned()), (REASON_LABEL, reason.to_owned())];
        self.0.get_or_create(&labels).inc();
    }
}
