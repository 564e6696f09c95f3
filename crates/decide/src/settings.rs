//! What one balancer is given at its start.
//!
//! Classes and tenants are known by index; their names never reach the decisions. Times are in microseconds.

mod check;

pub use check::SettingsError;

use crate::time::{Micros, TIME_LIMIT};

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Semantics {
    /// Repeats do no harm.
    #[default]
    Idempotent,
    /// A group of endpoints discards repeats for a while.
    Deduplicated {
        /// Which endpoints discard each other's repeats.
        group: DeduplicationGroup,
        /// How long they remember, from the first send that may have run.
        window: Micros,
    },
    /// Must never run twice.
    AtMostOnce,
}

/// Which endpoints discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// Every endpoint of the tier.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// An answer within this time has its full value.
    pub latency_objective: Micros,
    /// The longest a client waits. Not used by this version's decisions: requests bring their own time left.
    pub deadline: Micros,
    /// The value of an answer; classes with more of it are shed later.
    pub priority_weight: f64,
    /// The part of its value that an answer past the objective still has.
    pub late_answer_value: f64,
    /// Whether a request may run more than once.
    pub semantics: Semantics,
}

/// A tenant's quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second over all balancers that count as within its quota; 0 is without bounds.
    pub quota_per_s: f64,
}

/// What one balancer is given at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Balancers in this tier.
    pub balancers: u32,
    /// This balancer's number among them, from 0.
    pub rank: u32,
    /// The tier that this balancer sends into, 0 at the front.
    pub tier: usize,
    /// How many tiers there are.
    pub tiers: usize,
    /// The zone that this balancer is in.
    pub zone: usize,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The tenants, by index.
    pub tenants: Vec<Tenant>,
    /// The price of an attempt that crosses zones, in values of a request.
    pub cross_zone_price: f64,
    /// The endpoint list comes only when polled for.
    pub poll_discovery: bool,
    /// Without a subscription, poll again within this time.
    pub max_poll_interval: Micros,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Two attempts of one request may be in flight together. Accepted from the platform's settings; this
    /// version never hedges.
    pub hedging_allowed: bool,
    /// Health checks may be sent to endpoints.
    pub health_checks_allowed: bool,
    /// Balancers of a tier may send each other short messages, which may be late or lost.
    pub gossip_allowed: bool,
    /// Rejections carry a Retry-After.
    pub send_retry_after: bool,
    /// The longest Retry-After that clients obey.
    pub max_retry_after: Micros,
    /// Attempts that a request may have.
    pub max_attempts: usize,
    /// The shortest gap between two moments of decision.
    pub timer_resolution: Micros,
    /// An endpoint that just started has at least this part of its capacity.
    pub slow_start_min_capacity: f64,
    /// It has all of it after this time.
    pub slow_start_duration: Micros,
    /// It fails when it is sent more than this multiple of what it can do within `overload_window`.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_window: Micros,
}

/// The most balancers that a tier may have.
const MAX_BALANCERS: u32 = 1_000_000;
/// Balancers of a tier that are away at once while they are restarted one after another: the next begins to shut
/// down before the one before is back and has been noticed.
const MAX_CONCURRENT_RESTARTS: u32 = 2;
/// The largest number that is calculated with.
const MAX_NUMBER: f64 = 1e12;

impl Settings {
    /// May the callers of this balancer, while it shuts down, have nowhere else to go? Balancers do not know of each
    /// other's restarts, so this goes by their number alone.
    #[must_use]
    pub fn may_shut_down_alone(&self) -> bool {
        self.balancers <= MAX_CONCURRENT_RESTARTS
    }

    /// Says what makes these settings unusable, if anything does. A balancer takes any settings without a
    /// panic; with unusable ones it sheds or decides badly.
    ///
    /// # Errors
    /// The first setting found that makes no sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        check::check(self)
    }

    /// These settings with every number brought within bounds.
    pub(crate) fn bounded(mut self) -> Self {
        self.classes.iter_mut().for_each(Class::bound);
        for tenant in &mut self.tenants {
            bound_number(&mut tenant.quota_per_s);
        }
        bound_number(&mut self.cross_zone_price);
        bound_number(&mut self.slow_start_min_capacity);
        bound_number(&mut self.overload_multiple);
        bound_span(&mut self.max_poll_interval);
        bound_span(&mut self.max_retry_after);
        bound_span(&mut self.timer_resolution);
        bound_span(&mut self.slow_start_duration);
        bound_span(&mut self.overload_window);
        self.balancers = self.balancers.clamp(1, MAX_BALANCERS);
        self
    }
}

impl Class {
    fn bound(&mut self) {
        self.latency_objective = self.latency_objective.clamp(1, TIME_LIMIT);
        bound_number(&mut self.priority_weight);
        bound_number(&mut self.late_answer_value);
        if let Semantics::Deduplicated { window, .. } = &mut self.semantics {
            bound_span(window);
        }
    }
}

fn bound_number(number: &mut f64) {
    *number = if number.is_finite() { number.clamp(0.0, MAX_NUMBER) } else { 0.0 };
}

fn bound_span(span: &mut Micros) {
    *span = (*span).clamp(0, TIME_LIMIT);
}
