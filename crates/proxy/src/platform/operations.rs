//! The operators' actions in the platform's mode.

use std::cell::Cell;
use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;

use membership::MaintenanceRejection;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::maintenance::{MaintenanceStore, PoolMaintenance};
use crate::membership::{EndpointRegistry, MaintenanceApplier};
use crate::metrics::{Labels, Metrics};
use crate::operators::{self, observe_maintenance, MaintenanceTarget, OperatorActions};

/// The operators' actions on the platform's only pool.
struct Operations {
    metrics: Rc<Metrics>,
    /// Applies maintenance to the pool. It is subscribed to the maintenance store until it is dropped.
    applier: Rc<MaintenanceApplier>,
    ready: Rc<Cell<bool>>,
    shutting_down: Rc<Cell<bool>>,
}

impl OperatorActions for Operations {
    fn is_serving(&self) -> bool {
        self.ready.get() && !self.shutting_down.get()
    }

    fn metrics_text(&self) -> Pin<Box<dyn Future<Output = String> + '_>> {
        Box::pin(async { self.metrics.encode(&[self.applier.gauges(Labels::new()).await]) })
    }

    fn maintenance_target(&self, id: &str) -> Result<MaintenanceTarget<'_>, MaintenanceRejection> {
        Ok(MaintenanceTarget { store: &self.applier.maintenance.store, endpoint: id.to_owned() })
    }
}

/// Serves operators and applies the maintenance state stored in `state_folder` to the registry. If the folder
/// is `None`, the state is not stored.
pub fn serve(
    listener: TcpListener,
    state_folder: Option<PathBuf>,
    registry: &mut EndpointRegistry,
    metrics: Rc<Metrics>,
    shutting_down: Rc<Cell<bool>>,
) {
    let store = Rc::new(MaintenanceStore::new(state_folder));
    let maintenance = PoolMaintenance { store: Rc::clone(&store), pool: None };
    registry.maintenance = Some(maintenance.clone());
    let operations = Operations {
        metrics,
        applier: observe_maintenance(registry, maintenance),
        ready: Rc::clone(&registry.ready),
        shutting_down,
    };
    spawn_local(async move { store.follow().await });
    spawn_local(operators::server::serve(listener, Rc::new(operations)));
}
