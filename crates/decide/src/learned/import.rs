//! The import of learned states: of a previous process, or of other balancers.
//!
//! Rule: imported figures are added as samples to the means to which this balancer adds its own samples,
//! within the bounds of [`evidence`](super::evidence). Their weight varies randomly per balancer, so that
//! balancers that import the same state do not act in step. The base threshold, the cursor and the baseline
//! are imported only in the first half of the first observation window, and the baseline only if there is
//! none yet, because samples of this balancer then replace them. Retry rules and slow start budgets are not
//! affected.

use std::collections::BTreeMap;

use super::evidence::{
    add_to, decayed, evidence, median, median_with_prior, Evidence, Prior, DECAY_TIME_US,
    MAX_RELATIVE_LATENCY,
};
use super::{DecayedMean, LearnedEndpoint, LearnedState};
use crate::admission::INITIAL_THRESHOLD_PER_ENDPOINT;
use crate::balancer::Balancer;
use crate::index::{ClassIndex, EndpointIndex, MachineKindIndex, ZoneIndex};
use crate::selection::outlier;
use crate::time::{Micros, TIME_LIMIT};
use crate::EndpointId;

/// The time constant by which the weight of a base threshold decays, in microseconds. It is long because the
/// threshold depends on the pool and not on a passing load.
const THRESHOLD_DECAY_TIME_US: f64 = 600e6;
/// The time constant by which the position of a cursor decays, in control periods.
const CURSOR_DECAY_PERIODS: f64 = 20.0;
/// The highest accepted ratio between a base threshold and the initial one, in either direction.
const MAX_THRESHOLD_RATIO: f64 = 16.0;
/// The tolerance within which two start times of an endpoint, taken by two clocks, count as the same, in
/// microseconds.
const START_TOLERANCE_US: Micros = 2_000_000;
/// The divisor of the latency objective that yields the lowest accepted typical latency.
const MIN_TYPICAL_LATENCY_DIVISOR: f64 = 1e3;
/// The highest accepted typical latency, as a multiple of the latency objective.
const MAX_TYPICAL_LATENCY: f64 = 2.0;
/// The longest accepted ejection, in observation windows.
const MAX_EJECTION_WINDOWS: Micros = 8;
/// The weight above which a baseline is imported, in samples.
const MIN_BASELINE_WEIGHT: f64 = 0.5;

/// One state with its endpoints by id.
struct IndexedState<'a> {
    state: &'a LearnedState,
    endpoints: BTreeMap<EndpointId, &'a LearnedEndpoint>,
}

impl<'a> IndexedState<'a> {
    fn new(state: &'a LearnedState) -> Self {
        let endpoints = state.endpoints.iter().map(|endpoint| (endpoint.id, endpoint));
        IndexedState { state, endpoints: endpoints.collect() }
    }
}

/// The entry of one state for one endpoint.
struct EndpointEvidence<'a> {
    state: &'a LearnedState,
    endpoint: &'a LearnedEndpoint,
}

impl EndpointEvidence<'_> {
    /// Whether the entry is of the process that runs now, which started at `up_since`. That process has been
    /// up for the uptime in the entry plus the age of the state.
    fn is_same_process(&self, now: Micros, up_since: Option<Micros>) -> bool {
        match (up_since, self.endpoint.uptime) {
            (Some(start), Some(uptime)) => {
                let expected_uptime = uptime.saturating_add(self.state.age.max(0));
                (now - start).saturating_sub(expected_uptime).saturating_abs() < START_TOLERANCE_US
            }
            (None, None) => true,
            _ => false,
        }
    }

    /// The time for which the endpoint is still ejected; 0 or less if it is not.
    fn ejected_for(&self) -> Micros {
        self.endpoint.ejected_for.saturating_sub(self.state.age.max(0))
    }
}

impl Balancer {
    /// Imports the learned states of a previous process or of other balancers. If several states have a
    /// figure, their median is used. To be called after the first endpoint list, because a state of an
    /// endpoint that was never listed is ignored.
    pub fn import_learned_state(&mut self, now: Micros, states: &[LearnedState]) {
        self.now = now.clamp(self.now, TIME_LIMIT);
        let now = self.now;
        if states.is_empty() {
            return;
        }
        // The factor is random per balancer, so that importers of one state do not act in step.
        let dither = 0.5 + 0.5 * self.rng.f64();
        self.import_typical_latency(now, states, dither);
        let indexed: Vec<IndexedState<'_>> = states.iter().map(IndexedState::new).collect();
        for index in self.endpoints.indexes() {
            self.import_endpoint(now, index, &indexed, dither);
        }
        self.import_by_machine_kind(now, states, dither);
        self.import_by_zone(now, states, dither);
        if self.window.age(now) <= self.window.time_constant / 2.0 {
            self.import_threshold(states);
            self.import_cursor(states, dither);
            self.import_baseline(states);
        }
    }

    fn import_typical_latency(&mut self, now: Micros, states: &[LearnedState], dither: f64) {
        let time_constant = self.window.time_constant;
        for class in 0..self.latency.typical.len() {
            let of_class = states.iter().filter_map(|state| {
                evidence(time_constant, state, state.typical_latency.get(class)?, Prior::Zero)
            });
            if let Some(Evidence { value, weight }) = median_with_prior(of_class, Prior::Zero) {
                let objective = self.latency.objective(ClassIndex(class));
                let value =
                    value.clamp(objective / MIN_TYPICAL_LATENCY_DIVISOR, objective * MAX_TYPICAL_LATENCY);
                let sample = Evidence { value, weight: weight * dither };
                add_to(&mut self.latency.typical[class], now, time_constant, sample);
            }
        }
        let of_pool = states
            .iter()
            .filter_map(|state| evidence(time_constant, state, &state.pool_latency, Prior::Zero));
        if let Some(Evidence { value, weight }) = median_with_prior(of_pool, Prior::Zero) {
            let sample = Evidence { value: value.clamp(1.0, time_constant), weight: weight * dither };
            add_to(&mut self.latency.pool, now, time_constant, sample);
        }
    }

    fn import_endpoint(
        &mut self,
        now: Micros,
        index: EndpointIndex,
        states: &[IndexedState<'_>],
        dither: f64,
    ) {
        let id = self.endpoints[index].entry.id;
        let up_since = self.endpoints[index].entry.up_since;
        let known = states.iter().filter_map(|indexed| {
            Some(EndpointEvidence { state: indexed.state, endpoint: indexed.endpoints.get(&id)? })
        });
        let all: Vec<EndpointEvidence<'_>> = known.filter(|one| one.is_same_process(now, up_since)).collect();
        self.import_endpoint_latency(now, index, &all, dither);
        self.import_ejection(now, index, &all, dither);
    }

    fn import_endpoint_latency(
        &mut self,
        now: Micros,
        index: EndpointIndex,
        all: &[EndpointEvidence<'_>],
        dither: f64,
    ) {
        let time_constant = self.window.time_constant;
        let latency = &mut self.endpoints[index].latency;
        for class in 0..latency.classes().len() {
            let of_class = all.iter().filter_map(|one| {
                evidence(time_constant, one.state, one.endpoint.classes.get(class)?, Prior::One)
            });
            if let Some(median) = median_with_prior(of_class, Prior::One) {
                let sample = relative_latency(median, dither);
                add_to(latency.relative_mut(ClassIndex(class)), now, time_constant, sample);
            }
        }
    }

    /// Ejects an endpoint only if it is ejected in most of the states of its present process, and only if at
    /// most half of the ready endpoints are then ejected.
    fn import_ejection(
        &mut self,
        now: Micros,
        index: EndpointIndex,
        all: &[EndpointEvidence<'_>],
        dither: f64,
    ) {
        let mut ejected_for: Vec<Micros> = all.iter().map(EndpointEvidence::ejected_for).collect();
        ejected_for.sort_unstable();
        let middle = ejected_for.len().saturating_sub(1) / 2;
        let max = MAX_EJECTION_WINDOWS * self.window.micros();
        let remaining = ejected_for.get(middle).copied().unwrap_or(0).min(max);
        let ejected = outlier::ejected_count(now, &self.ready.all, &self.endpoints);
        let is_minority = 2 * (ejected + 1) <= self.ready.all.len();
        let ejection = &mut self.endpoints[index].ejection;
        if remaining > 0 && is_minority && !ejection.is_ejected(now) {
            ejection.ejected_until = now + (remaining as f64 * dither) as Micros;
        }
    }

    fn import_by_machine_kind(&mut self, now: Micros, states: &[LearnedState], dither: f64) {
        let time_constant = self.window.time_constant;
        let medians =
            medians_by_index(time_constant, states, |state| &state.latency_by_machine_kind, Prior::One);
        for (kind, median) in medians {
            let mean = self.latency.by_machine_kind.entry(MachineKindIndex(kind)).or_default();
            add_to(mean, now, time_constant, relative_latency(median, dither));
        }
    }

    fn import_by_zone(&mut self, now: Micros, states: &[LearnedState], dither: f64) {
        let time_constant = self.window.time_constant;
        let medians = medians_by_index(time_constant, states, |state| &state.loss_by_zone, Prior::Zero);
        for (zone, median) in medians {
            let loss = self.locality.loss_by_zone.entry(ZoneIndex(zone)).or_default();
            let sample = Evidence { value: median.value.clamp(0.0, 1.0), weight: median.weight * dither };
            add_to(loss, now, time_constant, sample);
        }
    }

    fn import_threshold(&mut self, states: &[LearnedState]) {
        let is_usable = |state: &&LearnedState| {
            state.uptime as f64 > self.window.time_constant
                && state.threshold_per_endpoint.is_finite()
                && state.threshold_per_endpoint > 0.0
        };
        let thresholds = states.iter().filter(is_usable).map(|state| Evidence {
            value: state.threshold_per_endpoint,
            weight: decayed(age(state), THRESHOLD_DECAY_TIME_US),
        });
        if let Some(Evidence { value, weight }) = median(thresholds, INITIAL_THRESHOLD_PER_ENDPOINT) {
            let min = INITIAL_THRESHOLD_PER_ENDPOINT / MAX_THRESHOLD_RATIO;
            let max = INITIAL_THRESHOLD_PER_ENDPOINT * MAX_THRESHOLD_RATIO;
            self.admission.threshold.approach(value.clamp(min, max), self.ready.all.len(), weight);
        }
    }

    fn import_cursor(&mut self, states: &[LearnedState], dither: f64) {
        let decay_time = CURSOR_DECAY_PERIODS * self.period as f64;
        let positions = states.iter().map(|state| Evidence {
            value: state.cursor_position.clamp(0.0, 1.0) * decayed(age(state), decay_time),
            weight: 1.0,
        });
        if let Some(position) = median(positions.filter(|position| position.value.is_finite()), 0.0) {
            self.admission.table.advance_to(position.value * dither);
        }
    }

    fn import_baseline(&mut self, states: &[LearnedState]) {
        if self.admission.load.baseline().is_some() {
            return;
        }
        let baselines = states.iter().filter_map(|state| {
            let value = state.baseline_latency?;
            Some(Evidence { value, weight: decayed(age(state), DECAY_TIME_US) })
        });
        if let Some(baseline) = median(baselines.filter(|baseline| baseline.value.is_finite()), 0.0) {
            if baseline.weight > MIN_BASELINE_WEIGHT {
                self.admission.load.set_baseline(baseline.value);
            }
        }
    }
}

fn age(state: &LearnedState) -> f64 {
    state.age.max(0) as f64
}

/// The sample of a relative latency, clamped to the accepted range.
fn relative_latency(median: Evidence, dither: f64) -> Evidence {
    let value = median.value.clamp(1.0 / MAX_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
    Evidence { value, weight: median.weight * dither }
}

/// The median of the means of each index for which any state has one.
fn medians_by_index(
    time_constant: f64,
    states: &[LearnedState],
    means_of: impl Fn(&LearnedState) -> &[(usize, DecayedMean)],
    prior: Prior,
) -> Vec<(usize, Evidence)> {
    let mut indexes: Vec<usize> =
        states.iter().flat_map(|state| means_of(state).iter().map(|(index, _)| *index)).collect();
    indexes.sort_unstable();
    indexes.dedup();
    let median_of = |index: usize| {
        let means = states.iter().filter_map(|state| {
            let (_, mean) = means_of(state).iter().find(|(other, _)| *other == index)?;
            evidence(time_constant, state, mean, prior)
        });
        median_with_prior(means, prior).map(|median| (index, median))
    };
    indexes.into_iter().filter_map(median_of).collect()
}
