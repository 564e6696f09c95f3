//! The weight of imported figures.
//!
//! Rule: an imported figure counts as at most [`MAX_SAMPLES`] samples. It counts as fewer samples the older
//! it is, and the shorter the balancer that exported it had run. If several states have a figure for the same
//! mean, their median is used, so that a single wrong or outdated one has no effect.

use super::{DecayedMean, LearnedState};
use crate::ewma::Ewma;
use crate::time::Micros;

/// The time constant by which the weight of figures decays, in microseconds.
pub(super) const DECAY_TIME_US: f64 = 60e6;
/// The highest weight that a mean may reach when a figure is added to it, in samples. That many samples of
/// this balancer then have the same weight as the imported ones.
const MAX_SAMPLES: f64 = 6.0;
/// The highest accepted factor by which an endpoint is slower or faster than the pool.
pub(super) const MAX_RELATIVE_LATENCY: f64 = 6.0;
/// The uptime from which the figures of a balancer have their full weight, in observation windows.
const FULL_TRUST_WINDOWS: f64 = 2.0;
/// The weight, in samples, at or below which a figure is ignored.
const MIN_SAMPLES: f64 = 0.01;
/// The lowest divisor of a sum, in samples; prevents a division by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// An imported figure and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Evidence {
    /// The figure.
    pub value: f64,
    /// The number of samples that the figure counts as.
    pub weight: f64,
}

/// The value of a mean without samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Prior {
    /// Zero with no weight: only samples count.
    Zero,
    /// One with a weight of one sample: equal to the pool. Used for means that can have a sum without
    /// samples, for instance for an endpoint that never answered.
    One,
}

impl Prior {
    /// The value of a mean without samples.
    fn value(self) -> f64 {
        match self {
            Prior::Zero => 0.0,
            Prior::One => 1.0,
        }
    }

    /// The number of samples that the prior counts as, beside those of the mean.
    fn weight(self) -> f64 {
        match self {
            Prior::Zero => 0.0,
            Prior::One => 1.0,
        }
    }
}

/// The figure of a mean and its weight at present; `None` if the mean is invalid or weighs too little.
/// `time_constant` is that of the observation window, in microseconds.
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
    // A mean of relative latency can have a sum without samples, if an endpoint never answered. Its sum then
    // counts as the number of samples that would result in the highest accepted relative latency.
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

/// The fraction of a weight that is left after `age`, in the unit of `time_constant`.
pub(super) fn decayed(age: f64, time_constant: f64) -> f64 {
    (-age / time_constant).exp()
}

/// The median of several figures and the median of their weights; `None` if there are no figures. Of two
/// figures in the middle, the one nearer to `neutral` (the value without information) counts.
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

/// The [`median`] of figures that [`evidence`] returned for means with one prior.
pub(super) fn median_with_prior(all: impl Iterator<Item = Evidence>, prior: Prior) -> Option<Evidence> {
    median(all, prior.value())
}

/// Adds a figure to a mean with its weight, up to a total weight of [`MAX_SAMPLES`]. `time_constant` is in
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
