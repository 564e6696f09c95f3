//! The pool's load, from the samples of one control period.
//!
//! Rule: load is the median utilisation that endpoints report over its target, or the median latency (in
//! latency objectives) over its target plus the part of the attempts that were rejected or failed; above 1 the
//! pool is overloaded. The median, as one slow endpoint must not shed what the others could serve. Utilisation
//! says nothing of what waits in deeper tiers, so except in the deepest the greater of the two counts.
//!
//! The latency target lies between the latency of the quiet pool (the baseline) and the objective.

use crate::gossip::LoadSignal;
use crate::Settings;

/// The target of reported utilisation.
const TARGET_UTILISATION: f64 = 0.92;
/// The latency target at the front tier, as the part of the way from baseline to objective.
const FRONT_LATENCY_TARGET: f64 = 0.4;
/// And in deeper tiers: what they shed wastes the work above, so the front is to shed first.
const DEEP_LATENCY_TARGET: f64 = 0.6;
/// Periods without samples for which the cursor holds.
const MAX_HOLD_PERIODS: u32 = 4;
/// How fast the baseline follows lower latencies, in parts a period.
const BASELINE_FALL: f64 = 0.2;
/// And higher ones, while nothing is shed: it must not learn the overload.
const BASELINE_RISE: f64 = 0.002;
/// The highest baseline, in latency objectives.
pub(crate) const MAX_BASELINE: f64 = 0.6;

/// Where a load was read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadSource {
    /// The attempts of this balancer and of the peers that gossip.
    Answers,
    /// Load reports of endpoints.
    Reports,
}

/// The load of one period.
#[derive(Clone, Copy)]
pub(crate) struct LoadReading {
    /// Over its target; above 1 is overload.
    pub load: f64,
    /// Where it was read from.
    pub source: LoadSource,
}

/// The samples of the current period, and the baseline.
pub(crate) struct LoadEstimator {
    is_deepest_tier: bool,
    latency_target: f64,
    /// Latencies, in latency objectives.
    latencies: Vec<f64>,
    /// Attempts that ended in this period with a load signal, and those that clients left.
    ended: f64,
    /// Those of them that were rejected or failed.
    rejected_or_failed: f64,
    /// The latency of the quiet pool, in latency objectives.
    baseline: Option<f64>,
    periods_without_samples: u32,
}

impl LoadEstimator {
    /// No samples and no baseline.
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

    /// The latency of the quiet pool, in latency objectives.
    pub fn baseline(&self) -> Option<f64> {
        self.baseline
    }

    /// Takes a baseline from elsewhere, within its bounds.
    pub fn set_baseline(&mut self, baseline: f64) {
        self.baseline = Some(baseline.clamp(0.0, MAX_BASELINE));
    }

    /// Takes in the load signal of an attempt that ended.
    pub fn record(&mut self, signal: LoadSignal) {
        match signal {
            LoadSignal::None => return,
            // Deeper tiers answer what they shed with an error.
            LoadSignal::Rejected | LoadSignal::Failed => self.rejected_or_failed += 1.0,
            LoadSignal::Latency(units) => self.latencies.push(LoadSignal::latency_in_objectives(units)),
        }
        self.ended += 1.0;
    }

    /// Takes in that a client left while its request was in flight: to it the answer was late.
    pub fn record_disconnect(&mut self) {
        self.latencies.push(1.0);
        self.ended += 1.0;
    }

    /// Has no latency been sampled in this period?
    pub fn lacks_latencies(&self) -> bool {
        self.latencies.is_empty()
    }

    /// Takes in how long an attempt in flight has taken so far, in latency objectives, where no answer has come:
    /// a small balancer's late answers come too late to tell of an overload.
    pub fn record_overdue(&mut self, latency: f64) {
        self.latencies.push(latency);
    }

    /// The load of the period that ends; `None` without samples.
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

    /// May the cursor hold for want of samples?
    pub fn may_hold(&self) -> bool {
        self.periods_without_samples <= MAX_HOLD_PERIODS
    }

    /// Forgets the samples of the period that ends.
    pub fn start_period(&mut self) {
        self.latencies.clear();
        self.ended = 0.0;
        self.rejected_or_failed = 0.0;
    }

    /// Follows the baseline, and gives the load at a median latency (in latency objectives).
    fn load_by_latency(&mut self, latency: f64, is_quiet: bool) -> f64 {
        let baseline = self.follow_baseline(latency, is_quiet).min(MAX_BASELINE);
        let rejected_part = self.rejected_or_failed / self.ended.max(1.0);
        latency / (baseline + self.latency_target * (1.0 - baseline)) + rejected_part
    }

    fn follow_baseline(&mut self, latency: f64, is_quiet: bool) -> f64 {
        let known = *self.baseline.get_or_insert(latency);
        let rise = if is_quiet { BASELINE_RISE } else { 0.0 };
        let step = if latency < known { BASELINE_FALL } else { rise };
        let baseline = known + step * (latency - known);
        self.baseline = Some(baseline);
        baseline
    }
}

/// The upper median; reorders the values.
fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

#[cfg(test)]
mod tests;
