//! The limiter of all tenants and of the capacity that they share.

use crate::fair_share::max_min_fair_shares;
use crate::quota::Quota;
use crate::tenant::{Quotas, Tenant};
use crate::tenant_table::{TenantId, TenantTable};
use crate::{Capacity, Demand, Limits, Micros, RejectReason, Rejection, Usage, IDLE_TIMEOUT, SHARE_PERIOD};

/// The permit of an admitted request, to be returned with [`Limiter::release`].
#[derive(Debug)]
#[must_use]
pub struct Permit {
    tenant: TenantId,
    body_bytes: u64,
    /// The maximum number of attempts of the request; `None` if it is not limited.
    pub max_attempts: Option<usize>,
}

/// The resources that the requests of all tenants hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourcesInUse {
    /// The number of requests in flight.
    pub in_flight: u64,
    /// The total size of request bodies, in bytes as announced.
    pub body_bytes: u64,
}

/// Admits or rejects the requests of all tenants.
#[derive(Clone, Debug)]
pub struct Limiter {
    capacity: Capacity,
    tenants: TenantTable,
    /// The tenants with recent requests or requests in flight.
    active: Vec<TenantId>,
    /// The sum of the weights of all tenants, active or not.
    total_weight: f64,
    quotas: Quotas,
    period_start: Micros,
}

impl Limiter {
    /// Creates a limiter without tenants.
    #[must_use]
    pub fn new(capacity: Capacity) -> Limiter {
        Limiter {
            capacity,
            tenants: TenantTable::default(),
            active: Vec::new(),
            total_weight: 0.0,
            quotas: Quotas {
                in_flight: Quota::new(capacity.in_flight),
                body_bytes: Quota::new(capacity.body_bytes),
            },
            period_start: 0,
        }
    }

    // ---- Tenants ----

    /// Adds a tenant. It inherits nothing from a removed tenant of the same name.
    pub fn add_tenant(&mut self, now: Micros, limits: Limits) -> TenantId {
        let tenant = Tenant::new(now, limits);
        self.total_weight += tenant.weight();
        let id = self.tenants.insert(tenant);
        self.set_guaranteed_quotas();
        id
    }

    /// Changes the limits of a tenant. Requests in flight and acquired quota are unaffected.
    pub fn set_limits(&mut self, now: Micros, id: TenantId, limits: Limits) {
        let Some(tenant) = self.tenants.get_mut(id).filter(|tenant| tenant.limits != limits) else { return };
        let previous_weight = tenant.weight();
        tenant.set_limits(now, limits);
        self.total_weight += tenant.weight() - previous_weight;
        self.set_guaranteed_quotas();
    }

    /// Removes a tenant. The resources that it still holds are released when its requests end.
    pub fn remove_tenant(&mut self, id: TenantId) {
        let Some(mut tenant) = self.tenants.remove(id) else { return };
        tenant.set_active(&mut self.quotas, false);
        self.total_weight -= tenant.weight();
        self.active.retain(|active| *active != id);
        self.set_guaranteed_quotas();
    }

    fn set_guaranteed_quotas(&mut self) {
        for tenant in self.tenants.iter_mut() {
            tenant.set_guaranteed_quotas(&mut self.quotas, self.total_weight);
        }
    }

    /// Returns the usage of a tenant; `None` if it has been removed.
    #[must_use]
    pub fn usage(&self, id: TenantId) -> Option<Usage> {
        self.tenants.get(id).map(Tenant::usage)
    }

    /// Returns the resources that the requests of all tenants hold now.
    #[must_use]
    pub fn in_use(&self) -> ResourcesInUse {
        ResourcesInUse { in_flight: self.quotas.in_flight.used(), body_bytes: self.quotas.body_bytes.used() }
    }

    // ---- Requests ----

    /// Admits a request. `priority_rank` is the priority of its class within the tenant, from 0 (lowest) to
    /// 1; `body_bytes` is the announced length of its body.
    ///
    /// # Errors
    /// Returns a rejection if the tenant is over a limit or has been removed.
    pub fn admit(
        &mut self,
        now: Micros,
        id: TenantId,
        priority_rank: f64,
        body_bytes: u64,
    ) -> Result<Permit, Rejection> {
        if now - self.period_start >= SHARE_PERIOD {
            self.begin_period(now);
        }
        // The reason is the share because a removed tenant has no share of the capacity.
        let unknown_tenant = Rejection { reason: RejectReason::Share, retry_after: 0 };
        let tenant = self.tenants.get_mut(id).ok_or(unknown_tenant)?;
        tenant.record_request(now);
        if !tenant.active {
            self.active.push(id);
            tenant.set_active(&mut self.quotas, true);
            tenant.reset_share(&self.capacity, self.total_weight);
        }
        if let Err(rejection) = tenant.check(now, priority_rank, body_bytes, &self.capacity, &self.quotas) {
            tenant.reject(rejection.reason);
            return Err(rejection);
        }
        tenant.admit(body_bytes, &mut self.quotas);
        Ok(Permit { tenant: id, body_bytes, max_attempts: tenant.max_attempts(now) })
    }

    /// Releases the permit of a request that has ended after the given number of attempts.
    pub fn release(&mut self, now: Micros, permit: Permit, attempts: usize) {
        let Permit { tenant: id, body_bytes: acquired_bytes, .. } = permit;
        let Quotas { in_flight, body_bytes } = &mut self.quotas;
        match self.tenants.get_mut(id) {
            Some(tenant) => {
                in_flight.release(Some(&mut tenant.in_flight), 1);
                body_bytes.release(Some(&mut tenant.body_bytes), acquired_bytes);
                tenant.count_retries(now, attempts);
            }
            None => {
                in_flight.release(None, 1);
                body_bytes.release(None, acquired_bytes);
            }
        }
    }

    /// Counts a new downstream connection of a tenant.
    ///
    /// # Errors
    /// Returns a rejection if the tenant is at its limit of connections or has been removed.
    pub fn connect(&mut self, id: TenantId) -> Result<(), Rejection> {
        let unknown_tenant = Rejection { reason: RejectReason::Connections, retry_after: 0 };
        self.tenants.get_mut(id).ok_or(unknown_tenant)?.connect()
    }

    /// Counts a closed downstream connection of a tenant.
    pub fn disconnect(&mut self, id: TenantId) {
        if let Some(tenant) = self.tenants.get_mut(id) {
            tenant.disconnect();
        }
    }

    // ---- Fair shares ----

    /// Begins a period and computes its shares from the demand in the last one. Inactive tenants add no work.
    fn begin_period(&mut self, now: Micros) {
        let seconds = ((now - self.period_start) as f64 / 1e6).max(1e-6);
        self.period_start = now;
        self.deactivate_idle(now);
        if self.capacity.requests_per_s.is_infinite() {
            return;
        }
        let Limiter { tenants, active, capacity, total_weight, .. } = self;
        let demands: Vec<Demand> =
            active.iter().filter_map(|id| tenants.get(*id)).map(|tenant| tenant.demand(seconds)).collect();
        let shares = shares_with_surplus(capacity.requests_per_s, &demands);
        for (id, share) in active.iter().zip(shares) {
            if let Some(tenant) = tenants.get_mut(*id) {
                tenant.begin_period(now, share, capacity, *total_weight);
            }
        }
    }

    fn deactivate_idle(&mut self, now: Micros) {
        let Limiter { tenants, active, quotas, .. } = self;
        active.retain(|id| {
            let Some(tenant) = tenants.get_mut(*id) else { return false };
            let is_idle = tenant.is_idle(now, IDLE_TIMEOUT);
            if is_idle {
                tenant.set_active(quotas, false);
            }
            !is_idle
        });
    }
}

/// Returns the fair shares. If the capacity exceeds the total demand, the surplus is added to the shares in
/// proportion to the weights. It serves tenants whose demand grows within the period.
fn shares_with_surplus(capacity: f64, demands: &[Demand]) -> Vec<f64> {
    let mut shares = max_min_fair_shares(capacity, demands);
    let surplus = (capacity - shares.iter().sum::<f64>()).max(0.0);
    let total_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    for (share, demand) in shares.iter_mut().zip(demands) {
        *share += surplus * demand.weight / total_weight;
    }
    shares
}
