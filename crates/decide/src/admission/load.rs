//! The load of the pool, from the samples of one control period.
//!
//! Rule: the load is the median utilisation that endpoints report, over its target; or the median latency in
//! latency objectives, over its target, plus the fraction of the attempts that were answered with a rejection
//! or an error. Above 1 the pool is overloaded. The median is used so that one slow endpoint does not shed
//! what the others could serve. Utilisation does not include the queues of deeper tiers, so in all but the
//! deepest tier the greater of the two counts.
//!
//! The latency target lies between the latency of the quiet pool (the baseline) and the objective.

use crate::gossip::LoadSignal;
use crate::Settings;

/// The target of reported utilisation.
const TARGET_UTILISATION: f64 = 0.92;
/// The latency target of the front tier, as a fraction of the way from the baseline to the objective.
const FRONT_LATENCY_TARGET: f64 = 0.4;
/// The latency target of deeper tiers, as a fraction of the way from the baseline to the objective. It is
/// higher than at the front because a request shed in a deeper tier wastes the work of the tiers above, so
/// the front tier is to shed first.
const DEEP_LATENCY_TARGET: f64 = 0.6;
/// The number of control periods without samples for which the cursor holds.
const MAX_HOLD_PERIODS: u32 = 4;
/// The rate at which the baseline follows lower latencies, as a fraction of the difference per control
/// period.
const BASELINE_FALL: f64 = 0.2;
/// The rate at which the baseline follows higher latencies while nothing is shed, as a fraction of the
/// difference per control period. It is low because an overload must not become the baseline.
const BASELINE_RISE: f64 = 0.002;
/// The highest baseline, in latency objectives.
pub(crate) const MAX_BASELINE: f64 = 0.6;

/// The source of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSource {
    /// Attempts of this balancer and of the peers that gossip.
    Answers,
    /// Load reports of endpoints.
    Reports,
}

/// The load of one period.
#[derive(Clone, Copy)]
pub(crate) struct LoadReading {
    /// The measurement over its target; above 1 is overload.
    pub load: f64,
    /// The source of the measurement.
    pub source: LoadSource,
}

/// The samples of the current period, and the baseline.
pub(crate) struct LoadEstimator {
    is_deepest_tier: bool,
    latency_target: f64,
    /// The latencies of this period, in latency objectives.
    latencies: Vec<f64>,
    /// The number of attempts that ended in this period with a load signal, and of clients that disconnected.
    ended: f64,
    /// The number of attempts in this period that were answered with a rejection or an error.
    rejected_or_failed: f64,
    /// The latency of the quiet pool, in latency objectives; `None` until it is sampled or set.
    baseline: Option<f64>,
    periods_without_samples: u32,
}

impl LoadEstimator {
    /// Creates the estimator without samples and without a baseline.
    pub fn new(settings: &Settings) -> Self {
        LoadEstimator {
            is_deepest_tier: settings.tier + 1 >= settings.tiers,
            latency_target: if settings.tier > 0 { DEEP_LATENCY_TARGET } else { FRONT_LATENCY_TARGET },
            latencies: Vec::new(),
            ended: 0.0,
            rejected_or_failed: 0.0,
            baseline: None,
            periods_without_samples: 0,
        }
    }

    /// The latency of the quiet pool, in latency objectives; `None` until it is sampled or set.
    pub fn baseline(&self) -> Option<f64> {
        self.baseline
    }

    /// Sets a baseline learned elsewhere, clamped to its bounds.
    pub fn set_baseline(&mut self, baseline: f64) {
        self.baseline = Some(baseline.clamp(0.0, MAX_BASELINE));
    }

    /// Records the load signal of an attempt that ended.
    pub fn record(&mut self, signal: LoadSignal) {
        match signal {
            LoadSignal::None => return,
            // A deeper tier answers with an error when it sheds a request.
            LoadSignal::Rejected | LoadSignal::Failed => self.rejected_or_failed += 1.0,
            LoadSignal::Latency(units) => self.latencies.push(LoadSignal::latency_in_objectives(units)),
        }
        self.ended += 1.0;
    }

    /// Records that a client disconnected while its request was in flight. It counts as a latency of one
    /// objective, because the client did not get its answer in time.
    pub fn record_disconnect(&mut self) {
        self.latencies.push(1.0);
        self.ended += 1.0;
    }

    /// Whether no latency has been sampled in this period.
    pub fn lacks_latencies(&self) -> bool {
        self.latencies.is_empty()
    }

    /// Records the time that an attempt in flight has taken so far, in latency objectives, when no answer has
    /// arrived. A balancer with few requests gets so few answers in an overload that waiting for them would
    /// detect it too late.
    pub fn record_overdue(&mut self, latency: f64) {
        self.latencies.push(latency);
    }

    /// The load of the control period that ends; `None` without samples. `is_quiet` permits a rise of the
    /// baseline: the cursor is at the first slot.
    pub fn read(&mut self, reported_utilisation: &mut [f64], is_quiet: bool) -> Option<LoadReading> {
        let by_reports = median(reported_utilisation).map(|utilisation| utilisation / TARGET_UTILISATION);
        let by_answers = median(&mut self.latencies).map(|latency| self.load_by_latency(latency, is_quiet));
        let reading = match (by_reports, by_answers) {
            (Some(reports), Some(answers)) if !self.is_deepest_tier && answers >= reports => {
                Some(LoadReading { load: answers, source: LoadSource::Answers })
            }
            (Some(load), _) => Some(LoadReading { load, source: LoadSource::Reports }),
            (None, Some(load)) => Some(LoadReading { load, source: LoadSource::Answers }),
            (None, None) => None,
        };
        self.periods_without_samples = if reading.is_some() { 0 } else { self.periods_without_samples + 1 };
        reading
    }

    /// Whether the cursor may hold its position although there are no samples.
    pub fn may_hold(&self) -> bool {
        self.periods_without_samples <= MAX_HOLD_PERIODS
    }

    /// Removes the samples of the control period that ends.
    pub fn start_period(&mut self) {
        self.latencies.clear();
        self.ended = 0.0;
        self.rejected_or_failed = 0.0;
    }

    /// Updates the baseline, and returns the load at a median latency (in latency objectives).
    fn load_by_latency(&mut self, latency: f64, is_quiet: bool) -> f64 {
        let baseline = self.follow_baseline(latency, is_quiet).min(MAX_BASELINE);
        let rejected_fraction = self.rejected_or_failed / self.ended.max(1.0);
        latency / (baseline + self.latency_target * (1.0 - baseline)) + rejected_fraction
    }

    fn follow_baseline(&mut self, latency: f64, is_quiet: bool) -> f64 {
        let previous = *self.baseline.get_or_insert(latency);
        let rise = if is_quiet { BASELINE_RISE } else { 0.0 };
        let step = if latency < previous { BASELINE_FALL } else { rise };
        let baseline = previous + step * (latency - previous);
        self.baseline = Some(baseline);
        baseline
    }
}

/// The upper median; `None` if there are no values. Reorders the values.
fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

#[cfg(test)]
mod tests;
