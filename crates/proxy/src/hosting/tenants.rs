//! All tenants of the process, their shared state, and the change from one version of the tenants to the
//! next.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use config::{SharedSettings, Tenants};
use decide::Micros;
use limit::Limiter;
use membership::MaintenanceRejection;

use super::tenant::HostedTenant;
use super::Status;
use crate::clock::Clock;
use crate::idempotency_keys::KeyTable;
use crate::log::log_line;
use crate::operators::{unique_endpoint, MaintenanceTarget, OperatorActions, OperatorContext};
use crate::pool::PoolContext;
use crate::snapshot::ServingSnapshot;

/// The tenants of a hosted service.
pub(super) struct HostedTenants {
    shared: SharedSettings,
    pub clock: Clock,
    seed: u64,
    pub limiter: Rc<RefCell<Limiter>>,
    /// The version being served.
    current: RefCell<Arc<Tenants>>,
    by_name: RefCell<BTreeMap<String, Rc<HostedTenant>>>,
    operators: Option<OperatorContext>,
    shutting_down: Cell<bool>,
}

impl HostedTenants {
    pub fn new(shared: SharedSettings, seed: u64, operators: Option<OperatorContext>) -> HostedTenants {
        let limiter = Rc::new(RefCell::new(Limiter::new(shared.capacity)));
        HostedTenants {
            shared,
            clock: Clock::new(),
            seed,
            limiter,
            current: RefCell::default(),
            by_name: RefCell::default(),
            operators,
            shutting_down: Cell::new(false),
        }
    }

    /// The context in which the pools of all tenants are started.
    pub fn pool_context(&self) -> PoolContext<'_> {
        PoolContext { clock: self.clock, seed: self.seed, operators: self.operators.as_ref() }
    }

    /// Serves another version of the tenants from the next request on. Open requests complete under the
    /// former version.
    pub fn apply(&self, version: u64, tenants: &Arc<Tenants>) {
        let now = self.clock.now();
        self.remove_missing(tenants);
        for name in tenants.all.keys() {
            self.add_or_update(now, name, version, tenants);
        }
        *self.current.borrow_mut() = Arc::clone(tenants);
        log_line(format_args!("serving version {version} with {} tenants", tenants.all.len()));
    }

    fn remove_missing(&self, tenants: &Tenants) {
        let mut limiter = self.limiter.borrow_mut();
        self.by_name.borrow_mut().retain(|name, hosted| {
            let stays = tenants.all.contains_key(name);
            if !stays {
                limiter.remove_tenant(hosted.id);
                hosted.stop();
            }
            stays
        });
    }

    fn add_or_update(&self, now: Micros, name: &str, version: u64, tenants: &Tenants) {
        let tenant = &tenants.all[name];
        let limits = tenants.limits(&self.shared, tenant);
        let max_connections = tenants.sockets(&self.shared, tenant);
        let key_limits = tenants.idempotency_limits(&self.shared, tenant);
        let mut limiter = self.limiter.borrow_mut();
        let mut by_name = self.by_name.borrow_mut();
        let hosted = by_name.entry(name.to_owned()).or_insert_with(|| {
            let id = limiter.add_tenant(now, limits);
            let keys = KeyTable::new(key_limits, self.clock);
            Rc::new(HostedTenant::new(id, name, version, tenant, max_connections, keys))
        });
        hosted.keys.set_limits(key_limits);
        limiter.set_limits(now, hosted.id, limits);
        hosted.update(version, tenant, max_connections, &self.pool_context());
    }

    /// The tenant with this name.
    pub fn get(&self, name: &str) -> Option<Rc<HostedTenant>> {
        self.by_name.borrow().get(name).cloned()
    }

    /// The name of the tenant that owns this host.
    pub fn owner_of_host(&self, host: &str) -> Option<String> {
        self.current.borrow().hosts.owner(host).map(ToOwned::to_owned)
    }

    /// Stops the pools of tenants without a request for `idle_timeout`.
    pub fn stop_idle(&self, idle_timeout: Duration) {
        for hosted in self.by_name.borrow().values() {
            hosted.stop_if_idle(idle_timeout);
        }
    }

    /// Whether every running pool has received an endpoint list. Pools that are not running count as ready,
    /// because they start with the first request.
    pub fn is_ready(&self) -> bool {
        self.running().iter().all(|snapshot| snapshot.is_ready())
    }

    /// Makes the process report from now on that it is not serving.
    pub fn begin_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// The status of each tenant, by name.
    pub fn status(&self) -> BTreeMap<String, Status> {
        let limiter = self.limiter.borrow();
        let status = |hosted: &HostedTenant| hosted.status(limiter.usage(hosted.id).unwrap_or_default());
        self.by_name.borrow().iter().map(|(name, hosted)| (name.clone(), status(hosted))).collect()
    }

    fn running(&self) -> Vec<Rc<ServingSnapshot>> {
        self.by_name.borrow().values().filter_map(|hosted| hosted.running()).collect()
    }
}

impl OperatorActions for HostedTenants {
    fn is_serving(&self) -> bool {
        self.is_ready() && !self.shutting_down.get()
    }

    fn metrics_text(&self) -> Pin<Box<dyn Future<Output = String> + '_>> {
        Box::pin(async {
            let mut gauges = Vec::new();
            for snapshot in self.running() {
                gauges.extend(snapshot.gauges().await);
            }
            match &self.operators {
                Some(operators) => operators.metrics.encode(&gauges),
                None => String::new(),
            }
        })
    }

    fn maintenance_target(&self, id: &str) -> Result<MaintenanceTarget<'_>, MaintenanceRejection> {
        let operators = self.operators.as_ref().ok_or(MaintenanceRejection::UnknownEndpoint)?;
        let matches = self.running().iter().flat_map(|snapshot| snapshot.operator_names(id)).collect();
        Ok(MaintenanceTarget { store: &operators.maintenance, endpoint: unique_endpoint(id, matches)? })
    }
}
