//! The settings of one balancer.
//!
//! Classes and tenants are held as indexes; the decisions do not use their names. Times are in microseconds.

mod check;

pub use check::SettingsError;

use crate::time::{Micros, TIME_LIMIT};

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Semantics {
    /// Repeats do no harm.
    #[default]
    Idempotent,
    /// Repeats are discarded by a group of endpoints for a while.
    Deduplicated {
        /// Which endpoints discard each other's repeats.
        group: DeduplicationGroup,
        /// The time for which repeats are discarded, from the first send of an attempt that may have been
        /// executed.
        window: Micros,
    },
    /// The request must never be executed twice.
    AtMostOnce,
}

/// Which endpoints discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// All endpoints of the tier.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// The time within which an answer has its full value.
    pub latency_objective: Micros,
    /// The longest time that a client waits. Not used by the decisions of this version, because each request
    /// has its own time left.
    pub deadline: Micros,
    /// The value of an answer; classes with a higher value are shed later.
    pub priority_weight: f64,
    /// The fraction of its value that an answer past the objective still has.
    pub late_answer_value: f64,
    /// Whether a request may be executed more than once.
    pub semantics: Semantics,
}

/// A tenant's quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// The requests per second over all balancers that count as within the quota; 0 sets no limit.
    pub quota_per_s: f64,
}

/// The settings of one balancer.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The number of balancers in this tier.
    pub balancers: u32,
    /// The rank of this balancer in its tier, from 0.
    pub rank: u32,
    /// The tier that this balancer sends into, 0 at the front.
    pub tier: usize,
    /// The number of tiers.
    pub tiers: usize,
    /// The zone of this balancer, as an index into the names of the settings.
    pub zone: usize,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The tenants, by index.
    pub tenants: Vec<Tenant>,
    /// The price of an attempt that crosses zones, as a multiple of the value of a request.
    pub cross_zone_price: f64,
    /// Whether the endpoint list has to be polled.
    pub poll_discovery: bool,
    /// The longest interval between two polls of the endpoint list while there is no watch.
    pub max_poll_interval: Micros,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether two attempts of one request may be in flight together. Accepted from the settings of the
    /// platform; this version never hedges.
    pub hedging_allowed: bool,
    /// Whether health checks may be sent to endpoints.
    pub health_checks_allowed: bool,
    /// Whether balancers of a tier may send each other short messages, which may be late or lost.
    pub gossip_allowed: bool,
    /// Whether rejections have a Retry-After. Only balancers of the front tier send one.
    pub send_retry_after: bool,
    /// The longest Retry-After that clients observe.
    pub max_retry_after: Micros,
    /// The highest number of attempts of a request.
    pub max_attempts: usize,
    /// The timer resolution of the platform. The control period is at least four times as long.
    pub timer_resolution: Micros,
    /// The fraction of its full capacity that an endpoint has at its start.
    pub slow_start_min_capacity: f64,
    /// The time after which a started endpoint has its full capacity.
    pub slow_start_duration: Micros,
    /// The load beyond which an endpoint fails: the requests that it gets within `overload_window`, as a
    /// multiple of those that it can serve in that time.
    pub overload_multiple: f64,
    /// The time over which `overload_multiple` is measured.
    pub overload_window: Micros,
}

/// The highest number of balancers of a tier.
const MAX_BALANCERS: u32 = 1_000_000;
/// The number of balancers of a tier that are down at once during a rolling restart: the next one begins to
/// shut down before the previous one is running again and has been detected.
const MAX_CONCURRENT_RESTARTS: u32 = 2;
/// The highest value of each setting that is a floating-point number.
const MAX_NUMBER: f64 = 1e12;

impl Settings {
    /// Whether clients may have no other balancer to connect to while this one shuts down. Balancers are not
    /// notified of each other's restarts, so only their number counts.
    #[must_use]
    pub fn may_shut_down_alone(&self) -> bool {
        self.balancers <= MAX_CONCURRENT_RESTARTS
    }

    /// Checks whether the settings are usable. A balancer accepts any settings without a panic, but with
    /// unusable ones it sheds requests or its decisions are bad.
    ///
    /// # Errors
    /// Returns the first unusable setting found.
    pub fn check(&self) -> Result<(), SettingsError> {
        check::check(self)
    }

    /// Returns the settings with every number clamped to its bounds.
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
