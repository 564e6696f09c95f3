//! The state of one tenant: its token buckets, quotas and counters.

use crate::quota::{Quota, TenantQuota};
use crate::{Capacity, Demand, Limits, Micros, RejectReason, Rejection, TokenBucket, Usage};

/// The maximum credit from its fair share that a tenant may accumulate, in seconds of the share.
const CREDIT_SECONDS: f64 = 0.2;
/// The credit that a tenant may accumulate however small its share, in requests. With less, tenants with a
/// small share would be rejected when requests arrive close together by chance.
const MIN_CREDIT_REQUESTS: f64 = 4.0;
/// The fraction of the credit that a request of the lowest priority must leave unused.
const LOW_PRIORITY_RESERVE: f64 = 0.5;
/// The maximum number of retries that a tenant may accumulate, in seconds of its rate of retries.
const RETRY_BURST_SECONDS: f64 = 1.0;

/// The resources of the process that requests hold until they end.
#[derive(Clone, Debug)]
pub(crate) struct Quotas {
    pub in_flight: Quota,
    pub body_bytes: Quota,
}

#[derive(Clone, Debug)]
pub(crate) struct Tenant {
    pub limits: Limits,
    rate: TokenBucket,
    retries: TokenBucket,
    /// The unused credit from the fair share, in requests.
    credit: TokenBucket,
    /// The fair share, in requests per second.
    share: f64,
    /// The number of requests in the current period, admitted or not.
    requests_in_period: u64,
    last_request: Micros,
    /// Whether the tenant has had requests recently or has some in flight.
    pub active: bool,
    pub in_flight: TenantQuota,
    pub body_bytes: TenantQuota,
    connections: u64,
    usage: Usage,
}

impl Tenant {
    pub fn new(now: Micros, limits: Limits) -> Tenant {
        Tenant {
            limits,
            rate: TokenBucket::full(now, limits.burst),
            retries: TokenBucket::full(now, retry_burst(limits.retries_per_s)),
            credit: TokenBucket::full(now, MIN_CREDIT_REQUESTS),
            share: 0.0,
            requests_in_period: 0,
            last_request: now,
            active: false,
            in_flight: TenantQuota::default(),
            body_bytes: TenantQuota::default(),
            connections: 0,
            usage: Usage::default(),
        }
    }

    pub fn weight(&self) -> f64 {
        f64::from(self.limits.weight.max(1))
    }

    /// Changes the limits. Acquired resources are unaffected.
    pub fn set_limits(&mut self, now: Micros, limits: Limits) {
        let previous = std::mem::replace(&mut self.limits, limits);
        // The bucket of an unlimited rate has no finite number of tokens to continue with.
        if previous.burst.is_infinite() || previous.requests_per_s.is_infinite() {
            self.rate = TokenBucket::full(now, limits.burst);
        }
        if previous.retries_per_s.is_infinite() {
            self.retries = TokenBucket::full(now, retry_burst(limits.retries_per_s));
        }
    }

    /// Sets the guaranteed quotas in proportion to the weight of the tenant among all tenants.
    pub fn set_guaranteed_quotas(&mut self, quotas: &mut Quotas, total_weight: f64) {
        let fraction = self.weight() / total_weight.max(1.0);
        let guaranteed = |total: u64, limit: u64| ((total as f64 * fraction) as u64).min(limit);
        let in_flight = guaranteed(quotas.in_flight.total, self.limits.in_flight);
        let body_bytes = guaranteed(quotas.body_bytes.total, self.limits.body_bytes);
        quotas.in_flight.update(&mut self.in_flight, |quota| quota.guaranteed = in_flight);
        quotas.body_bytes.update(&mut self.body_bytes, |quota| quota.guaranteed = body_bytes);
    }

    pub fn set_active(&mut self, quotas: &mut Quotas, active: bool) {
        self.active = active;
        quotas.in_flight.update(&mut self.in_flight, |quota| quota.active = active);
        quotas.body_bytes.update(&mut self.body_bytes, |quota| quota.active = active);
    }

    pub fn is_idle(&self, now: Micros, idle_timeout: Micros) -> bool {
        now - self.last_request > idle_timeout && self.in_flight.used == 0
    }

    // ---- Fair share ----

    /// Returns the share of the request rate that the tenant has at any time, in requests per second.
    fn guaranteed_share(&self, capacity: &Capacity, total_weight: f64) -> f64 {
        capacity.requests_per_s * self.weight() / total_weight.max(1.0)
    }

    /// Sets the share of a tenant that has become active to its guaranteed share.
    pub fn reset_share(&mut self, capacity: &Capacity, total_weight: f64) {
        self.share = self.guaranteed_share(capacity, total_weight);
    }

    /// Returns the demand of the tenant, from its requests in the ended period of `period_seconds`.
    pub fn demand(&self, period_seconds: f64) -> Demand {
        let requests_per_s = self.requests_in_period as f64 / period_seconds;
        Demand { amount: requests_per_s.min(self.limits.requests_per_s), weight: self.weight() }
    }

    /// Begins a period with a new share, which is at least the guaranteed share.
    pub fn begin_period(&mut self, now: Micros, share: f64, capacity: &Capacity, total_weight: f64) {
        self.credit.refill(now, self.share, max_credit(self.share));
        self.share = share.max(self.guaranteed_share(capacity, total_weight));
        self.requests_in_period = 0;
    }

    // ---- Requests ----

    pub fn record_request(&mut self, now: Micros) {
        self.last_request = now;
        self.requests_in_period += 1;
    }

    /// Checks a request against all limits. Quotas come first: they are the cheapest to check, and a client
    /// can reduce its use of them.
    pub fn check(
        &mut self,
        now: Micros,
        priority_rank: f64,
        body_bytes: u64,
        capacity: &Capacity,
        quotas: &Quotas,
    ) -> Result<(), Rejection> {
        self.check_quotas(body_bytes, quotas)?;
        self.check_rate(now)?;
        self.check_share(now, priority_rank, capacity)
    }

    fn check_quotas(&self, body_bytes: u64, quotas: &Quotas) -> Result<(), Rejection> {
        let limits = &self.limits;
        if self.in_flight.used >= limits.in_flight || !quotas.in_flight.can_acquire(&self.in_flight, 1) {
            return Err(Rejection { reason: RejectReason::InFlight, retry_after: 0 });
        }
        let is_over_limit = self.body_bytes.used.saturating_add(body_bytes) > limits.body_bytes;
        if is_over_limit || !quotas.body_bytes.can_acquire(&self.body_bytes, body_bytes) {
            return Err(Rejection { reason: RejectReason::Bodies, retry_after: 0 });
        }
        Ok(())
    }

    fn check_rate(&mut self, now: Micros) -> Result<(), Rejection> {
        let rate = self.limits.requests_per_s;
        if rate.is_finite() && self.rate.refill(now, rate, self.limits.burst.max(1.0)) < 1.0 {
            let retry_after = self.rate.time_until(1.0, rate);
            return Err(Rejection { reason: RejectReason::Rate, retry_after });
        }
        Ok(())
    }

    fn check_share(&mut self, now: Micros, priority_rank: f64, capacity: &Capacity) -> Result<(), Rejection> {
        if capacity.requests_per_s.is_infinite() {
            return Ok(());
        }
        let max_credit = max_credit(self.share);
        let required =
            1.0 + (max_credit - 1.0) * LOW_PRIORITY_RESERVE * (1.0 - priority_rank.clamp(0.0, 1.0));
        if self.credit.refill(now, self.share, max_credit) < required {
            let retry_after = self.credit.time_until(required, self.share);
            return Err(Rejection { reason: RejectReason::Share, retry_after });
        }
        Ok(())
    }

    /// Counts an admitted request and acquires its resources.
    pub fn admit(&mut self, body_bytes: u64, quotas: &mut Quotas) {
        self.rate.take(1.0);
        self.credit.take(1.0);
        quotas.in_flight.acquire(&mut self.in_flight, 1);
        quotas.body_bytes.acquire(&mut self.body_bytes, body_bytes);
        self.usage.admitted += 1;
    }

    /// Counts a rejected request or connection.
    pub fn reject(&mut self, reason: RejectReason) {
        self.usage.rejected[reason] += 1;
    }

    /// Returns the maximum number of attempts of a request: one if no retry is left; `None` if retries are
    /// unlimited or left.
    pub fn max_attempts(&mut self, now: Micros) -> Option<usize> {
        let rate = self.limits.retries_per_s;
        let has_retry = rate.is_infinite() || self.retries.refill(now, rate, retry_burst(rate)) >= 1.0;
        if has_retry {
            None
        } else {
            Some(1)
        }
    }

    /// Counts the retries of a request that has ended after the given number of attempts.
    pub fn count_retries(&mut self, now: Micros, attempts: usize) {
        let retries = attempts.saturating_sub(1);
        let rate = self.limits.retries_per_s;
        if retries > 0 && rate.is_finite() {
            self.retries.refill(now, rate, retry_burst(rate));
            self.retries.take(retries as f64);
        }
        self.usage.retries += retries as u64;
    }

    // ---- Connections ----

    pub fn connect(&mut self) -> Result<(), Rejection> {
        if self.connections >= self.limits.connections {
            self.reject(RejectReason::Connections);
            return Err(Rejection { reason: RejectReason::Connections, retry_after: 0 });
        }
        self.connections += 1;
        Ok(())
    }

    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    pub fn usage(&self) -> Usage {
        Usage {
            in_flight: self.in_flight.used,
            body_bytes: self.body_bytes.used,
            connections: self.connections,
            ..self.usage
        }
    }
}

/// Returns the maximum number of retries that a tenant may accumulate: at least one, or 0 if its rate of
/// retries is 0.
fn retry_burst(retries_per_s: f64) -> f64 {
    if retries_per_s > 0.0 {
        (retries_per_s * RETRY_BURST_SECONDS).max(1.0)
    } else {
        0.0
    }
}

/// Returns the maximum credit that a tenant with this share may accumulate, in requests.
fn max_credit(share: f64) -> f64 {
    (share * CREDIT_SECONDS).max(MIN_CREDIT_REQUESTS)
}
