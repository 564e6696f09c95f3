//! The checked tenants, and the share of each in sockets and idempotency keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use limit::Limits;
use route::{HostOwners, HostPattern};

use super::compile::compile_tenant;
use super::{Document, DocumentError, SharedSettings, TenantDocument};
use crate::model::Config;
use crate::pool_endpoints::PoolEndpoints;
use crate::sockets::{split_sockets, MIN_SOCKETS_PER_POOL};

/// The minimum number of client connections of a tenant without a limit of its own.
const MIN_CONNECTIONS: u64 = 16;

/// A tenant that has been checked.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The name.
    pub name: String,
    /// The tenant as administrators wrote it.
    pub document: TenantDocument,
    /// The hosts, parsed.
    pub hosts: Vec<HostPattern>,
    /// The compiled configuration.
    pub config: Arc<Config>,
    /// The endpoints that are known without discovery.
    pub endpoints: PoolEndpoints,
}

/// All tenants, checked one by one and together.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    /// The tenants by name.
    pub all: BTreeMap<String, Arc<Tenant>>,
    /// The tenant that owns each host.
    pub hosts: HostOwners<String>,
}

impl Tenants {
    /// Checks a document. Tenants that are unchanged since `previous` are reused.
    ///
    /// # Errors
    /// Returns the problems of the first tenant that is rejected.
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

    /// Adds a tenant. If one of its hosts overlaps with one of another tenant, returns an error.
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

    /// The number of sockets for all pools of a tenant together, by its weight.
    #[must_use]
    pub fn sockets(&self, shared: &SharedSettings, tenant: &Tenant) -> usize {
        let (_, upstream) = split_sockets(shared.sockets).unwrap_or((0, 0));
        (upstream as u64 * weight(tenant) / self.total_weight()) as usize
    }

    /// The bounds of a tenant's share of the idempotency table, by its weight.
    #[must_use]
    pub fn idempotency_limits(&self, shared: &SharedSettings, tenant: &Tenant) -> idempotency::TableLimits {
        let weight = weight(tenant);
        let total_weight = self.total_weight();
        let share = |total: usize| (total as u64 / total_weight).saturating_mul(weight).max(1) as usize;
        idempotency::TableLimits {
            max_keys: share(shared.idempotency_keys.max_keys),
            max_response_bytes: share(shared.idempotency_keys.max_response_bytes),
        }
    }

    /// The limits of a tenant. Limits that are not written are unbounded, with two exceptions: `connections`
    /// is a share by weight, at least `MIN_CONNECTIONS`, and `burst` is the number of requests of one second
    /// at `requests_per_s`, at least 1.
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
