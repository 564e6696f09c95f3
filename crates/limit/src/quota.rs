//! A resource that requests hold until they end. Each tenant has a guaranteed amount and may borrow from the
//! rest.

/// The total amount divided by this is never borrowed, so that an inactive tenant can acquire some when it
/// becomes active.
const IDLE_RESERVE_DIVISOR: u64 = 16;

/// The resource of the whole process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quota {
    pub total: u64,
    used: u64,
    /// The sum of the unused guaranteed amounts of active tenants.
    reserved: u64,
}

/// The use of the resource by one tenant.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TenantQuota {
    pub used: u64,
    pub guaranteed: u64,
    /// Whether the tenant is active. Only the guaranteed amounts of active tenants are reserved.
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

    /// Changes the quota of a tenant, and updates the reserved amount accordingly.
    pub fn update(&mut self, tenant: &mut TenantQuota, change: impl FnOnce(&mut TenantQuota)) {
        self.reserved -= tenant.reserved();
        change(tenant);
        self.reserved += tenant.reserved();
    }

    /// Returns whether a tenant may acquire this amount.
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

    /// Releases an acquired amount. `tenant` is `None` if the tenant has been removed in the meantime.
    pub fn release(&mut self, tenant: Option<&mut TenantQuota>, amount: u64) {
        if let Some(tenant) = tenant {
            self.update(tenant, |tenant| tenant.used = tenant.used.saturating_sub(amount));
        }
        self.used = self.used.saturating_sub(amount);
    }
}
