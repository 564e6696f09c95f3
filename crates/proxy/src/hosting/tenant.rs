//! One tenant of a hosted service: its configuration and version, its share of the connections, and its pools
//! while they run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use config::{Source, Tenant};
use limit::TenantId;
use tokio::time::Instant;

use super::Status;
use crate::idempotency_keys::KeyTable;
use crate::operators::OperatorContext;
use crate::pool::PoolContext;
use crate::request_ids::OpenRequestIds;
use crate::snapshot::ServingSnapshot;

/// A tenant that is being served.
pub(super) struct HostedTenant {
    /// The id of the tenant in the limiter.
    pub id: TenantId,
    name: String,
    tenant: RefCell<Arc<Tenant>>,
    version: Cell<u64>,
    max_connections: Cell<usize>,
    /// Set while the tenant's pools run.
    snapshot: RefCell<Option<Rc<ServingSnapshot>>>,
    last_request: Cell<Instant>,
    /// The ids of the tenant's open requests; other tenants may use the same ids.
    pub request_ids: OpenRequestIds,
    /// The idempotency keys of the tenant's requests, shared by all protocols.
    pub keys: KeyTable,
}

/// The changes made by [`HostedTenant::replace`].
struct Change {
    tenant: bool,
    max_connections: bool,
}

impl HostedTenant {
    pub fn new(
        id: TenantId,
        name: &str,
        version: u64,
        tenant: &Arc<Tenant>,
        max_connections: usize,
        keys: KeyTable,
    ) -> HostedTenant {
        HostedTenant {
            id,
            name: name.to_owned(),
            tenant: RefCell::new(Arc::clone(tenant)),
            version: Cell::new(version),
            max_connections: Cell::new(max_connections),
            snapshot: RefCell::default(),
            last_request: Cell::new(Instant::now()),
            request_ids: OpenRequestIds::default(),
            keys,
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Applies another configuration. Running pools are reconfigured; pools that are not running are started
    /// only if one of them gets its endpoints from discovery.
    pub fn update(
        &self,
        version: u64,
        tenant: &Arc<Tenant>,
        max_connections: usize,
        context: &PoolContext<'_>,
    ) {
        let change = self.replace(version, tenant, max_connections);
        let is_running = self.running().is_some();
        let has_changed = change.tenant || change.max_connections;
        if (is_running && has_changed) || (!is_running && needs_discovery(tenant)) {
            self.start(context);
        }
    }

    /// Replaces the configuration and the maximum number of connections. The connections are divided between
    /// the tenants by weight, so another tenant's weight changes this tenant's maximum, but not its version.
    fn replace(&self, version: u64, tenant: &Arc<Tenant>, max_connections: usize) -> Change {
        let is_same_tenant = Arc::ptr_eq(&self.tenant.borrow(), tenant);
        if !is_same_tenant {
            *self.tenant.borrow_mut() = Arc::clone(tenant);
            self.version.set(version);
        }
        let previous_connections = self.max_connections.replace(max_connections);
        Change { tenant: !is_same_tenant, max_connections: previous_connections != max_connections }
    }

    /// Starts the pools, or applies the current configuration to running ones.
    fn start(&self, context: &PoolContext<'_>) -> Rc<ServingSnapshot> {
        let operators: Option<OperatorContext> =
            context.operators.map(|operators| operators.for_tenant(&self.name));
        let context = PoolContext { operators: operators.as_ref(), ..*context };
        let config = Arc::clone(&self.tenant.borrow().config);
        let previous = self.running();
        let snapshot = Rc::new(ServingSnapshot::start(
            config,
            self.max_connections.get(),
            previous.as_deref(),
            &context,
        ));
        *self.snapshot.borrow_mut() = Some(Rc::clone(&snapshot));
        snapshot
    }

    /// Returns the snapshot for a request and records the request's arrival. Starts the pools if they are not
    /// running.
    pub fn snapshot_for_request(&self, context: &PoolContext<'_>) -> Rc<ServingSnapshot> {
        self.last_request.set(Instant::now());
        self.running().unwrap_or_else(|| self.start(context))
    }

    /// The snapshot; `None` if the pools are not running.
    pub fn running(&self) -> Option<Rc<ServingSnapshot>> {
        self.snapshot.borrow().clone()
    }

    /// The current configuration.
    pub fn config(&self) -> Arc<config::Config> {
        Arc::clone(&self.tenant.borrow().config)
    }

    /// Stops the pools if the tenant has had no request for `idle_timeout`.
    pub fn stop_if_idle(&self, idle_timeout: Duration) {
        if self.last_request.get().elapsed() > idle_timeout {
            self.stop();
        }
    }

    /// Stops the pools; open requests complete.
    pub fn stop(&self) {
        if let Some(snapshot) = self.snapshot.borrow_mut().take() {
            snapshot.retire();
        }
    }

    /// The status of the tenant with the given usage.
    pub fn status(&self, usage: limit::Usage) -> Status {
        Status { version: self.version.get(), started: self.running().is_some(), usage }
    }
}

/// Whether any pool of a tenant gets its endpoints from discovery.
fn needs_discovery(tenant: &Tenant) -> bool {
    tenant.config.pools.iter().any(|pool| matches!(pool.source, Source::Discovery(_)))
}
