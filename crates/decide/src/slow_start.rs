//! Slow start: what an endpoint gets while it warms up.
//!
//! Rules:
//! - the endpoint's capacity grows in a straight line from `slow_start_min_capacity` to all of it within
//!   `slow_start_duration`; it fails if all balancers together send more than `overload_multiple` times that
//!   for `overload_window`;
//! - each balancer has an even share of that budget, as if all others used theirs in full, and only a part of
//!   it: balancers do not know of each other's requests;
//! - what a warm endpoint carries is measured in this balancer's own successful answers;
//! - an endpoint that got no request for long is given a warm-up request now and then, though it ranks last,
//!   as it would otherwise get none until the warm ones are crowded.
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

/// The part of the budget that is used at most; the rest is for balancers that get more than an even share of the
/// requests.
const MAX_BUDGET_USE: f64 = 0.5;
/// The budget exceeds the mean number of requests by this many standard deviations of a Poisson count.
const SAFETY_DEVIATIONS: f64 = 3.0;
/// The least budget that is divided by, in requests: keeps an empty one from dividing by zero.
const MIN_BUDGET: f64 = 1e-9;
/// The least part of its capacity that a warming endpoint counts for.
const MIN_CAPACITY_FRACTION: f64 = 0.01;
/// How fast the measured capacity of a warm endpoint is followed upwards, in parts a period.
const CAPACITY_RISE: f64 = 0.1;
/// And downwards: slowly, as requests that are shed for want of warm endpoints must not lower it.
const CAPACITY_FALL: f64 = 0.003;
/// Where fewer endpoints are warm than this part of those ready, they count as so many.
const MIN_WARM_DIVISOR: f64 = 8.0;
/// Warm-up requests as a part of all requests.
const WARMUP_SHARE: f64 = 0.1;
/// An endpoint is due for a warm-up request after this time without any, in observation windows.
const WARMUP_INTERVAL: f64 = 0.5;

/// The token bucket of one warming endpoint: requests that this balancer may send it.
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
    /// The requests that the endpoint may still get.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Pays for a request.
    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Refills at `rate` (tokens a microsecond) up to `max_tokens`, and draws whether a request may be sent:
    /// less than one token is the chance of one. A failed draw empties the bucket, as many balancers that each
    /// saved up a whole token would send at the same time when their warm endpoints fail; a successful one
    /// spends nothing until [`SlowStartBudget::spend`].
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

/// What slow start looks at beside its own state.
pub(crate) struct SlowStartPool<'a> {
    /// The time of the event.
    pub now: Micros,
    /// The span that measurements stand for.
    pub window: ObservationWindow,
    /// All endpoints; their budgets are drawn on.
    pub endpoints: &'a mut EndpointTable,
    /// The endpoints that are ready.
    pub ready: &'a [EndpointIndex],
    /// Requests that arrive and are served.
    pub throughput: &'a mut Throughput,
}

/// The capacity of warming endpoints, and the budget that follows from it.
pub(crate) struct SlowStart {
    min_capacity: f64,
    /// In microseconds.
    duration: f64,
    overload_multiple: f64,
    /// In microseconds.
    overload_window: f64,
    balancers: f64,
    /// Successful answers a microsecond that one warm endpoint gives this balancer, when measured.
    warm_capacity: Option<f64>,
    /// Warm-up requests that may be sent.
    warmup_tokens: f64,
}

impl SlowStart {
    /// Slow start as the settings describe the endpoints.
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

    /// The part of its capacity that a warming endpoint has by now; `None` where it is warm.
    pub fn capacity_fraction(&self, now: Micros, entry: &Endpoint) -> Option<f64> {
        let age = now - entry.up_since?;
        let progress = age.max(0) as f64 / self.duration;
        (progress < 1.0)
            .then(|| (self.min_capacity + (1.0 - self.min_capacity) * progress).max(MIN_CAPACITY_FRACTION))
    }

    /// Is this endpoint past its slow start?
    pub fn is_warm(&self, now: Micros, entry: &Endpoint) -> bool {
        self.capacity_fraction(now, entry).is_none()
    }

    /// Measures what a warm endpoint carries; called every period. With less than half of the endpoints warm
    /// the last measurement stands.
    pub fn on_period(&mut self, pool: &mut SlowStartPool<'_>) {
        let SlowStartPool { now, window, ref endpoints, ready, ref mut throughput } = *pool;
        throughput.served_warm.decay(now, window.time_constant);
        let is_warm = |index: &&EndpointIndex| self.is_warm(now, &endpoints[**index].entry);
        let warm = ready.iter().filter(is_warm).count();
        if window.age(now) <= window.time_constant || 2 * warm < ready.len().max(1) {
            return;
        }
        let measured = throughput.served_warm.weight / warm as f64 / window.span(now);
        let known = *self.warm_capacity.get_or_insert(measured);
        let step = if measured < known { CAPACITY_FALL } else { CAPACITY_RISE };
        self.warm_capacity = Some(known + step * (measured - known));
    }

    /// Draws whether this endpoint may get a request now. Warm ones always may.
    pub fn draw_permission(&self, index: EndpointIndex, pool: &mut SlowStartPool<'_>, rng: &mut Rng) -> bool {
        let now = pool.now;
        let Some(fraction) = self.capacity_fraction(now, &pool.endpoints[index].entry) else { return true };
        let rate = self.safe_rate(fraction, self.warm_capacity_now(pool));
        let max_tokens = rate * self.overload_window / 2.0;
        let record = &mut pool.endpoints[index];
        record.slow_start.draw_permission(now, record.entry.up_since, rate, max_tokens, rng)
    }

    /// What a warm endpoint carries: as last measured, or by what is served now if that is more. What is
    /// served now is shared by the warm endpoints, or where none is warm by the capacity that each surely
    /// has.
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

    /// The rate at which this balancer may send to an endpoint with this part of `capacity`: what all may
    /// send within the overload window, less three standard deviations, as an even share of a small budget is
    /// often overrun by chance.
    fn safe_rate(&self, fraction: f64, capacity: f64) -> f64 {
        let limit = self.overload_multiple * fraction * capacity * self.balancers;
        let budget = limit * self.overload_window;
        // Solves x + 3 * sqrt(x) = budget: three standard deviations of a Poisson count of mean x stay below it.
        let discriminant = SAFETY_DEVIATIONS * SAFETY_DEVIATIONS + 4.0 * budget;
        let safe_mean = ((discriminant.sqrt() - SAFETY_DEVIATIONS) / 2.0).powi(2);
        let safe_part = safe_mean / budget.max(MIN_BUDGET);
        safe_part.min(MAX_BUDGET_USE) * limit / self.balancers
    }

    /// Adds what one request earns for warm-up requests.
    pub fn earn_warmup(&mut self) {
        self.warmup_tokens = (self.warmup_tokens + WARMUP_SHARE).min(1.0);
    }

    /// Pays for a warm-up request.
    pub fn spend_warmup(&mut self) {
        self.warmup_tokens -= 1.0;
    }

    /// Should this request warm up this endpoint? Only a first attempt that can wait for a slow answer is
    /// spent on that.
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
