//! Latency: the typical latency of each class in the pool, and the relative latency of each endpoint.
//!
//! Rule: the relative latency of an endpoint for a class is the time spent there per successful answer, as a
//! multiple of the typical latency of the class in the pool. Attempts that are in flight, cancelled or failed
//! add time spent, so an endpoint, or one class on it, that does not answer, fails or slows down is detected
//! early. If an endpoint has few answers of the class, its other classes, then its machine kind, then the
//! pool count as prior. Errors caused by deeper tiers raise the relative latency of all endpoints equally, so
//! they do not change the ranking.
//!
//! Inputs are in microseconds. All means decay over the observation window.

use std::collections::BTreeMap;

use crate::endpoint_table::EndpointRecord;
use crate::ewma::Ewma;
use crate::index::{ClassIndex, MachineKindIndex};
use crate::time::{Micros, ObservationWindow};
use crate::{Outcome, Settings};

/// The time that is added to the duration of a failed attempt, in latency objectives.
const FAILURE_COST: f64 = 2.0;
/// The weight of the pool as the prior of a machine kind, in samples.
const POOL_PRIOR_WEIGHT: f64 = 3.0;
/// The weight of the machine kind as the prior of an endpoint, in samples.
const MACHINE_KIND_PRIOR_WEIGHT: f64 = 2.0;
/// The weight of the endpoint as the prior of one of its classes, in samples.
const ENDPOINT_PRIOR_WEIGHT: f64 = 4.0;
/// The latency assumed for the pool before the first answer, in microseconds.
const INITIAL_POOL_LATENCY: f64 = 1e4;
/// The weight of the assumed latency of the pool, in samples.
const INITIAL_POOL_LATENCY_WEIGHT: f64 = 0.01;

/// The attempts of one class at one endpoint.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassLatency {
    /// Time spent per successful answer, as a multiple of the typical latency of the class in the pool.
    pub relative: Ewma,
    in_flight: u32,
    /// The sum over the attempts in flight of the age of the balancer at their start, in microseconds.
    age_at_start_sum: f64,
}

/// The latency of one endpoint, by class.
#[derive(Default)]
pub(crate) struct EndpointLatency {
    classes: Vec<ClassLatency>,
}

impl EndpointLatency {
    /// Creates the state without samples for a number of classes.
    pub fn new(classes: usize) -> Self {
        EndpointLatency { classes: vec![ClassLatency::default(); classes] }
    }

    /// The state of each class, by class index.
    pub fn classes(&self) -> &[ClassLatency] {
        &self.classes
    }

    /// The mean relative latency of one class.
    pub fn relative_mut(&mut self, class: ClassIndex) -> &mut Ewma {
        &mut self.classes[class.0].relative
    }

    /// Removes all samples; the attempts in flight stay counted.
    pub fn forget_samples(&mut self) {
        for class in &mut self.classes {
            class.relative = Ewma::default();
        }
    }

    /// Counts an attempt as in flight; `balancer_age` is the age of the balancer in microseconds.
    pub fn begin_attempt(&mut self, class: ClassIndex, balancer_age: f64) {
        let class = &mut self.classes[class.0];
        class.in_flight += 1;
        class.age_at_start_sum += balancer_age;
    }

    /// Removes an attempt from those in flight; `age_at_start` is the value that was passed to
    /// [`EndpointLatency::begin_attempt`].
    pub fn end_attempt(&mut self, class: ClassIndex, age_at_start: f64) {
        let class = &mut self.classes[class.0];
        class.in_flight = class.in_flight.saturating_sub(1);
        class.age_at_start_sum =
            if class.in_flight == 0 { 0.0 } else { class.age_at_start_sum - age_at_start };
    }
}

/// The latencies of the pool, by class and by machine kind.
pub(crate) struct LatencyModel {
    /// The latency objective of this tier by class, in microseconds.
    objectives: Vec<f64>,
    /// The duration of successful answers by class.
    pub typical: Vec<Ewma>,
    /// The time spent per successful answer by machine kind, relative as in [`ClassLatency::relative`].
    pub by_machine_kind: BTreeMap<MachineKindIndex, Ewma>,
    /// The duration of successful answers of all classes.
    pub pool: Ewma,
}

impl LatencyModel {
    /// Creates the model without samples. The latency objective in a tier is the objective of the class
    /// multiplied by the number of this and all deeper tiers and divided by the number of all tiers.
    pub fn new(settings: &Settings) -> Self {
        let tiers = settings.tiers.max(1);
        let tier_fraction = 1.0 - settings.tier.min(tiers - 1) as f64 / tiers as f64;
        let classes = settings.classes.iter();
        LatencyModel {
            objectives: classes
                .map(|class| (class.latency_objective.max(1) as f64) * tier_fraction)
                .collect(),
            typical: vec![Ewma::default(); settings.classes.len()],
            by_machine_kind: BTreeMap::new(),
            pool: Ewma::default(),
        }
    }

    /// The latency objective of a class in this tier, in microseconds.
    pub fn objective(&self, class: ClassIndex) -> f64 {
        self.objectives[class.0]
    }

    /// The shortest latency objective of all classes in microseconds, at most 1e9 (a thousand seconds).
    pub fn shortest_objective(&self) -> f64 {
        self.objectives.iter().copied().fold(f64::INFINITY, f64::min).min(1e9)
    }

    /// The typical duration of a successful answer of a class in the pool, in microseconds.
    pub fn typical(&self, class: ClassIndex) -> f64 {
        self.typical[class.0].mean(self.objective(class) / 2.0, 1.0)
    }

    /// The typical duration of a successful answer of any class in the pool, in microseconds.
    pub fn pool_typical(&self) -> Micros {
        self.pool.mean(INITIAL_POOL_LATENCY, INITIAL_POOL_LATENCY_WEIGHT) as Micros
    }

    /// Decays the typical latencies up to `now`.
    pub fn decay(&mut self, now: Micros, window: ObservationWindow) {
        for typical in &mut self.typical {
            typical.decay(now, window.time_constant);
        }
    }

    /// Records a successful answer with a duration of `took` microseconds.
    pub fn record_success(&mut self, now: Micros, window: ObservationWindow, class: ClassIndex, took: f64) {
        self.pool.record(now, window.time_constant, took);
        self.typical[class.0].record(now, window.time_constant, took);
    }

    /// Records the end of an attempt at an endpoint with a duration of `took` microseconds. For a successful
    /// one, [`LatencyModel::record_success`] is called before.
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

    /// The latency of an endpoint for a class, as a multiple of the typical latency of the class in the pool.
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

    /// The mean of a class at an endpoint, with the time that its attempts in flight have taken so far.
    fn with_attempts_in_flight(
        &self,
        now: Micros,
        window: ObservationWindow,
        latency: &ClassLatency,
        class: ClassIndex,
    ) -> Ewma {
        let max_time = f64::from(latency.in_flight) * window.age(now);
        let time_so_far = (max_time - latency.age_at_start_sum).clamp(0.0, max_time.max(0.0));
        let mut mean = latency.relative;
        mean.decay(now, window.time_constant);
        mean.sum += time_so_far / self.typical(class);
        mean
    }
}

#[cfg(test)]
mod tests;
