//! A pool of endpoints with its balancer, its upstream connections and its endpoint list.
//!
//! Used by the standalone and the hosted mode. [`start`] assembles a pool; dropping the pool aborts its
//! tasks.

mod endpoint_list;
mod staleness;
mod start;
mod tasks;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use config::{Config, Source};
use decide::platform_settings::NameTable;
use decide::{EndpointFilter, EndpointState, Micros, UpdateScope};
use route::{EndpointCounts, EndpointScope};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::inbox::DriverHandle;
use crate::learned_state::SavedPool;
use crate::membership::{EndpointRegistry, MaintenanceApplier, RegisteredEndpoints};
use crate::metrics::{Labels, PoolGauges};
use crate::operators::OperatorContext;
use crate::upstream::UpstreamPool;

use tasks::TaskSet;

/// The context that is shared by all pools of a process.
#[derive(Clone, Copy)]
pub struct PoolContext<'a> {
    pub clock: Clock,
    /// The seed of the random numbers of the balancer.
    pub seed: u64,
    /// `None` if the process has no operators' address.
    pub operators: Option<&'a OperatorContext>,
}

/// A running pool. It must not be dropped while requests are in flight in it.
pub struct Pool {
    _tasks: TaskSet,
    pub name: String,
    pub driver: DriverHandle,
    upstreams: Rc<UpstreamPool>,
    clock: Clock,
    names: Rc<RefCell<NameTable>>,
    endpoints: Rc<RegisteredEndpoints>,
    ready: Rc<Cell<bool>>,
    /// The time when the source of the endpoint list last responded.
    last_contact: Rc<Cell<Instant>>,
    /// The registry of the endpoints that are listed in the configuration; `None` if the list has another
    /// source.
    static_registry: Option<RefCell<EndpointRegistry>>,
    operator_view: Option<OperatorView>,
}

/// The operators' view of a pool. The applier is subscribed to the maintenance store for as long as the pool
/// exists.
struct OperatorView {
    applier: Rc<MaintenanceApplier>,
    labels: Labels,
}

impl Pool {
    /// Applies a new configuration that keeps this pool, at `index`.
    pub fn reconfigure(&self, config: &Config, index: usize, max_connections: usize) {
        self.upstreams.set_max_sockets(max_connections);
        if let (Some(registry), Source::List(specs)) = (&self.static_registry, &config.pools[index].source) {
            registry.borrow_mut().apply(endpoint_list::from_config(specs), UpdateScope::Full);
        }
    }

    /// Imports the learned state of another process.
    pub fn import_learned_state(&self, saved: SavedPool) {
        self.endpoints.import_learned_state(saved, self.clock, &self.names.borrow(), &self.driver);
    }

    /// Returns the learned state, or `None` if the balancer panics while it is exported.
    pub async fn learned_state(&self) -> Option<learned_state::PoolRecord> {
        let learned = self.driver.learned_state().await?;
        Some(self.endpoints.export_learned_state(&self.name, &learned, self.clock, &self.names.borrow()))
    }

    /// The operators' name of an endpoint; `None` if the pool does not list the endpoint.
    pub fn operator_name(&self, endpoint: &str) -> Option<String> {
        let view = self.operator_view.as_ref().filter(|_| self.endpoints.contains(endpoint))?;
        Some(view.applier.maintenance.operator_name(endpoint))
    }

    /// The gauges of this pool; `None` if the process has no operators' address.
    pub async fn gauges(&self) -> Option<PoolGauges> {
        let view = self.operator_view.as_ref()?;
        Some(view.applier.gauges(view.labels.clone()).await)
    }

    /// The number of endpoint lists that were applied.
    pub fn list_count(&self) -> u64 {
        self.endpoints.update_count()
    }

    /// The endpoints as the BGP announcer uses them. `slow_start_duration` is in microseconds.
    pub fn announced_endpoints(&self, slow_start_duration: Micros) -> bgp::PoolEndpointList {
        let now = self.clock.now();
        let mut endpoints = Vec::new();
        self.upstreams.for_each_endpoint(|endpoint, address| {
            if endpoint.state != EndpointState::Removed {
                endpoints.push(bgp::ListedEndpoint {
                    address,
                    weight: endpoint.weight,
                    ready: endpoint.state == EndpointState::Ready,
                    warm: endpoint.up_since.is_none_or(|up_since| now - up_since >= slow_start_duration),
                });
            }
        });
        let source_silent_for = self.static_registry.is_none().then(|| self.last_contact.get().elapsed());
        bgp::PoolEndpointList { received: self.ready.get(), source_silent_for, endpoints }
    }

    /// Retires the pool when it is no longer part of the configuration: closes idle connections. Requests in
    /// flight complete.
    pub fn retire(&self) {
        self.upstreams.retire();
    }

    /// Whether the pool has a usable endpoint list.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Converts the endpoint scope of a route to a filter with this pool's indexes of zones and machine
    /// kinds.
    pub fn endpoint_filter(&self, scope: &EndpointScope) -> EndpointFilter {
        let mut names = self.names.borrow_mut();
        EndpointFilter {
            zones: scope.zones.iter().map(|zone| names.zone(zone)).collect(),
            machine_kinds: scope.machine_kinds.iter().map(|kind| names.kind(kind)).collect(),
            cells: scope.cells.clone(),
        }
    }

    /// Counts the endpoints that match a filter.
    pub fn endpoint_counts(&self, filter: Option<&EndpointFilter>) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        self.upstreams.for_each_endpoint(|endpoint, _| {
            if filter.is_none_or(|filter| filter.matches(endpoint)) {
                match endpoint.state {
                    EndpointState::Ready => counts.ready += 1,
                    EndpointState::Draining => counts.draining += 1,
                    EndpointState::Removed => {}
                }
            }
        });
        counts
    }
}
