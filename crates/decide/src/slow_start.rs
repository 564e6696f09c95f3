//! Slow start: limits the requests that a balancer sends to an endpoint while it warms up.
//!
//! Rules:
//! - The capacity of a warming endpoint grows linearly from `slow_start_min_capacity` to its full capacity
//!   within `slow_start_duration`. The endpoint fails if all balancers together send more than
//!   `overload_multiple` times that capacity for `overload_window`.
//! - That limit is divided evenly among the balancers, as if all of them used their shares in full. A
//!   balancer uses only a fraction of its share (its budget), because balancers do not observe each other's
//!   requests.
//! - The capacity of a warm endpoint is measured in the successful answers that this balancer gets.
//! - A warming endpoint ranks last and would get no request until the warm endpoints are crowded. If it has
//!   had none for a while, it occasionally gets a warm-up request.
//!
//! Times are in microseconds, rates in requests per microsecond.

use fastrand::Rng;

use crate::attempts::PendingRequest;
use crate::endpoint_table::{EndpointRecord, EndpointTable};
use crate::index::EndpointIndex;
use crate::selection::latency::LatencyModel;
use crate::throughput::Throughput;
use crate::time::{Micros, ObservationWindow, DISTANT_PAST};
use crate::{Endpoint, Settings};

/// The highest fraction of the budget that is used. The rest is for balancers that get more than an even
/// share of the requests.
const MAX_BUDGET_USE: f64 = 0.5;
/// The number of standard deviations of a Poisson count by which the budget exceeds the mean number of
/// requests.
const SAFETY_DEVIATIONS: f64 = 3.0;
/// The value that replaces a smaller budget in a divisor, in requests; prevents a division by zero.
const MIN_BUDGET: f64 = 1e-9;
/// The lowest fraction of its capacity that is assumed for a warming endpoint.
const MIN_CAPACITY_FRACTION: f64 = 0.01;
/// The rate at which the measured capacity of a warm endpoint follows higher values, as a fraction of the
/// difference per control period.
const CAPACITY_RISE: f64 = 0.1;
/// The rate at which the measured capacity of a warm endpoint follows lower values, as a fraction of the
/// difference per control period. It is low because requests that are shed when too few endpoints are warm
/// must not lower the measurement.
const CAPACITY_FALL: f64 = 0.003;
/// While at least one endpoint is warm, at least the number of ready endpoints divided by this is assumed to
/// be warm.
const MIN_WARM_DIVISOR: f64 = 8.0;
/// Warm-up requests as a fraction of all requests.
const WARMUP_SHARE: f64 = 0.1;
/// The time without a request after which a warming endpoint is due for a warm-up request, in observation
/// windows.
const WARMUP_INTERVAL: f64 = 0.5;

/// The token bucket of one warming endpoint; a token permits this balancer one request.
pub(crate) struct SlowStartBudget {
    tokens: f64,
    refilled_at: Micros,
}

impl Default for SlowStartBudget {
    fn default() -> Self {
        SlowStartBudget { tokens: 0.0, refilled_at: DISTANT_PAST }
    }
}

impl SlowStartBudget {
    /// The tokens left, in requests.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes the token of a request that is sent.
    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Refills the bucket at `rate` (tokens per microsecond) up to `max_tokens`, and draws whether a request
    /// may be sent. With less than one token, the number of tokens is the probability of permission.
    ///
    /// A failed draw empties the bucket: if many balancers each saved up a whole token, all of them would
    /// send at the same time when their warm endpoints fail. A successful draw takes no token;
    /// [`SlowStartBudget::spend`] does.
    fn draw_permission(
        &mut self,
        now: Micros,
        up_since: Option<Micros>,
        rate: f64,
        max_tokens: f64,
        rng: &mut Rng,
    ) -> bool {
        let refilled_at = self.refilled_at.max(up_since.unwrap_or(now));
        let since_refill = (now - refilled_at).max(0) as f64;
        self.tokens = (self.tokens + since_refill * rate).min(max_tokens);
        self.refilled_at = now;
        let is_permitted = rng.f64() < self.tokens;
        if !is_permitted {
            self.tokens = 0.0;
        }
        is_permitted
    }
}

/// The state of the pool that slow start reads, beside its own.
pub(crate) struct SlowStartPool<'a> {
    /// The time of the event.
    pub now: Micros,
    /// The observation window of the measurements.
    pub window: ObservationWindow,
    /// All endpoints. Permissions are drawn from their budgets.
    pub endpoints: &'a mut EndpointTable,
    /// The ready endpoints.
    pub ready: &'a [EndpointIndex],
    /// The rates of requests that arrive and that are served.
    pub throughput: &'a mut Throughput,
}

/// The capacity of warming endpoints, and the rate at which this balancer may send to them.
pub(crate) struct SlowStart {
    min_capacity: f64,
    /// The duration of slow start, in microseconds.
    duration: f64,
    overload_multiple: f64,
    /// The overload window, in microseconds.
    overload_window: f64,
    balancers: f64,
    /// Successful answers per microsecond that this balancer gets from one warm endpoint; `None` before the
    /// first measurement.
    warm_capacity: Option<f64>,
    /// The number of warm-up requests that may be sent, at most 1.
    warmup_tokens: f64,
}

impl SlowStart {
    /// Creates slow start from the settings, without a measurement.
    pub fn new(settings: &Settings) -> Self {
        SlowStart {
            min_capacity: settings.slow_start_min_capacity,
            duration: settings.slow_start_duration.max(1) as f64,
            overload_multiple: settings.overload_multiple,
            overload_window: settings.overload_window as f64,
            balancers: f64::from(settings.balancers),
            warm_capacity: None,
            warmup_tokens: 0.0,
        }
    }

    /// The fraction of its capacity that a warming endpoint has at `now`; `None` if it is warm.
    pub fn capacity_fraction(&self, now: Micros, entry: &Endpoint) -> Option<f64> {
        let age = now - entry.up_since?;
        let progress = age.max(0) as f64 / self.duration;
        (progress < 1.0)
            .then(|| (self.min_capacity + (1.0 - self.min_capacity) * progress).max(MIN_CAPACITY_FRACTION))
    }

    /// Whether this endpoint has completed its slow start.
    pub fn is_warm(&self, now: Micros, entry: &Endpoint) -> bool {
        self.capacity_fraction(now, entry).is_none()
    }

    /// Measures the capacity of a warm endpoint, once per control period. In the first observation window,
    /// and while less than half of the ready endpoints are warm, the last measurement is kept.
    pub fn on_period(&mut self, pool: &mut SlowStartPool<'_>) {
        let SlowStartPool { now, window, ref endpoints, ready, ref mut throughput } = *pool;
        throughput.served_warm.decay(now, window.time_constant);
        let is_warm = |index: &&EndpointIndex| self.is_warm(now, &endpoints[**index].entry);
        let warm = ready.iter().filter(is_warm).count();
        if window.age(now) <= window.time_constant || 2 * warm < ready.len().max(1) {
            return;
        }
        let measured = throughput.served_warm.weight / warm as f64 / window.span(now);
        let previous = *self.warm_capacity.get_or_insert(measured);
        let step = if measured < previous { CAPACITY_FALL } else { CAPACITY_RISE };
        self.warm_capacity = Some(previous + step * (measured - previous));
    }

    /// Draws whether this endpoint may get a request now. A warm endpoint always may.
    pub fn draw_permission(&self, index: EndpointIndex, pool: &mut SlowStartPool<'_>, rng: &mut Rng) -> bool {
        let now = pool.now;
        let Some(fraction) = self.capacity_fraction(now, &pool.endpoints[index].entry) else { return true };
        let rate = self.safe_rate(fraction, self.warm_capacity_now(pool));
        let max_tokens = rate * self.overload_window / 2.0;
        let record = &mut pool.endpoints[index];
        record.slow_start.draw_permission(now, record.entry.up_since, rate, max_tokens, rng)
    }

    /// The capacity of a warm endpoint: the last measurement, or the rate served now if that is higher. The
    /// rate served now is divided by the number of warm endpoints ([`MIN_WARM_DIVISOR`] sets the lowest) or,
    /// if none is warm, by the sum of the capacity fractions of the warming ones. Without a measurement and
    /// without warm endpoints, it is an even share of the arrivals.
    fn warm_capacity_now(&self, pool: &mut SlowStartPool<'_>) -> f64 {
        let SlowStartPool { now, window, ref endpoints, ready, ref mut throughput } = *pool;
        throughput.arrivals.decay(now, window.time_constant);
        throughput.served.decay(now, window.time_constant);
        let span = window.span(now);
        let ready_count = ready.len() as f64;
        let fractions = ready.iter().map(|&index| self.capacity_fraction(now, &endpoints[index].entry));
        let warm = fractions.clone().filter(Option::is_none).count() as f64;
        let sharers = if warm > 0.0 {
            warm.max(ready_count / MIN_WARM_DIVISOR)
        } else {
            fractions.flatten().sum::<f64>().max(MIN_CAPACITY_FRACTION)
        };
        match self.warm_capacity {
            Some(measured) => measured.max(throughput.served.weight / sharers / span),
            None if warm > 0.0 => throughput.served.weight / sharers / span,
            None => throughput.arrivals.weight / ready_count.max(1.0) / span,
        }
    }

    /// The rate at which this balancer may send to an endpoint that has this fraction of `capacity`. It is an
    /// even share of what all balancers may send within the overload window, less three standard deviations,
    /// because an even share of a small budget is often exceeded by chance. It is at most [`MAX_BUDGET_USE`]
    /// of the even share.
    fn safe_rate(&self, fraction: f64, capacity: f64) -> f64 {
        let limit = self.overload_multiple * fraction * capacity * self.balancers;
        let budget = limit * self.overload_window;
        // Solves x + 3 * sqrt(x) = budget: the mean x of a Poisson count that stays three standard deviations
        // below the budget.
        let discriminant = SAFETY_DEVIATIONS * SAFETY_DEVIATIONS + 4.0 * budget;
        let safe_mean = ((discriminant.sqrt() - SAFETY_DEVIATIONS) / 2.0).powi(2);
        let safe_fraction = safe_mean / budget.max(MIN_BUDGET);
        safe_fraction.min(MAX_BUDGET_USE) * limit / self.balancers
    }

    /// Adds tokens for one request that arrived; a warm-up request takes one token.
    pub fn earn_warmup(&mut self) {
        self.warmup_tokens = (self.warmup_tokens + WARMUP_SHARE).min(1.0);
    }

    /// Takes the token of a warm-up request that is sent.
    pub fn spend_warmup(&mut self) {
        self.warmup_tokens -= 1.0;
    }

    /// Whether this request is to be sent to this endpoint to warm it up. Only a first attempt with enough
    /// time left for a slow answer is used for that.
    pub fn is_warmup_due(
        &self,
        now: Micros,
        request: &PendingRequest,
        endpoint: &EndpointRecord,
        latency: &LatencyModel,
        window: ObservationWindow,
    ) -> bool {
        let interval = (WARMUP_INTERVAL * window.time_constant) as Micros;
        let is_idle = now - endpoint.last_sent_at > interval;
        if !is_idle || self.warmup_tokens < 1.0 {
            return false;
        }
        let Some(fraction) = self.capacity_fraction(now, &endpoint.entry) else { return false };
        let can_wait = (request.deadline - now) as f64 * fraction > latency.typical(request.class);
        can_wait && request.attempts.is_empty()
    }
}

#[cfg(test)]
mod tests;
