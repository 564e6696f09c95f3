//! The priority level of a request.
//!
//! Rule: classes are ordered by their priority weight, one level per weight. Retries, and requests that
//! exceed the quota of their tenant, are on the lowest level. A tenant exceeds its quota if its requests at
//! this balancer, counted with an exponential decay over two seconds, are more than 1.3 times its even share
//! of the quota, plus two requests of allowance for chance.

use crate::ewma::Ewma;
use crate::time::Micros;
use crate::{NewRequest, Settings};

/// The time constant by which the counted requests of a tenant decay, in seconds.
const QUOTA_WINDOW_S: f64 = 2.0;
/// The time constant by which the counted requests of a tenant decay, in microseconds.
const QUOTA_WINDOW_US: f64 = QUOTA_WINDOW_S * 1e6;
/// The factor by which a tenant may exceed its share before its requests count as over quota.
const QUOTA_TOLERANCE: f64 = 1.3;
/// The number of requests beyond the tolerated share that do not count as over quota.
const QUOTA_ALLOWANCE: f64 = 2.0;

/// The priority level as a row of the cursor table; a higher level is shed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PriorityLevel(pub usize);

/// The level that is shed first.
const LOWEST: PriorityLevel = PriorityLevel(0);

/// The requests of a tenant, and its share of its quota.
struct TenantRate {
    /// The even share of this balancer in requests per second; 0 sets no limit.
    quota_per_s: f64,
    requests: Ewma,
}

/// The levels of classes and the rates of tenants.
pub(crate) struct PriorityLevels {
    by_class: Vec<PriorityLevel>,
    count: usize,
    tenants: Vec<TenantRate>,
}

impl PriorityLevels {
    /// Orders the classes by weight. If there is only one weight there are two levels, because retries need a
    /// lower one.
    pub fn new(settings: &Settings) -> Self {
        let mut weights: Vec<f64> = settings.classes.iter().map(|class| class.priority_weight).collect();
        weights.sort_by(f64::total_cmp);
        weights.dedup();
        let level_for_retries = usize::from(weights.len() < 2);
        let level_of = |weight: f64| {
            let position = weights.iter().position(|other| *other == weight).unwrap_or(0);
            PriorityLevel(position + level_for_retries)
        };
        let tenant_rate = |quota_per_s: f64| TenantRate {
            quota_per_s: quota_per_s / f64::from(settings.balancers),
            requests: Ewma::default(),
        };
        PriorityLevels {
            by_class: settings.classes.iter().map(|class| level_of(class.priority_weight)).collect(),
            count: weights.len().max(1) + level_for_retries,
            tenants: settings.tenants.iter().map(|tenant| tenant_rate(tenant.quota_per_s)).collect(),
        }
    }

    /// The number of levels.
    pub fn count(&self) -> usize {
        self.count
    }

    /// The number of levels above this one.
    pub fn levels_above(&self, level: PriorityLevel) -> usize {
        self.count - 1 - level.0
    }

    /// The level of a request that arrives at `now`. Its class must be one of the settings.
    pub fn level(&mut self, now: Micros, request: &NewRequest) -> PriorityLevel {
        let exceeds_quota = self.count_for_tenant(now, request.tenant);
        if exceeds_quota || request.is_retry {
            LOWEST
        } else {
            self.by_class[request.class]
        }
    }

    /// Counts a request for its tenant, and returns whether the tenant exceeds its quota.
    fn count_for_tenant(&mut self, now: Micros, tenant: Option<usize>) -> bool {
        let Some(rate) = tenant.and_then(|index| self.tenants.get_mut(index)) else { return false };
        rate.requests.record(now, QUOTA_WINDOW_US, 0.0);
        let max_requests = rate.quota_per_s * QUOTA_WINDOW_S * QUOTA_TOLERANCE + QUOTA_ALLOWANCE;
        rate.quota_per_s > 0.0 && rate.requests.weight > max_requests
    }
}

#[cfg(test)]
mod tests;
