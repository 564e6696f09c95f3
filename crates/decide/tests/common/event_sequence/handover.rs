//! Learned state: exports, and new balancers that import them.

use std::cmp::Reverse;

use decide::learned::LearnedState;
use decide::{Balancer, Micros, UpdateScope};

use super::{Player, Scheduled};
use crate::common::recorded_form::recorded_form_of_learned;

impl Player {
    pub(super) fn record_learned_state(&mut self) {
        let learned = self.balancer.learned_state(self.now);
        self.digest.write(&format!("learned {}\n", recorded_form_of_learned(&learned)));
        self.result.learned_states += 1;
    }

    /// Replaces the balancer by a new one with the same endpoints. The new one imports the state of up to
    /// three previous balancers, at the second handover also a state with implausible figures, and at the
    /// fourth only that.
    pub(super) fn replace_balancer(&mut self) {
        self.exported.push(self.balancer.learned_state(self.now));
        let seed = self.random.u64(..);
        self.balancer = Balancer::new(self.scenario.settings.clone(), seed);
        self.schedule = self
            .schedule
            .drain()
            .filter(|Reverse((_, _, due))| !matches!(due, Scheduled::Timer(_)))
            .collect();
        self.attempts.clear();
        self.open.clear();
        self.now += 300_000;
        self.update_all_endpoints(UpdateScope::Cached);
        let mut exported: Vec<LearnedState> = self.exported.iter().rev().take(3).cloned().collect();
        exported.iter_mut().for_each(|learned| learned.age = 300_000);
        if let Some(first) = exported.first().cloned() {
            match self.exported.len() {
                2 => exported.push(with_implausible_figures(first)),
                4 => exported = vec![with_implausible_figures(first)],
                _ => {}
            }
        }
        let now = self.now;
        self.balancer.import_learned_state(now, &[]);
        self.balancer.import_learned_state(now, &exported);
        self.record_learned_state();
    }
}

/// Replaces figures of a learned state by implausible ones.
fn with_implausible_figures(mut learned: LearnedState) -> LearnedState {
    learned.age = -5;
    learned.cursor_position = f64::NAN;
    learned.baseline_latency = Some(f64::INFINITY);
    learned.threshold_per_endpoint = 1e9;
    learned.pool_latency.sum = f64::NAN;
    for endpoint in &mut learned.endpoints {
        endpoint.ejected_for = Micros::MAX;
        endpoint.uptime = endpoint.uptime.map(|_| Micros::MAX);
        endpoint.classes.iter_mut().for_each(|mean| mean.weight = -1.0);
    }
    learned.latency_by_machine_kind.push((usize::MAX, learned.pool_latency));
    learned
}
