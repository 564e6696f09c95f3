//! A pool of endpoints: its load balancing decisions, its upstream connections and its endpoint list.
//!
//! Used by the standalone and the hosted mode. [`start`] assembles a pool; dropping it aborts its tasks.

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

/// What all pools of a process are started with.
#[derive(Clone, Copy)]
pub struct PoolContext<'a> {
    pub clock: Clock,
    /// Seeds the random numbers of the decisions.
    pub seed: u64,
    /// Set where the process has an operators' address.
    pub operators: Option<&'a OperatorContext>,
}

/// A running pool. Nothing of it may be in flight when it is dropped.
pub struct Pool {
    _tasks: TaskSet,
    pub name: String,
    pub driver: DriverHandle,
    upstreams: Rc<UpstreamPool>,
    clock: Clock,
    names: Rc<RefCell<NameTable>>,
    endpoints: Rc<RegisteredEndpoints>,
    ready: Rc<Cell<bool>>,
    /// When the source of the endpoint list last answered.
    last_contact: Rc<Cell<Instant>>,
    /// Set where the configuration itself lists the endpoints.
    static_registry: Option<RefCell<EndpointRegistry>>,
    operator_view: Option<OperatorView>,
}

/// What operators see and change of a pool. The applier is subscribed to the maintenance store while the pool
/// exists.
struct OperatorView {
    applier: Rc<MaintenanceApplier>,
    labels: Labels,
}

impl Pool {
    /// Applies another configuration that carries this pool over.
    pub fn reconfigure(&self, config: &Config, index: usize, max_connections: usize) {
        self.upstreams.set_max_sockets(max_connections);
        if let (Some(registry), Source::List(nodes)) = (&self.static_registry, &config.pools[index].source) {
            registry.borrow_mut().apply(endpoint_list::from_config(nodes), UpdateScope::Full);
        }
    }

    /// Imports the state that another process learned.
    pub fn import_learned_state(&self, saved: SavedPool) {
        self.endpoints.import_learned_state(saved, self.clock, &self.names.borrow(), &self.driver);
    }

    /// The state learned so far. None where the decisions do not answer.
    pub async fn learned_state(&self) -> Option<learned_state::PoolRecord> {
        let learned = self.driver.learned_state().await?;
        Some(self.endpoints.export_learned_state(&self.name, &learned, self.clock, &self.names.borrow()))
    }

    /// The name by which operators refer to this endpoint, if the pool lists it.
    pub fn operator_name(&self, endpoint: &str) -> Option<String> {
        let view = self.operator_view.as_ref().filter(|_| self.endpoints.contains(endpoint))?;
        Some(view.applier.maintenance.operator_name(endpoint))
    }

    /// The gauges of this pool. None where the process has no operators' address.
    pub async fn gauges(&self) -> Option<PoolGauges> {
        let view = self.operator_view.as_ref()?;
        Some(view.applier.gauges(view.labels.clone()).await)
    }

    /// The number of endpoint lists received.
    pub fn list_count(&self) -> u64 {
        self.endpoints.update_count()
    }

    /// The endpoints as the announcer of addresses needs them. `slow_start_duration` in microseconds.
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

    /// No configuration has this pool any more: closes idle connections, requests in flight complete.
    pub fn retire(&self) {
        self.upstreams.retire();
    }

    /// Whether an endpoint list has been received.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// The filter of a route, with the pool's own indexes for zones and machine kinds.
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
