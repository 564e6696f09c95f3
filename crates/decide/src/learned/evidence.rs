//! How far learned figures are believed.
//!
//! Rule: a figure counts as a few samples at most, fewer with age, and fewer from a balancer that has itself
//! run for a short time. Of several figures for one thing the median counts, so that one that is wrong or
//! stale is outvoted.

use super::{DecayedMean, LearnedState};
use crate::ewma::Ewma;
use crate::time::Micros;

/// The time constant by which figures lose their weight, in microseconds.
pub(super) const DECAY_TIME_US: f64 = 60e6;
/// A mean takes in so many samples at most: as many own answers count for as much.
const MAX_SAMPLES: f64 = 6.0;
/// An endpoint is believed to be at most so many times slower or faster than the pool.
pub(super) const MAX_RELATIVE_LATENCY: f64 = 6.0;
/// A balancer that has run for less than this many observation windows counts for less.
const FULL_TRUST_WINDOWS: f64 = 2.0;
/// Figures worth less than this many samples are ignored.
const MIN_SAMPLES: f64 = 0.01;
/// The least number of samples that a sum is divided by: keeps an empty mean from dividing by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// A figure, and the number of samples that it is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Evidence {
    /// The figure.
    pub value: f64,
    /// Samples.
    pub weight: f64,
}

/// What the figure of a mean is when nothing is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Prior {
    /// Nothing: only samples count.
    Zero,
    /// As the pool: a mean without samples can have a sum, as of an endpoint that never answered.
    One,
}

impl Prior {
    /// The figure of a mean without samples.
    fn value(self) -> f64 {
        match self {
            Prior::Zero => 0.0,
            Prior::One => 1.0,
        }
    }

    /// How many samples the prior counts as beside those of the mean.
    fn weight(self) -> f64 {
        match self {
            Prior::Zero => 0.0,
            Prior::One => 1.0,
        }
    }
}

/// What a mean comes to and how many samples it is worth by now; `None` where it is worth none.
/// `time_constant` is the observation window's, in microseconds.
pub(super) fn evidence(
    time_constant: f64,
    state: &LearnedState,
    mean: &DecayedMean,
    prior: Prior,
) -> Option<Evidence> {
    let DecayedMean { sum, weight, age } = *mean;
    let is_usable = sum.is_finite() && weight.is_finite() && sum >= 0.0 && weight >= 0.0;
    let age = age.max(0).saturating_add(state.age.max(0)) as f64;
    let source_trust = (state.uptime.max(0) as f64 / (FULL_TRUST_WINDOWS * time_constant)).min(1.0);
    // A sum without samples counts as those that the slowest endpoint would have had.
    let samples_of_sum = match prior {
        Prior::Zero => 0.0,
        Prior::One => (sum / MAX_RELATIVE_LATENCY).min(MAX_SAMPLES),
    };
    let samples = weight.max(samples_of_sum).min(MAX_SAMPLES) * decayed(age, DECAY_TIME_US) * source_trust;
    if !is_usable || samples <= MIN_SAMPLES || samples.is_nan() {
        return None;
    }
    let value = (sum + prior.value() * prior.weight()) / (weight + prior.weight()).max(MIN_DIVISOR);
    Some(Evidence { value, weight: samples })
}

/// What is left of a weight of 1 after `age`, in the unit of `time_constant`.
pub(super) fn decayed(age: f64, time_constant: f64) -> f64 {
    (-age / time_constant).exp()
}

/// The median of several figures and of their weights. Of two figures in the middle the one that is nearer to
/// `neutral`, which stands for nothing known.
pub(super) fn median(all: impl Iterator<Item = Evidence>, neutral: f64) -> Option<Evidence> {
    let (mut values, mut weights): (Vec<f64>, Vec<f64>) = all.map(|one| (one.value, one.weight)).unzip();
    values.sort_by(f64::total_cmp);
    weights.sort_by(f64::total_cmp);
    let count = values.len();
    let low = *values.get(count.checked_sub(1)? / 2)?;
    let high = *values.get(count / 2)?;
    let value = if (low - neutral).abs() <= (high - neutral).abs() { low } else { high };
    Some(Evidence { value, weight: weights[(count - 1) / 2] })
}

/// [`median`] of what [`evidence`] gives for means with one prior.
pub(super) fn median_with_prior(all: impl Iterator<Item = Evidence>, prior: Prior) -> Option<Evidence> {
    median(all, prior.value())
}

/// Adds a figure to a mean as so many samples, as far as it has fewer than [`MAX_SAMPLES`]. `time_constant` is in
/// microseconds.
pub(super) fn add_to(mean: &mut Ewma, now: Micros, time_constant: f64, evidence: Evidence) {
    mean.decay(now, time_constant);
    mean.updated_at = mean.updated_at.max(now);
    let weight = evidence.weight.min(MAX_SAMPLES - mean.weight);
    if weight > 0.0 {
        mean.sum += evidence.value * weight;
        mean.weight += weight;
    }
}

#[cfg(test)]
mod tests;
