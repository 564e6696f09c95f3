//! Latency: what a class takes in the pool, and how an endpoint compares.
//!
//! Rule: an endpoint's latency for a class is the time spent there over the successful answers got, as a
//! multiple of what the class takes in the pool. Attempts in flight, cancelled and failed count as time spent,
//! so an endpoint, or one class on it, that is silent, fails or slows down shows early. With few answers the
//! figure leans on the endpoint's other classes, then on its machine kind, then on the pool. Errors that
//! deeper tiers cause raise all endpoints alike.
//!
//! Inputs are in microseconds. All means decay over the observation window.

use std::collections::BTreeMap;

use crate::endpoint_table::EndpointRecord;
use crate::ewma::Ewma;
use crate::index::{ClassIndex, MachineKindIndex};
use crate::time::{Micros, ObservationWindow};
use crate::{Outcome, Settings};

/// What a failed attempt adds to the time that it took, in latency objectives.
const FAILURE_COST: f64 = 2.0;
/// Samples that the pool's typical latency counts as for a machine kind.
const POOL_PRIOR_WEIGHT: f64 = 3.0;
/// Samples that the machine kind counts as for an endpoint.
const MACHINE_KIND_PRIOR_WEIGHT: f64 = 2.0;
/// Samples that an endpoint's classes together count as for one of them.
const ENDPOINT_PRIOR_WEIGHT: f64 = 4.0;
/// What a request is taken to need before any has been answered, in microseconds.
const INITIAL_POOL_LATENCY: f64 = 1e4;
/// Samples that this counts as.
const INITIAL_POOL_LATENCY_WEIGHT: f64 = 0.01;

/// The attempts of one class at one endpoint.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassLatency {
    /// Time spent for each successful answer, as a multiple of what the class takes in the pool.
    pub relative: Ewma,
    in_flight: u32,
    /// The sum of the balancer's ages, in microseconds, at which the attempts in flight were sent.
    sent_age_sum: f64,
}

/// The latency of one endpoint, by class.
#[derive(Default)]
pub(crate) struct EndpointLatency {
    classes: Vec<ClassLatency>,
}

impl EndpointLatency {
    /// No samples in any of so many classes.
    pub fn new(classes: usize) -> Self {
        EndpointLatency { classes: vec![ClassLatency::default(); classes] }
    }

    /// The classes, by index.
    pub fn classes(&self) -> &[ClassLatency] {
        &self.classes
    }

    /// The mean of one class.
    pub fn relative_mut(&mut self, class: ClassIndex) -> &mut Ewma {
        &mut self.classes[class.0].relative
    }

    /// Forgets what was learned, but not what is in flight.
    pub fn forget_samples(&mut self) {
        for class in &mut self.classes {
            class.relative = Ewma::default();
        }
    }

    /// Counts an attempt in flight; `sent_age` is the balancer's age in microseconds.
    pub fn begin_attempt(&mut self, class: ClassIndex, sent_age: f64) {
        let class = &mut self.classes[class.0];
        class.in_flight += 1;
        class.sent_age_sum += sent_age;
    }

    /// Counts the end of such an attempt.
    pub fn end_attempt(&mut self, class: ClassIndex, sent_age: f64) {
        let class = &mut self.classes[class.0];
        class.in_flight = class.in_flight.saturating_sub(1);
        class.sent_age_sum = if class.in_flight == 0 { 0.0 } else { class.sent_age_sum - sent_age };
    }
}

/// What the pool takes, by class and by machine kind.
pub(crate) struct LatencyModel {
    /// By class: the latency objective of this tier, in microseconds.
    objectives: Vec<f64>,
    /// By class: how long successful answers take.
    pub typical: Vec<Ewma>,
    /// By machine kind: time spent for each successful answer, as for one endpoint's class.
    pub by_machine_kind: BTreeMap<MachineKindIndex, Ewma>,
    /// How long successful answers of any class take.
    pub pool: Ewma,
}

impl LatencyModel {
    /// No samples. A deeper tier is owed a part of the objective: the tiers still ahead over all tiers.
    pub fn new(settings: &Settings) -> Self {
        let tiers = settings.tiers.max(1);
        let part = 1.0 - settings.tier.min(tiers - 1) as f64 / tiers as f64;
        let classes = settings.classes.iter();
        LatencyModel {
            objectives: classes.map(|class| (class.latency_objective.max(1) as f64) * part).collect(),
            typical: vec![Ewma::default(); settings.classes.len()],
            by_machine_kind: BTreeMap::new(),
            pool: Ewma::default(),
        }
    }

    /// The latency objective of a class in this tier, in microseconds.
    pub fn objective(&self, class: ClassIndex) -> f64 {
        self.objectives[class.0]
    }

    /// The shortest latency objective, at most a thousand seconds, in microseconds.
    pub fn shortest_objective(&self) -> f64 {
        self.objectives.iter().copied().fold(f64::INFINITY, f64::min).min(1e9)
    }

    /// What a successful answer of a class takes in the pool, in microseconds.
    pub fn typical(&self, class: ClassIndex) -> f64 {
        self.typical[class.0].mean(self.objective(class) / 2.0, 1.0)
    }

    /// What a successful answer of any class takes in the pool, in microseconds.
    pub fn pool_typical(&self) -> Micros {
        self.pool.mean(INITIAL_POOL_LATENCY, INITIAL_POOL_LATENCY_WEIGHT) as Micros
    }

    /// Lets the typical latencies decay up to `now`.
    pub fn decay(&mut self, now: Micros, window: ObservationWindow) {
        for typical in &mut self.typical {
            typical.decay(now, window.time_constant);
        }
    }

    /// Takes in a successful answer that took `took` microseconds.
    pub fn record_success(&mut self, now: Micros, window: ObservationWindow, class: ClassIndex, took: f64) {
        self.pool.record(now, window.time_constant, took);
        self.typical[class.0].record(now, window.time_constant, took);
    }

    /// Takes in the end of an attempt at an endpoint that took `took` microseconds, after
    /// [`LatencyModel::record_success`] where it was one.
    pub fn record_attempt(
        &mut self,
        now: Micros,
        window: ObservationWindow,
        endpoint: &mut EndpointRecord,
        class: ClassIndex,
        outcome: Outcome,
        took: f64,
    ) {
        let time_spent = match outcome {
            Outcome::Ok | Outcome::Cancelled => took,
            Outcome::Rejected | Outcome::NotSent => 0.0,
            _ => took + FAILURE_COST * self.objective(class),
        };
        let relative = time_spent / self.typical(class);
        let machine_kind = MachineKindIndex(endpoint.entry.machine_kind);
        let by_machine_kind = self.by_machine_kind.entry(machine_kind).or_default();
        for mean in [endpoint.latency.relative_mut(class), by_machine_kind] {
            mean.add_to_sum(now, window.time_constant, relative);
            if outcome == Outcome::Ok {
                mean.weight += 1.0;
            }
        }
    }

    /// An endpoint's latency for a class, as a multiple of what the class takes in the pool.
    pub fn relative(
        &self,
        now: Micros,
        window: ObservationWindow,
        endpoint: &EndpointRecord,
        class: ClassIndex,
    ) -> f64 {
        let mut of_class = Ewma::default();
        let mut of_endpoint = Ewma::default();
        for (index, latency) in endpoint.latency.classes.iter().enumerate() {
            let mean = self.with_attempts_in_flight(now, window, latency, ClassIndex(index));
            of_endpoint.sum += mean.sum;
            of_endpoint.weight += mean.weight;
            if index == class.0 {
                of_class = mean;
            }
        }
        let machine_kind = MachineKindIndex(endpoint.entry.machine_kind);
        let of_machine_kind =
            self.by_machine_kind.get(&machine_kind).map_or(1.0, |mean| mean.mean(1.0, POOL_PRIOR_WEIGHT));
        let of_endpoint = of_endpoint.mean(of_machine_kind, MACHINE_KIND_PRIOR_WEIGHT);
        of_class.mean(of_endpoint, ENDPOINT_PRIOR_WEIGHT)
    }

    /// A class's mean at an endpoint, with the time that its attempts in flight have taken so far.
    fn with_attempts_in_flight(
        &self,
        now: Micros,
        window: ObservationWindow,
        latency: &ClassLatency,
        class: ClassIndex,
    ) -> Ewma {
        let max_time = f64::from(latency.in_flight) * window.age(now);
        let time_so_far = (max_time - latency.sent_age_sum).clamp(0.0, max_time.max(0.0));
        let mut mean = latency.relative;
        mean.decay(now, window.time_constant);
        mean.sum += time_so_far / self.typical(class);
        mean
    }
}

#[cfg(test)]
mod tests;
