//! The checked tenants, and each one's part of what they share.

use std::collections::BTreeMap;
use std::sync::Arc;

use limit::Limits;
use route::{HostOwners, HostPattern};

use super::compile::compile_tenant;
use super::{Document, DocumentError, SharedSettings, TenantDocument};
use crate::model::Config;
use crate::pool_endpoints::PoolEndpoints;
use crate::sockets::{split_sockets, MIN_SOCKETS_PER_POOL};

/// The fewest client connections of a tenant.
const MIN_CONNECTIONS: u64 = 16;

/// A tenant that has been checked.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// As it was written.
    pub document: TenantDocument,
    /// Its hosts.
    pub hosts: Vec<HostPattern>,
    /// Its configuration.
    pub config: Arc<Config>,
    /// The endpoints that are known without discovery.
    pub endpoints: PoolEndpoints,
}

/// All tenants, checked one by one and together.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    /// By name.
    pub all: BTreeMap<String, Arc<Tenant>>,
    /// The tenant that owns each host.
    pub hosts: HostOwners<String>,
}

impl Tenants {
    /// Checks a document. Tenants that are the same in `previous` are taken from there.
    ///
    /// # Errors
    /// The first tenant that cannot serve, and why.
    pub fn compile(
        shared: &SharedSettings,
        document: &Document,
        previous: &Tenants,
    ) -> Result<Tenants, DocumentError> {
        let mut tenants = Tenants::default();
        for (name, written) in &document.tenants {
            let unchanged = previous.all.get(name).filter(|tenant| tenant.document == *written);
            let tenant = match unchanged {
                Some(tenant) => Arc::clone(tenant),
                None => Arc::new(compile_tenant(shared, name, written)?),
            };
            tenants.insert(tenant)?;
        }
        tenants.check_sockets(shared)?;
        Ok(tenants)
    }

    /// Adds a tenant unless it claims a host of another.
    fn insert(&mut self, tenant: Arc<Tenant>) -> Result<(), DocumentError> {
        for (pattern, host) in tenant.hosts.iter().zip(&tenant.document.hosts) {
            if let Err(owner) = self.hosts.insert(pattern, tenant.name.clone()) {
                let message = format!("host {host:?} reaches into what tenant `{owner}` has");
                return Err(DocumentError::of_tenant(&tenant.name, &message));
            }
        }
        self.all.insert(tenant.name.clone(), tenant);
        Ok(())
    }

    fn check_sockets(&self, shared: &SharedSettings) -> Result<(), DocumentError> {
        for (name, tenant) in &self.all {
            let pools = tenant.config.pools.len();
            if self.sockets(shared, tenant) < MIN_SOCKETS_PER_POOL * pools {
                let message = format!(
                    "`server.sockets`: {} are too few for all tenants; its {pools} pools need more",
                    shared.sockets,
                );
                return Err(DocumentError::of_tenant(name, &message));
            }
        }
        Ok(())
    }

    fn total_weight(&self) -> u64 {
        self.all.values().map(|tenant| weight(tenant)).sum::<u64>().max(1)
    }

    /// The sockets that a tenant's pools have together: its part by weight.
    #[must_use]
    pub fn sockets(&self, shared: &SharedSettings, tenant: &Tenant) -> usize {
        let (_, upstream) = split_sockets(shared.sockets).unwrap_or((0, 0));
        (upstream as u64 * weight(tenant) / self.total_weight()) as usize
    }

    /// A tenant's part of the idempotency table, by weight.
    #[must_use]
    pub fn idempotency_limits(&self, shared: &SharedSettings, tenant: &Tenant) -> idempotency::TableLimits {
        let weight = weight(tenant);
        let total_weight = self.total_weight();
        let part = |total: usize| (total as u64 / total_weight).saturating_mul(weight).max(1) as usize;
        idempotency::TableLimits {
            max_keys: part(shared.idempotency_keys.max_keys),
            max_response_bytes: part(shared.idempotency_keys.max_response_bytes),
        }
    }

    /// A tenant's limits.
    #[must_use]
    pub fn limits(&self, shared: &SharedSettings, tenant: &Tenant) -> Limits {
        let written = &tenant.document.limits;
        let (downstream, _) = split_sockets(shared.sockets).unwrap_or((0, 0));
        let connections = downstream as u64 * weight(tenant) / self.total_weight();
        let requests_per_s = written.requests_per_s.unwrap_or(f64::INFINITY);
        Limits {
            weight: written.weight_or_default(),
            requests_per_s,
            burst: written.burst.unwrap_or(requests_per_s.max(1.0)),
            in_flight: written.in_flight.unwrap_or(u64::MAX),
            connections: written.connections.unwrap_or(connections.max(MIN_CONNECTIONS)),
            body_bytes: written.body_bytes.unwrap_or(u64::MAX),
            retries_per_s: written.retries_per_s.unwrap_or(f64::INFINITY),
        }
    }
}

fn weight(tenant: &Tenant) -> u64 {
    u64::from(tenant.document.limits.weight_or_default())
}
