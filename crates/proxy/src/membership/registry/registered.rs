//! The endpoints of a pool by name, with their ids and last listed entries, and the learned state that is
//! imported with the first list.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use config::ListedState;
use decide::learned::LearnedState;
use decide::platform_settings::NameTable;
use decide::{Endpoint, EndpointId};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::inbox::DriverHandle;
use crate::learned_state::names::{self, LearnedNames};
use crate::learned_state::SavedPool;
use crate::maintenance::PoolMaintenance;

/// The time for which the name and the id of a removed endpoint are kept. After it no connection to the
/// endpoint is open, so another endpoint that is assigned the same id is not mistaken for it.
const REMOVED_NAME_RETENTION: Duration = Duration::from_secs(60);
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// An endpoint that is or was listed.
struct RegisteredEndpoint {
    id: EndpointId,
    /// The time when the endpoint was listed as removed or was missing from a full list; `None` while it is
    /// listed.
    removed_at: Option<Instant>,
    last_listed: Option<ListedAddress>,
}

/// An endpoint as it was listed, with the address on which it listens.
#[derive(Clone)]
pub(super) struct ListedAddress {
    pub endpoint: Endpoint,
    pub address: SocketAddr,
}

/// The numbers of endpoints of a pool.
pub(super) struct EndpointCounts {
    pub listed: usize,
    /// The number of listed endpoints that operators drained.
    pub drained: usize,
}

/// The endpoints of a pool by name.
#[derive(Default)]
pub struct RegisteredEndpoints {
    by_name: RefCell<BTreeMap<String, RegisteredEndpoint>>,
    used_ids: RefCell<BTreeSet<EndpointId>>,
    /// Learned state that is imported when there is a list.
    pending_state: RefCell<Option<SavedPool>>,
    update_count: Cell<u64>,
}

impl RegisteredEndpoints {
    /// The number of lists that were applied.
    pub fn update_count(&self) -> u64 {
        self.update_count.get()
    }

    pub(super) fn count_update(&self) {
        self.update_count.set(self.update_count.get() + 1);
    }

    pub(super) fn counts(&self, maintenance: &PoolMaintenance) -> EndpointCounts {
        let by_name = self.by_name.borrow();
        let listed = by_name.iter().filter(|(_, endpoint)| endpoint.removed_at.is_none());
        let drained = listed.clone().filter(|(name, _)| maintenance.is_drained(name));
        EndpointCounts { listed: listed.count(), drained: drained.count() }
    }

    /// Whether an endpoint with this name is listed.
    pub fn contains(&self, name: &str) -> bool {
        self.by_name.borrow().get(name).is_some_and(|endpoint| endpoint.removed_at.is_none())
    }

    /// The endpoint with this name as it was listed last; `None` if it is removed or was never listed.
    pub(super) fn last_listed(&self, name: &str) -> Option<ListedAddress> {
        let by_name = self.by_name.borrow();
        by_name.get(name).filter(|endpoint| endpoint.removed_at.is_none())?.last_listed.clone()
    }

    pub(super) fn set_last_listed(&self, name: &str, listed: ListedAddress) {
        if let Some(endpoint) = self.by_name.borrow_mut().get_mut(name) {
            endpoint.last_listed = Some(listed);
        }
    }

    /// The id of a listed endpoint, which is assigned when it is first listed. It is derived from the name,
    /// so that it is the same in every proxy: all proxies take their subsets from one order of ids.
    pub(super) fn id(&self, name: &str, state: ListedState) -> EndpointId {
        let removed_at = matches!(state, ListedState::Deleted).then(Instant::now);
        let mut by_name = self.by_name.borrow_mut();
        if let Some(endpoint) = by_name.get_mut(name) {
            endpoint.removed_at = removed_at.map(|now| endpoint.removed_at.unwrap_or(now));
            return endpoint.id;
        }
        let id = self.unused_id(name);
        by_name.insert(name.to_owned(), RegisteredEndpoint { id, removed_at, last_listed: None });
        id
    }

    /// The FNV-1a hash of the name, or the next higher id that is not in use.
    fn unused_id(&self, name: &str) -> EndpointId {
        let hash = name
            .bytes()
            .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME));
        let mut id = EndpointId(hash);
        let mut used_ids = self.used_ids.borrow_mut();
        while !used_ids.insert(id) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        id
    }

    /// Marks all endpoints except the listed ones as removed.
    pub(super) fn remove_all_but(&self, listed: &BTreeSet<EndpointId>) {
        for endpoint in self.by_name.borrow_mut().values_mut() {
            if !listed.contains(&endpoint.id) {
                endpoint.removed_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Forgets endpoints that were removed more than [`REMOVED_NAME_RETENTION`] ago. Replacements have new
    /// names, so without this the table would grow without bound.
    pub(super) fn forget_removed(&self) {
        let mut used_ids = self.used_ids.borrow_mut();
        self.by_name.borrow_mut().retain(|_, endpoint| {
            let is_retained = endpoint.removed_at.is_none_or(|at| at.elapsed() < REMOVED_NAME_RETENTION);
            // A forgotten endpoint also releases its id; the removal returns true, because the id is in use.
            is_retained || !used_ids.remove(&endpoint.id)
        });
    }

    /// Imports learned state: at once if there is a list, otherwise with the first list.
    pub fn import_learned_state(
        &self,
        saved: SavedPool,
        clock: Clock,
        names: &NameTable,
        driver: &DriverHandle,
    ) {
        *self.pending_state.borrow_mut() = Some(saved);
        self.import_pending_state(clock, names, driver);
    }

    /// Imports the pending learned state if there is a list.
    pub(super) fn import_pending_state(&self, clock: Clock, names: &NameTable, driver: &DriverHandle) {
        let by_name = self.by_name.borrow();
        if by_name.is_empty() {
            return;
        }
        let Some(saved) = self.pending_state.take() else { return };
        let now = clock.now();
        let uptime = |started_ms: u64| {
            clock.at_unix_ms(started_ms as f64).map(|started_at| now.saturating_sub(started_at))
        };
        let endpoint_names = endpoint_names(&by_name, names);
        let learned = names::to_learned_state(&saved.record, saved.age(), &endpoint_names, uptime);
        driver.import_learned_state(vec![learned]);
    }

    /// Converts the learned state of a balancer to a record by names.
    pub fn export_learned_state(
        &self,
        pool: &str,
        learned: &LearnedState,
        clock: Clock,
        names: &NameTable,
    ) -> learned_state::PoolRecord {
        let by_name = self.by_name.borrow();
        let now = clock.now();
        let started_ms = |uptime| clock.unix_ms(now.saturating_sub(uptime));
        names::to_pool_record(pool, learned, &endpoint_names(&by_name, names), started_ms)
    }
}

fn endpoint_names<'a>(
    by_name: &'a BTreeMap<String, RegisteredEndpoint>,
    names: &'a NameTable,
) -> LearnedNames<'a> {
    let ids = by_name.iter().map(|(name, endpoint)| (name.as_str(), endpoint.id));
    LearnedNames { name_table: names, endpoint_ids: ids.collect() }
}
