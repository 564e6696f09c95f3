//! The registry of a pool's endpoints: applies lists from any source and passes them on to the balancer and
//! the upstream pool. An endpoint that operators drained is passed on as draining even if it is listed as
//! ready.

mod maintenance_applier;
mod registered;

pub use maintenance_applier::{MaintenanceApplier, RegistryObserver};
pub use registered::RegisteredEndpoints;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use config::{EndpointList, ListedEndpoint, ListedState, ParsedEndpointList};
use decide::platform_settings::NameTable;
use decide::{Endpoint, EndpointId, EndpointState, UpdateScope};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::inbox::DriverHandle;
use crate::log::log_line;
use crate::maintenance::PoolMaintenance;
use crate::upstream::UpstreamPool;
use registered::ListedAddress;

/// Applies endpoint lists and passes them on to the balancer and the upstream pool.
pub struct EndpointRegistry {
    pub clock: Clock,
    pub names: Rc<RefCell<NameTable>>,
    pub driver: DriverHandle,
    pub upstreams: Rc<UpstreamPool>,
    /// Whether the process may report ready: a list was received or confirmed, or the list that the process
    /// started with has stayed unconfirmed for `READY_UNCONFIRMED_AFTER`.
    pub ready: Rc<Cell<bool>>,
    /// The time when the source last responded.
    pub last_contact: Rc<Cell<Instant>>,
    /// The version of the list that was applied last; `None` before the first list and after a change of
    /// address.
    pub version: Option<u64>,
    pub endpoints: Rc<RegisteredEndpoints>,
    /// The drains by operators; `None` if the process has no operators' address.
    pub maintenance: Option<PoolMaintenance>,
    /// Whether a malformed entry has been logged.
    malformed_entry_logged: bool,
}

/// Returns the endpoint with the more restrictive of its listed state and the state set by operators.
fn most_restrictive(mut endpoint: Endpoint, is_drained: bool) -> Endpoint {
    if is_drained && endpoint.state == EndpointState::Ready {
        endpoint.state = EndpointState::Draining;
    }
    endpoint
}

impl EndpointRegistry {
    /// Creates an empty registry.
    pub fn new(
        clock: Clock,
        names: Rc<RefCell<NameTable>>,
        driver: DriverHandle,
        upstreams: Rc<UpstreamPool>,
        ready: Rc<Cell<bool>>,
    ) -> EndpointRegistry {
        EndpointRegistry {
            clock,
            names,
            driver,
            upstreams,
            ready,
            last_contact: Rc::new(Cell::new(Instant::now())),
            version: None,
            endpoints: Rc::default(),
            maintenance: None,
            malformed_entry_logged: false,
        }
    }

    /// Applies the entries of a list from discovery that can be parsed. An endpoint whose entry cannot be
    /// parsed may be draining, so it gets no new requests.
    pub fn apply_parsed(&mut self, parsed: ParsedEndpointList, scope: UpdateScope) {
        if let Some(fault) = &parsed.fault {
            self.log_malformed_entry(fault);
        }
        self.apply_entries(parsed.list, &parsed.unreadable, scope);
    }

    /// Applies a list, so that it is in effect for all requests that are submitted later.
    pub fn apply(&mut self, list: EndpointList, scope: UpdateScope) {
        self.apply_entries(list, &BTreeSet::new(), scope);
    }

    fn apply_entries(&mut self, list: EndpointList, unreadable: &BTreeSet<String>, scope: UpdateScope) {
        self.version = Some(list.version);
        self.last_contact.set(Instant::now());
        let mut endpoints: Vec<Endpoint> =
            list.endpoints.into_iter().map(|listed| self.apply_entry(listed)).collect();
        endpoints.extend(unreadable.iter().filter_map(|name| self.drain_unreadable(name)));
        if scope != UpdateScope::Delta {
            let listed: BTreeSet<EndpointId> = endpoints.iter().map(|endpoint| endpoint.id).collect();
            self.upstreams.mark_unlisted_removed(|id| listed.contains(&id));
            self.endpoints.remove_all_but(&listed);
        }
        self.endpoints.forget_removed();
        self.driver.endpoint_update(scope, endpoints);
        // A cached list is the one that the process started with, which is not confirmed yet.
        if scope != UpdateScope::Cached {
            self.ready.set(true);
        }
        self.endpoints.count_update();
        self.endpoints.import_pending_state(self.clock, &self.names.borrow(), &self.driver);
    }

    fn apply_entry(&self, listed: ListedEndpoint) -> Endpoint {
        let address = listed.address;
        let name = listed.name.clone();
        let endpoint = self.endpoint(listed);
        self.endpoints.set_last_listed(&name, ListedAddress { endpoint: endpoint.clone(), address });
        let is_drained =
            self.maintenance.as_ref().is_some_and(|maintenance| maintenance.record_listed(&name));
        let endpoint = most_restrictive(endpoint, is_drained);
        self.upstreams.update_endpoint(&endpoint, address);
        endpoint
    }

    /// Returns an endpoint with an unreadable entry as it was listed last, but as draining. Returns `None` if
    /// it was not listed before.
    fn drain_unreadable(&self, name: &str) -> Option<Endpoint> {
        let ListedAddress { mut endpoint, address } = self.endpoints.last_listed(name)?;
        endpoint.state = EndpointState::Draining;
        self.upstreams.update_endpoint(&endpoint, address);
        Some(endpoint)
    }

    fn endpoint(&self, listed: ListedEndpoint) -> Endpoint {
        let mut names = self.names.borrow_mut();
        Endpoint {
            id: self.endpoints.id(&listed.name, listed.state),
            state: match listed.state {
                ListedState::Serving => EndpointState::Ready,
                ListedState::Draining => EndpointState::Draining,
                ListedState::Deleted => EndpointState::Removed,
            },
            weight: listed.weight,
            up_since: self.clock.at_unix_ms(listed.started_unix_ms),
            zone: names.zone(&listed.zone),
            machine_kind: names.kind(&listed.machine_kind),
            cell: listed.cell,
        }
    }

    fn log_malformed_entry(&mut self, fault: &str) {
        if !self.malformed_entry_logged {
            self.malformed_entry_logged = true;
            log_line(format_args!(
                "ignoring malformed entry of the endpoint list, draining its endpoint: {fault}"
            ));
        }
    }
}
