//! Publishes an endpoint again when operators drain or restore it.

use std::rc::Rc;

use decide::UpdateScope;

use super::{most_restrictive, RegisteredEndpoints};
use crate::inbox::DriverHandle;
use crate::maintenance::MaintenanceOverrides;
use crate::metrics::{Labels, PoolGauges};
use crate::upstream::UpstreamPool;

/// Notified of changes that operators make.
pub trait RegistryObserver {
    /// The endpoint that operators call this was drained or restored.
    fn maintenance_changed(&self, operator_name: &str);
}

/// The endpoints of a pool, and whom to notify of changes.
pub struct RegistryView {
    pub endpoints: Rc<RegisteredEndpoints>,
    pub driver: DriverHandle,
    pub upstreams: Rc<UpstreamPool>,
    pub overrides: MaintenanceOverrides,
}

impl RegistryView {
    /// The gauges of the pool, under these labels.
    pub async fn gauges(&self, labels: Labels) -> PoolGauges {
        let ejected = self.driver.ejected_count().await;
        let counts = self.endpoints.counts(&self.overrides);
        PoolGauges { labels, endpoints: counts.listed, ejected: counts.drained + ejected }
    }
}

impl RegistryObserver for RegistryView {
    fn maintenance_changed(&self, operator_name: &str) {
        let Some(name) = self.overrides.endpoint_name(operator_name) else { return };
        let Some(listed) = self.endpoints.last_listed(name) else { return };
        let endpoint = most_restrictive(listed.endpoint, self.overrides.is_drained(name));
        self.upstreams.update_endpoint(&endpoint, listed.address);
        self.driver.endpoint_update(UpdateScope::Delta, vec![endpoint]);
    }
}
