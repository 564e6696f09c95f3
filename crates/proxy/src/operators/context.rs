//! The state that pools share with the operators' address: the metrics and the maintenance store.

use std::rc::Rc;

use config::Operators;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::maintenance::{MaintenanceStore, PoolMaintenance};
use crate::membership::{EndpointRegistry, MaintenanceApplier, RegistryObserver};
use crate::metrics::{Labels, Metrics};
use crate::operators::server;
use crate::start_error::StartError;

/// The metrics and the maintenance state of a process that has an operators' address.
#[derive(Clone)]
pub struct OperatorContext {
    pub metrics: Rc<Metrics>,
    pub maintenance: Rc<MaintenanceStore>,
    /// The tenant that the pools belong to; `None` for all tenants, and outside a hosted service.
    pub tenant: Option<String>,
}

/// The bound operators' address, which is not served yet.
pub struct OperatorEndpoint {
    pub listener: TcpListener,
    pub context: OperatorContext,
}

impl OperatorEndpoint {
    /// Binds the configured address and loads the maintenance state of earlier processes; `None` if no
    /// address is configured.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or the folder of the maintenance state cannot be
    /// created.
    pub async fn open(settings: Option<&Operators>) -> Result<Option<OperatorEndpoint>, StartError> {
        let Some(Operators { listen, folder }) = settings else { return Ok(None) };
        let listener = server::bind(*listen).await?;
        if let Some(path) = folder {
            std::fs::create_dir_all(path)
                .map_err(|source| StartError::OperatorsFolder { path: path.clone(), source })?;
        }
        let maintenance = Rc::new(MaintenanceStore::new(folder.clone()));
        let followed_store = Rc::clone(&maintenance);
        spawn_local(async move { followed_store.follow().await });
        let context = OperatorContext { metrics: Rc::new(Metrics::new(true)), maintenance, tenant: None };
        Ok(Some(OperatorEndpoint { listener, context }))
    }

    /// Splits the endpoint into the listener to serve and the context for pools.
    pub fn into_parts(self) -> (TcpListener, OperatorContext) {
        (self.listener, self.context)
    }
}

impl OperatorContext {
    /// The same context for the pools of one tenant.
    pub fn for_tenant(&self, tenant: &str) -> OperatorContext {
        OperatorContext { tenant: Some(tenant.to_owned()), ..self.clone() }
    }

    /// The metric labels of a pool.
    pub fn labels(&self, pool: &str) -> Labels {
        let mut labels = vec![("pool", pool.to_owned())];
        labels.extend(self.tenant.iter().map(|tenant| ("tenant", tenant.clone())));
        labels
    }

    /// The maintenance of a pool's endpoints, which operators refer to as `POOL/NAME` or `TENANT/POOL/NAME`.
    pub fn pool_maintenance(&self, pool: &str) -> PoolMaintenance {
        let qualified_pool = match &self.tenant {
            Some(tenant) => format!("{tenant}/{pool}"),
            None => pool.to_owned(),
        };
        PoolMaintenance { store: Rc::clone(&self.maintenance), pool: Some(qualified_pool) }
    }
}

/// Creates an applier of maintenance and subscribes it to the store until it is dropped.
pub fn observe_maintenance(
    registry: &EndpointRegistry,
    maintenance: PoolMaintenance,
) -> Rc<MaintenanceApplier> {
    let store = Rc::clone(&maintenance.store);
    let applier = Rc::new(MaintenanceApplier {
        endpoints: Rc::clone(&registry.endpoints),
        driver: registry.driver.clone(),
        upstreams: Rc::clone(&registry.upstreams),
        maintenance,
    });
    store.subscribe(Rc::downgrade(&(Rc::clone(&applier) as Rc<dyn RegistryObserver>)));
    applier
}
