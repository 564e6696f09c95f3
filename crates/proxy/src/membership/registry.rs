//! The nodes of a pool as they were last told, and what they are called here.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config::{EndpointList, ListedEndpoint, ListedState, ParsedEndpointList as ToldList};
use decide::learned::LearnedState;
use decide::platform_settings::NameTable;
use decide::{Endpoint, EndpointId, EndpointState, UpdateScope};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::inbox::DriverHandle;
use crate::learned_state::names::{self, EndpointNames};
use crate::learned_state::SavedPool;
use crate::log::say;
use crate::maintenance::MaintenanceOverrides;
use crate::metrics::{Labels, PoolGauges};
use crate::upstream::UpstreamPool;

/// The name of a host that has gone is kept for this long: by then nothing is open that went there, so that
/// whoever gets its id is not taken for it.
const NAME_KEPT: Duration = Duration::from_secs(60);
/// What a host is called here.
pub struct NamedEndpoint {
    id: EndpointId,
    /// When it was said to be gone, or left out of a whole list.
    gone: Option<Instant>,
    /// What was listed last, and where it listens.
    last: Option<(Endpoint, SocketAddr)>,
}

/// Somebody who knows a node that operators speak of.
pub trait RegistryObserver {
    /// What operators say of this node has changed.
    fn changed(&self, name: &str);
}

/// What discovery lists, or operators say where that is stricter.
fn stricter(mut entry: Endpoint, out: bool) -> Endpoint {
    if out && entry.state == EndpointState::Ready {
        entry.state = EndpointState::Draining;
    }
    entry
}

/// What it takes to tell of a node again.
pub struct RegistryView {
    pub known: Rc<RegisteredEndpoints>,
    pub handle: DriverHandle,
    pub backends: Rc<UpstreamPool>,
    pub overrides: MaintenanceOverrides,
}

impl RegistryView {
    /// What its pool is now.
    pub async fn now(&self, place: Labels) -> PoolGauges {
        let by_choice = self.handle.ejected_count().await;
        let (listed, by_hand) = self.known.counts(&self.overrides);
        PoolGauges { labels: place, endpoints: listed, ejected: by_hand + by_choice }
    }
}

impl RegistryObserver for RegistryView {
    fn changed(&self, called: &str) {
        let Some(name) = self.overrides.node(called) else { return };
        let last =
            self.known.ids.borrow().get(name).filter(|n| n.gone.is_none()).and_then(|n| n.last.clone());
        let Some((entry, dial)) = last else { return };
        let entry = stricter(entry, self.overrides.is_out(name));
        self.backends.update_endpoint(&entry, dial);
        self.handle.endpoint_update(UpdateScope::Delta, vec![entry]);
    }
}

fn called<'a>(ids: &'a BTreeMap<String, NamedEndpoint>, names: &'a NameTable) -> EndpointNames<'a> {
    EndpointNames { names, ids: ids.iter().map(|(name, named)| (name.as_str(), named.id)).collect() }
}

/// Takes lists in, whatever their source, and tells the decisions and the connections of them.
pub struct EndpointRegistry {
    pub clock: Clock,
    pub names: Rc<RefCell<NameTable>>,
    pub handle: DriverHandle,
    pub backends: Rc<UpstreamPool>,
    /// Set once there is a list.
    pub ready: Rc<Cell<bool>>,
    /// When the source last spoke.
    pub heard: Rc<Cell<Instant>>,
    /// The version of the list.
    pub seq: Option<u64>,
    pub known: Rc<RegisteredEndpoints>,
    /// What operators say of nodes, where they are asked.
    pub overrides: Option<MaintenanceOverrides>,
    /// A malformed entry has been told of.
    complained: bool,
}

/// What is known of a pool's nodes beside the list.
#[derive(Default)]
pub struct RegisteredEndpoints {
    ids: RefCell<BTreeMap<String, NamedEndpoint>>,
    /// The ids that these have.
    taken: RefCell<BTreeSet<EndpointId>>,
    /// What is to be learned once there is a list.
    told: RefCell<Option<SavedPool>>,
    /// Lists taken in.
    lists: Cell<u64>,
}

impl RegisteredEndpoints {
    /// How many lists were taken in.
    pub fn lists(&self) -> u64 {
        self.lists.get()
    }

    /// How many nodes are listed, and how many of them are out by hand.
    pub fn counts(&self, bans: &MaintenanceOverrides) -> (usize, usize) {
        let ids = self.ids.borrow();
        let listed = ids.iter().filter(|(_, n)| n.gone.is_none());
        (listed.clone().count(), listed.filter(|(name, _)| bans.is_out(name)).count())
    }

    /// Is a node of this name listed?
    pub fn has(&self, name: &str) -> bool {
        self.ids.borrow().get(name).is_some_and(|named| named.gone.is_none())
    }

    /// Something to learn, at once where there is a list.
    pub fn teach(&self, told: SavedPool, clock: Clock, names: &NameTable, handle: &DriverHandle) {
        *self.told.borrow_mut() = Some(told);
        self.catch_up(clock, names, handle);
    }

    /// Learns what waits for a list, if there is one by now.
    fn catch_up(&self, clock: Clock, names: &NameTable, handle: &DriverHandle) {
        let ids = self.ids.borrow();
        if ids.is_empty() {
            return;
        }
        let Some(told) = self.told.take() else { return };
        let called = called(&ids, names);
        let now = clock.now();
        let started = |ms: u64| clock.at_unix_ms(ms as f64).map(|at| now.saturating_sub(at));
        handle.import_learned_state(vec![names::with_indexes(&told.pool, told.age(), &called, started)]);
    }

    /// What decisions state, under names.
    pub fn named_state(
        &self,
        pool: &str,
        learned: &LearnedState,
        clock: Clock,
        names: &NameTable,
    ) -> learned_state::Pool {
        let ids = self.ids.borrow();
        let now = clock.now();
        names::with_names(pool, learned, &called(&ids, names), |up_for| {
            clock.unix_ms(now.saturating_sub(up_for))
        })
    }
}

impl EndpointRegistry {
    pub fn new(
        clock: Clock,
        names: Rc<RefCell<NameTable>>,
        handle: DriverHandle,
        backends: Rc<UpstreamPool>,
        ready: Rc<Cell<bool>>,
    ) -> EndpointRegistry {
        let heard = Rc::new(Cell::new(Instant::now()));
        EndpointRegistry {
            clock,
            names,
            handle,
            backends,
            ready,
            heard,
            seq: None,
            known: Rc::default(),
            overrides: None,
            complained: false,
        }
    }

    /// Takes in what discovery told, as far as it can be read. What is listed in words that cannot be may drain, so it
    /// gets nothing new.
    pub fn hear(&mut self, told: ToldList, scope: UpdateScope) {
        if let Some(fault) = told.fault.filter(|_| !std::mem::replace(&mut self.complained, true)) {
            say(format_args!("passing over a malformed entry in the list of backends: {fault}"));
        }
        self.take(told.list, &told.unreadable, scope);
    }

    /// Takes a list in, before anything else is sent.
    pub fn apply(&mut self, list: EndpointList, scope: UpdateScope) {
        self.take(list, &BTreeSet::new(), scope);
    }

    fn take(&mut self, list: EndpointList, unreadable: &BTreeSet<String>, scope: UpdateScope) {
        self.seq = Some(list.version);
        self.heard.set(Instant::now());
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for host in list.endpoints {
            let (dial, name) = (host.address, host.name.clone());
            let entry = self.entry(host);
            if let Some(named) = self.known.ids.borrow_mut().get_mut(&name) {
                named.last = Some((entry.clone(), dial));
            }
            let entry = stricter(entry, self.overrides.as_ref().is_some_and(|bans| bans.listed(&name)));
            self.backends.update_endpoint(&entry, dial);
            entries.push(entry);
        }
        for name in unreadable {
            let last =
                self.known.ids.borrow().get(name).filter(|n| n.gone.is_none()).and_then(|n| n.last.clone());
            if let Some((mut entry, dial)) = last {
                entry.state = EndpointState::Draining;
                self.backends.update_endpoint(&entry, dial);
                entries.push(entry);
            }
        }
        if scope != UpdateScope::Delta {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            self.backends.retain_listed(|id| listed.contains(&id));
            for named in self.known.ids.borrow_mut().values_mut().filter(|n| !listed.contains(&n.id)) {
                named.gone.get_or_insert_with(Instant::now);
            }
        }
        // Guards against growth: hosts that are replaced come under ever new names.
        let mut taken = self.known.taken.borrow_mut();
        self.known.ids.borrow_mut().retain(|_, named| {
            let stays = named.gone.is_none_or(|at| at.elapsed() < NAME_KEPT);
            stays || !taken.remove(&named.id)
        });
        drop(taken);
        self.handle.endpoint_update(scope, entries);
        // One that came with the configuration is not known to be true yet.
        if scope != UpdateScope::Cached {
            self.ready.set(true);
        }
        self.known.lists.set(self.known.lists.get() + 1);
        self.known.catch_up(self.clock, &self.names.borrow(), &self.handle);
    }

    fn entry(&mut self, host: ListedEndpoint) -> Endpoint {
        let (zone, kind) = {
            let mut names = self.names.borrow_mut();
            (names.zone(&host.zone), names.kind(&host.machine_kind))
        };
        Endpoint {
            id: self.id(host.name, host.state),
            state: match host.state {
                ListedState::Serving => EndpointState::Ready,
                ListedState::Draining => EndpointState::Draining,
                ListedState::Deleted => EndpointState::Removed,
            },
            weight: host.weight,
            up_since: self.clock.at_unix_ms(host.started_unix_ms),
            zone,
            machine_kind: kind,
            cell: host.cell,
        }
    }

    /// A host's id: the same at every proxy, because all of them cut their parts out of one order of ids.
    fn id(&mut self, host: String, health: ListedState) -> EndpointId {
        let gone = matches!(health, ListedState::Deleted).then(Instant::now);
        let mut ids = self.known.ids.borrow_mut();
        if let Some(named) = ids.get_mut(&host) {
            named.gone = gone.map(|now| named.gone.unwrap_or(now));
            return named.id;
        }
        // FNV-1a; a hash that is taken moves on to the next.
        let hash = host.bytes().fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
        let mut id = EndpointId(hash);
        let mut taken = self.known.taken.borrow_mut();
        while !taken.insert(id) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        ids.insert(host, NamedEndpoint { id, gone, last: None });
        id
    }
}
