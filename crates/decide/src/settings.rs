//! What one balancer is given at its start. Classes and tenants are known by index; their names never reach the decisions.

use crate::time::{Micros, TIME_LIMIT};

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Semantics {
    /// Repeats do no harm.
    #[default]
    Idempotent,
    /// A group of backends discards repeats for a while.
    Deduplicated {
        /// Which backends share the memory of what ran.
        group: DeduplicationGroup,
        /// How long they remember, from the first send that may have run.
        window: Micros,
    },
    /// Must never run twice.
    AtMostOnce,
}

/// Which backends discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// Every backend of the tier.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub latency_objective: Micros,
    /// The longest a client waits.
    pub deadline: Micros,
    /// The worth of an answer.
    pub priority_weight: f64,
    /// The part of the worth that an answer past the aim still has.
    pub late_answer_value: f64,
    /// May it run again?
    pub semantics: Semantics,
}

/// A tenant's share.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second over all balancers that count as within its share.
    pub quota_per_s: f64,
}

/// What one balancer is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Balancers in this tier.
    pub balancers: u32,
    /// This balancer's number among them, from 0.
    pub rank: u32,
    /// The tier sent into, 0 at the front.
    pub tier: usize,
    /// How many tiers there are.
    pub tiers: usize,
    /// The zone this balancer stands in.
    pub zone: usize,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The tenants, by index.
    pub tenants: Vec<Tenant>,
    /// The price of an attempt that crosses zones, in worth of a request.
    pub cross_zone_price: f64,
    /// The list of backends comes only when asked for.
    pub poll_discovery: bool,
    /// Without a subscription, ask again within this time.
    pub max_poll_interval: Micros,
    /// Attempts may be called off.
    pub can_cancel: bool,
    /// Two attempts of one request may be out together.
    pub hedging_allowed: bool,
    /// Backends may be probed.
    pub health_checks_allowed: bool,
    /// Balancers of a tier may send each other short messages, which may be late or lost.
    pub gossip_allowed: bool,
    /// Clients are told how long to wait after a refusal.
    pub send_retry_after: bool,
    /// The longest wait that clients obey.
    pub max_retry_after: Micros,
    /// Attempts a request may have.
    pub max_attempts: usize,
    /// The shortest gap between two moments of decision.
    pub timer_resolution: Micros,
    /// A fresh backend has at least this part of its capacity.
    pub slow_start_min_capacity: f64,
    /// And all of it after this time.
    pub slow_start_duration: Micros,
    /// It falls over when sent more than this multiple of what it can do
    pub overload_multiple: f64,
    /// for this long.
    pub overload_window: Micros,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

const MOST_BALANCERS: u32 = 1_000_000;

/// So many balancers of a tier are away at once while they are restarted one after another: the next is told to end
/// before the one before is back and has been noticed.
const AWAY_AT_ONCE: u32 = 2;

impl Settings {
    /// May the callers of this balancer, while it ends, have nowhere else to go? Balancers do not know of each other's
    /// restarts, so this goes by their number alone.
    #[must_use]
    pub fn may_end_alone(&self) -> bool {
        self.balancers <= AWAY_AT_ONCE
    }

    /// Says what makes these settings unusable, if anything does. A balancer takes any settings without a
    /// panic; with unusable ones it refuses or decides badly.
    ///
    /// # Errors
    /// The first setting found that makes no sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fault = |text: String| Err(SettingsError(text));
        if self.classes.is_empty() {
            return fault("no classes".to_owned());
        }
        for (i, class) in self.classes.iter().enumerate() {
            if class.latency_objective <= 0 || class.latency_objective > TIME_LIMIT {
                return fault(format!(
                    "class {i}: the aim is no time to answer in: {} us",
                    class.latency_objective
                ));
            }
            if !class.priority_weight.is_finite() || class.priority_weight < 0.0 {
                return fault(format!("class {i}: not a worth: {}", class.priority_weight));
            }
            if let Semantics::Deduplicated { window, .. } = class.semantics {
                if window < 0 {
                    return fault(format!("class {i}: a window of less than nothing: {window} us"));
                }
            }
        }
        if self.balancers == 0 || self.balancers > MOST_BALANCERS {
            return fault(format!("not a number of balancers: {}", self.balancers));
        }
        if self.rank >= self.balancers {
            return fault(format!("rank {} of {} balancers", self.rank, self.balancers));
        }
        if self.tiers == 0 || self.tier >= self.tiers {
            return fault(format!("tier {} of {}", self.tier, self.tiers));
        }
        if self.max_attempts == 0 {
            return fault("no attempt is allowed".to_owned());
        }
        // The names are those of the settings' keys.
        let spans = [
            ("must_ask_in", self.max_poll_interval),
            ("max_retry_after", self.max_retry_after),
            ("tick", self.timer_resolution),
            ("cold_time", self.slow_start_duration),
            ("fall_time", self.overload_window),
        ];
        if let Some((name, span)) = spans.iter().find(|(_, span)| !(0..=TIME_LIMIT).contains(span)) {
            return fault(format!("{name}: not a span of time: {span} us"));
        }
        let numbers = [
            ("cross_zone_price", self.cross_zone_price),
            ("cold_from", self.slow_start_min_capacity),
            ("fall_multiple", self.overload_multiple),
        ];
        match numbers.iter().find(|(_, x)| !x.is_finite() || *x < 0.0) {
            Some((name, x)) => fault(format!("{name}: not a number at or above 0: {x}")),
            None => Ok(()),
        }
    }

    /// These settings with every figure brought within what can be reckoned with.
    pub(crate) fn bounded(mut self) -> Self {
        let number = |x: &mut f64| *x = if x.is_finite() { x.clamp(0.0, 1e12) } else { 0.0 };
        for class in &mut self.classes {
            class.latency_objective = class.latency_objective.clamp(1, TIME_LIMIT);
            number(&mut class.priority_weight);
            number(&mut class.late_answer_value);
            if let Semantics::Deduplicated { window, .. } = &mut class.semantics {
                *window = (*window).clamp(0, TIME_LIMIT);
            }
        }
        self.tenants.iter_mut().for_each(|t| number(&mut t.quota_per_s));
        for x in [&mut self.cross_zone_price, &mut self.slow_start_min_capacity, &mut self.overload_multiple]
        {
            number(x);
        }
        let spans = [
            &mut self.max_poll_interval,
            &mut self.max_retry_after,
            &mut self.timer_resolution,
            &mut self.slow_start_duration,
            &mut self.overload_window,
        ];
        spans.into_iter().for_each(|span| *span = (*span).clamp(0, TIME_LIMIT));
        self.balancers = self.balancers.clamp(1, MOST_BALANCERS);
        self
    }
}
