//! Learned state: exports, and balancers that take over from others.

use std::cmp::Reverse;

use decide::learned::LearnedState;
use decide::{Balancer, Micros, UpdateScope};

use super::{Due, Player};
use crate::common::recorded_form::recorded_form_of_learned;

impl Player {
    pub(super) fn look_at_learned(&mut self) {
        let learned = self.balancer.learned_state(self.now);
        self.digest.write(&format!("learned {}\n", recorded_form_of_learned(&learned)));
        self.played.learned += 1;
    }

    /// A new balancer takes over: it has its endpoints, and imports the state of those before it and from one that
    /// has implausible figures.
    pub(super) fn hand_over(&mut self) {
        self.exported.push(self.balancer.learned_state(self.now));
        let seed = self.random.u64(..);
        self.balancer = Balancer::new(self.scenario.settings.clone(), seed);
        self.due = self.due.drain().filter(|Reverse((_, _, due))| !matches!(due, Due::Timer(_))).collect();
        self.attempts.clear();
        self.open.clear();
        self.now += 300_000;
        self.list_all(UpdateScope::Cached);
        let mut exported: Vec<LearnedState> = self.exported.iter().rev().take(3).cloned().collect();
        exported.iter_mut().for_each(|learned| learned.age = 300_000);
        if let Some(first) = exported.first().cloned() {
            match self.exported.len() {
                2 => exported.push(nonsense(first)),
                4 => exported = vec![nonsense(first)],
                _ => {}
            }
        }
        let now = self.now;
        self.balancer.import_learned_state(now, &[]);
        self.balancer.import_learned_state(now, &exported);
        self.look_at_learned();
    }
}

/// A state with implausible figures.
fn nonsense(mut learned: LearnedState) -> LearnedState {
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
