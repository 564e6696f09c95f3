//! The export of the learned state of a balancer.

use super::{DecayedMean, LearnedEndpoint, LearnedState};
use crate::balancer::Balancer;
use crate::endpoint_table::EndpointRecord;
use crate::ewma::Ewma;
use crate::time::{Micros, TIME_LIMIT};
use crate::EndpointState;

impl Balancer {
    /// Returns the learned state of this balancer at `now`.
    #[must_use]
    pub fn learned_state(&self, now: Micros) -> LearnedState {
        let now = now.clamp(self.now, TIME_LIMIT);
        let machine_kinds = self.latency.by_machine_kind.iter();
        let zones = self.locality.loss_by_zone.iter();
        let listed = self.endpoints.records().filter(|record| record.entry.state != EndpointState::Removed);
        let threshold = &self.admission.threshold;
        LearnedState {
            age: 0,
            uptime: if self.started { now - self.window.started_at } else { 0 },
            endpoints: listed.map(|record| learned_endpoint(now, record)).collect(),
            latency_by_machine_kind: machine_kinds.map(|(kind, ewma)| (kind.0, mean(now, ewma))).collect(),
            loss_by_zone: zones.map(|(zone, ewma)| (zone.0, mean(now, ewma))).collect(),
            typical_latency: self.latency.typical.iter().map(|ewma| mean(now, ewma)).collect(),
            pool_latency: mean(now, &self.latency.pool),
            threshold_per_endpoint: threshold.per_endpoint(self.ready.all.len()).unwrap_or(0.0),
            cursor_position: self.admission.table.position(),
            baseline_latency: self.admission.load.baseline(),
        }
    }
}

fn learned_endpoint(now: Micros, record: &EndpointRecord) -> LearnedEndpoint {
    let classes = record.latency.classes().iter();
    LearnedEndpoint {
        id: record.entry.id,
        uptime: record.entry.up_since.map(|start| now - start),
        classes: classes.map(|class| mean(now, &class.relative)).collect(),
        consecutive_failures: record.ejection.consecutive_failures,
        ejected_for: (record.ejection.ejected_until - now).max(0),
        slow_start_tokens: record.slow_start.tokens(),
    }
}

fn mean(now: Micros, ewma: &Ewma) -> DecayedMean {
    DecayedMean { sum: ewma.sum, weight: ewma.weight, age: (now - ewma.updated_at).max(0) }
}
