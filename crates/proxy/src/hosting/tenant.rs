//! One tenant: its version, its share of connections, and its pools while they run.

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
    /// Identifies it to the limiter.
    pub id: TenantId,
    name: String,
    tenant: RefCell<Arc<Tenant>>,
    version: Cell<u64>,
    max_connections: Cell<usize>,
    /// Set while its pools run.
    snapshot: RefCell<Option<Rc<ServingSnapshot>>>,
    last_request: Cell<Instant>,
    /// The ids of its requests in flight; other tenants may use the same ids.
    pub request_ids: OpenRequestIds,
    /// The idempotency keys of its requests, of all protocols.
    pub keys: KeyTable,
}

/// What [`HostedTenant::replace`] changed.
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

    /// Takes over another configuration. Pools that run are changed over, pools that need a list from discovery are
    /// started.
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

    /// The weight of another tenant changes the connections of this one, and not its version.
    fn replace(&self, version: u64, tenant: &Arc<Tenant>, max_connections: usize) -> Change {
        let is_same_tenant = Arc::ptr_eq(&self.tenant.borrow(), tenant);
        if !is_same_tenant {
            *self.tenant.borrow_mut() = Arc::clone(tenant);
            self.version.set(version);
        }
        let previous_connections = self.max_connections.replace(max_connections);
        Change { tenant: !is_same_tenant, max_connections: previous_connections != max_connections }
    }

    /// Starts its pools, or changes them over to its current configuration.
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

    /// The snapshot for a request, whose arrival it notes. Starts the pools if they do not run.
    pub fn snapshot_for_request(&self, context: &PoolContext<'_>) -> Rc<ServingSnapshot> {
        self.last_request.set(Instant::now());
        self.running().unwrap_or_else(|| self.start(context))
    }

    /// The snapshot, while its pools run.
    pub fn running(&self) -> Option<Rc<ServingSnapshot>> {
        self.snapshot.borrow().clone()
    }

    /// The methods and other settings of its current configuration.
    pub fn config(&self) -> Arc<config::Config> {
        Arc::clone(&self.tenant.borrow().config)
    }

    /// Stops its pools if it has had no request for this long.
    pub fn stop_if_idle(&self, idle_timeout: Duration) {
        if self.last_request.get().elapsed() > idle_timeout {
            self.stop();
        }
    }

    /// Stops its pools; requests in flight complete.
    pub fn stop(&self) {
        if let Some(snapshot) = self.snapshot.borrow_mut().take() {
            snapshot.retire();
        }
    }

    /// Its status with this usage.
    pub fn status(&self, usage: limit::Usage) -> Status {
        Status { version: self.version.get(), started: self.running().is_some(), usage }
    }
}

/// Whether a tenant has pools that get their endpoints from discovery.
fn needs_discovery(tenant: &Tenant) -> bool {
    tenant.config.pools.iter().any(|pool| matches!(pool.source, Source::Discovery(_)))
}
