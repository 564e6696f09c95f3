//! An exponentially weighted moving average with separate sum and weight. It can therefore also count events,
//! add to the sum without counting a sample, and use a prior while it has few samples.

use crate::time::{elapsed, Micros};

/// A decaying sum of samples and a decaying count of them.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    /// The decayed sum of the samples.
    pub sum: f64,
    /// The decayed number of samples.
    pub weight: f64,
    /// The time up to which both have been decayed.
    pub updated_at: Micros,
}

impl Ewma {
    /// Decays the sum and the weight up to `now`; `time_constant` is in microseconds. An earlier `now` has no
    /// effect.
    pub fn decay(&mut self, now: Micros, time_constant: f64) {
        if now > self.updated_at {
            let remaining = (-elapsed(self.updated_at, now) / time_constant).exp();
            self.sum *= remaining;
            self.weight *= remaining;
            self.updated_at = now;
        }
    }

    /// Adds one sample.
    pub fn record(&mut self, now: Micros, time_constant: f64, value: f64) {
        self.add_to_sum(now, time_constant, value);
        self.weight += 1.0;
    }

    /// Adds to the sum without counting a sample, for instance time spent without an answer.
    pub fn add_to_sum(&mut self, now: Micros, time_constant: f64, value: f64) {
        self.decay(now, time_constant);
        self.sum += value;
    }

    /// The mean, with `prior` counted as `prior_weight` samples.
    pub fn mean(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.sum + prior * prior_weight) / (self.weight + prior_weight)
    }
}

#[cfg(test)]
mod tests;
