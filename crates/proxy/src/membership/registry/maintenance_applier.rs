//! Applies drains by operators to a running pool, and reports its gauges.

use std::rc::Rc;

use decide::UpdateScope;

use super::{most_restrictive, RegisteredEndpoints};
use crate::inbox::DriverHandle;
use crate::maintenance::PoolMaintenance;
use crate::metrics::{Labels, PoolGauges};
use crate::upstream::UpstreamPool;

/// An observer of changes that operators make to the maintenance state.
pub trait RegistryObserver {
    /// Called when the endpoint with this operators' name was drained or restored.
    fn maintenance_changed(&self, operator_name: &str);
}

/// Applies drains and restores by operators to the balancer and the upstream pool.
pub struct MaintenanceApplier {
    pub endpoints: Rc<RegisteredEndpoints>,
    pub driver: DriverHandle,
    pub upstreams: Rc<UpstreamPool>,
    pub maintenance: PoolMaintenance,
}

impl MaintenanceApplier {
    /// The gauges of the pool with these labels.
    pub async fn gauges(&self, labels: Labels) -> PoolGauges {
        let ejected = self.driver.ejected_count().await;
        let counts = self.endpoints.counts(&self.maintenance);
        PoolGauges { labels, endpoints: counts.listed, unused: counts.drained + ejected }
    }
}

impl RegistryObserver for MaintenanceApplier {
    fn maintenance_changed(&self, operator_name: &str) {
        let Some(name) = self.maintenance.endpoint_name(operator_name) else { return };
        let Some(listed) = self.endpoints.last_listed(name) else { return };
        let endpoint = most_restrictive(listed.endpoint, self.maintenance.is_drained(name));
        self.upstreams.update_endpoint(&endpoint, listed.address);
        self.driver.endpoint_update(UpdateScope::Delta, vec![endpoint]);
    }
}
