//! What pools need of the operators' address: metrics to count in, and the maintenance store.

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
    /// The tenant whose pools are started; only in a hosted service.
    pub tenant: Option<String>,
}

/// The operators' address, bound but not served yet.
pub struct OperatorEndpoint {
    pub listener: TcpListener,
    pub context: OperatorContext,
}

impl OperatorEndpoint {
    /// Binds the configured address, if there is one, and loads the maintenance state of earlier processes.
    ///
    /// # Errors
    /// The address cannot be bound or the folder cannot be created.
    pub async fn open(settings: Option<&Operators>) -> Result<Option<OperatorEndpoint>, StartError> {
        let Some(Operators { listen, folder }) = settings else { return Ok(None) };
        let listener = server::bind(*listen).await?;
        if let Some(path) = folder {
            std::fs::create_dir_all(path)
                .map_err(|source| StartError::OperatorsFolder { path: path.clone(), source })?;
        }
        let maintenance = Rc::new(MaintenanceStore::new(folder.clone()));
        let followed = Rc::clone(&maintenance);
        spawn_local(async move { followed.follow().await });
        let context = OperatorContext { metrics: Rc::new(Metrics::new(true)), maintenance, tenant: None };
        Ok(Some(OperatorEndpoint { listener, context }))
    }

    /// The listener to serve, and what pools need.
    pub fn into_parts(self) -> (TcpListener, OperatorContext) {
        (self.listener, self.context)
    }
}

impl OperatorContext {
    /// The same for the pools of one tenant.
    pub fn for_tenant(&self, tenant: &str) -> OperatorContext {
        OperatorContext { tenant: Some(tenant.to_owned()), ..self.clone() }
    }

    /// The metric labels of a pool.
    pub fn labels(&self, pool: &str) -> Labels {
        let mut labels = vec![("pool", pool.to_owned())];
        labels.extend(self.tenant.iter().map(|tenant| ("tenant", tenant.clone())));
        labels
    }

    /// Maintenance of a pool's endpoints, which operators call `POOL/NAME` or `TENANT/POOL/NAME`.
    pub fn pool_maintenance(&self, pool: &str) -> PoolMaintenance {
        let qualified_pool = match &self.tenant {
            Some(tenant) => format!("{tenant}/{pool}"),
            None => pool.to_owned(),
        };
        PoolMaintenance { store: Rc::clone(&self.maintenance), pool: Some(qualified_pool) }
    }
}

/// Subscribes an applier of maintenance to the store, for as long as the applier exists.
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
