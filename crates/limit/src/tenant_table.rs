//! The table of tenants by id. Ids are never reused.

use crate::tenant::Tenant;

/// The identifier of a tenant, which is never reused for another tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TenantId {
    slot: u32,
    incarnation: u32,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    /// The number of tenants that this slot has held.
    incarnation: u32,
    tenant: Option<Box<Tenant>>,
}

/// A table of slots for tenants. A slot is reused with another incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantTable {
    slots: Vec<Slot>,
    free: Vec<u32>,
}

impl TenantTable {
    pub fn insert(&mut self, tenant: Tenant) -> TenantId {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[index as usize];
        slot.incarnation += 1;
        slot.tenant = Some(Box::new(tenant));
        TenantId { slot: index, incarnation: slot.incarnation }
    }

    pub fn get(&self, id: TenantId) -> Option<&Tenant> {
        let slot = self.slots.get(id.slot as usize)?;
        slot.tenant.as_deref().filter(|_| slot.incarnation == id.incarnation)
    }

    pub fn get_mut(&mut self, id: TenantId) -> Option<&mut Tenant> {
        let slot = self.slots.get_mut(id.slot as usize)?;
        slot.tenant.as_deref_mut().filter(|_| slot.incarnation == id.incarnation)
    }

    pub fn remove(&mut self, id: TenantId) -> Option<Box<Tenant>> {
        let slot = self.slots.get_mut(id.slot as usize)?;
        if slot.incarnation != id.incarnation {
            return None;
        }
        let tenant = slot.tenant.take()?;
        self.free.push(id.slot);
        Some(tenant)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Tenant> {
        self.slots.iter_mut().filter_map(|slot| slot.tenant.as_deref_mut())
    }
}
