//! A resource that requests hold until they end, with a guaranteed part for each tenant and the rest to borrow.

/// This fraction of the resource is never borrowed: an inactive tenant must find some of it when it returns.
const IDLE_RESERVE_DIVISOR: u64 = 16;

/// The resource of the whole process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quota {
    pub total: u64,
    used: u64,
    /// What active tenants have not used of their guaranteed parts.
    reserved: u64,
}

/// A tenant's part of the resource.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TenantQuota {
    pub used: u64,
    pub guaranteed: u64,
    /// Only the guaranteed parts of active tenants are reserved.
    pub active: bool,
}

impl TenantQuota {
    fn reserved(&self) -> u64 {
        if self.active {
            self.guaranteed.saturating_sub(self.used)
        } else {
            0
        }
    }
}

impl Quota {
    pub fn new(total: u64) -> Quota {
        Quota { total, used: 0, reserved: 0 }
    }

    pub fn used(&self) -> u64 {
        self.used
    }

    /// Changes a tenant's part, and what is reserved for it.
    pub fn update(&mut self, tenant: &mut TenantQuota, change: impl FnOnce(&mut TenantQuota)) {
        self.reserved -= tenant.reserved();
        change(tenant);
        self.reserved += tenant.reserved();
    }

    /// Whether a tenant may use this much more.
    pub fn can_acquire(&self, tenant: &TenantQuota, amount: u64) -> bool {
        let free = self.total.saturating_sub(self.used);
        if tenant.used + amount <= tenant.guaranteed {
            return amount <= free;
        }
        let reserved_for_others = self.reserved - tenant.reserved();
        let idle_reserve = self.total / IDLE_RESERVE_DIVISOR;
        amount <= free.saturating_sub(reserved_for_others).saturating_sub(idle_reserve)
    }

    pub fn acquire(&mut self, tenant: &mut TenantQuota, amount: u64) {
        self.update(tenant, |tenant| tenant.used += amount);
        self.used += amount;
    }

    /// Returns what was acquired. `tenant` is None if it has been removed meanwhile.
    pub fn release(&mut self, tenant: Option<&mut TenantQuota>, amount: u64) {
        if let Some(tenant) = tenant {
            self.update(tenant, |tenant| tenant.used = tenant.used.saturating_sub(amount));
        }
        self.used = self.used.saturating_sub(amount);
    }
}
