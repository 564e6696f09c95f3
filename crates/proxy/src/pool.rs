//! A pool of an own installation: its decisions, its connections, its list of nodes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use config::{
    Config, EndpointList, ListedEndpoint, ListedState, Node, NodeState, Operators, Protocol, Source,
};
use decide::platform_settings::{NameTable, Transport};
use decide::{EndpointFilter, EndpointState, Micros, UpdateScope};
use membership::Policy;
use route::{Count, Within};
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, Instant};

use crate::clock::Clock;
use crate::driver::Driver;
use crate::inbox::DriverHandle;
use crate::learned_state::SavedPool;
use crate::log::say;
use crate::maintenance::{MaintenanceOverrides, MaintenanceStore};
use crate::membership::{
    Discovery, EndpointRegistry, FileWatch, RegisteredEndpoints, RegistryObserver, RegistryView,
};
use crate::metrics::{Labels, Metrics, PoolGauges};
use crate::operators;
use crate::upstream::{RpcSettings, UpstreamPool};

/// A source that says nothing for this long is told of, and again each time that doubles.
const SILENT: Duration = Duration::from_secs(10);

/// Where operators call, and what they read.
#[derive(Clone)]
pub struct OperatorContext {
    pub metrics: Rc<Metrics>,
    pub maintenance: Rc<MaintenanceStore>,
    /// Whose pools these are, in a hosted service.
    pub tenant: Option<String>,
}

impl OperatorContext {
    /// Opens the address that a configuration names, if it does, with what is out by hand from before.
    ///
    /// # Errors
    /// It is not to be had, in a line.
    pub async fn open(
        operators: Option<&Operators>,
    ) -> Result<Option<(TcpListener, OperatorContext)>, String> {
        let Some(Operators { listen, folder }) = operators else { return Ok(None) };
        let listener = operators::bind(*listen).await?;
        if let Some(folder) = folder {
            std::fs::create_dir_all(folder).map_err(|e| format!("[operators] {}: {e}", folder.display()))?;
        }
        let desk = Rc::new(MaintenanceStore::new(folder.clone()));
        let followed = Rc::clone(&desk);
        spawn_local(async move { followed.follow().await });
        Ok(Some((
            listener,
            OperatorContext { metrics: Rc::new(Metrics::new(true)), maintenance: desk, tenant: None },
        )))
    }

    /// Where the figures of a pool stand.
    pub fn place(&self, pool: &str) -> Labels {
        let tenant = self.tenant.iter().map(|tenant| ("tenant", tenant.clone()));
        [("pool", pool.to_owned())].into_iter().chain(tenant).collect()
    }

    /// What operators say of a pool's nodes, which they call `POOL/NAME` or `TENANT/POOL/NAME`.
    fn bans(&self, pool: &str) -> MaintenanceOverrides {
        let named = self.tenant.as_ref().map_or_else(|| pool.to_owned(), |tenant| format!("{tenant}/{pool}"));
        MaintenanceOverrides { store: Rc::clone(&self.maintenance), pool: Some(named) }
    }
}

/// A pool. Dropping it ends all that runs for it: nothing of it may be open then.
pub struct Pool {
    pub name: String,
    pub handle: DriverHandle,
    pub backends: Rc<UpstreamPool>,
    clock: Clock,
    names: Rc<RefCell<NameTable>>,
    known: Rc<RegisteredEndpoints>,
    ready: Rc<Cell<bool>>,
    /// When its source last spoke.
    heard: Rc<Cell<Instant>>,
    /// Where the configuration lists its nodes.
    listed: Option<RefCell<EndpointRegistry>>,
    /// Told of what operators say, for as long as the pool is there.
    retold: Option<(Rc<RegistryView>, Labels)>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Pool {
    /// Starts the pool at this place of a configuration, with so many sockets.
    pub fn start(
        config: &Config,
        place: usize,
        sockets: usize,
        clock: Clock,
        seed: u64,
        office: Option<&OperatorContext>,
    ) -> Pool {
        let pool = &config.pools[place];
        let settings = config.settings(pool);
        let limits = &config.limits;
        let transport = Transport {
            keepalive: limits.keep_alive,
            connect_timeout: limits.connect_timeout,
            drain_grace: limits.drain_grace,
        };
        let classes = config.classes.iter().map(|c| c.name.clone()).collect();
        let names = NameTable::new(classes, config.zones.clone(), config.kinds.clone());
        let names = Rc::new(RefCell::new(names));
        let backends = UpstreamPool::new(transport, sockets);
        let backends = match office {
            Some(office) => backends.with_attempt_counter(office.metrics.attempts(&office.place(&pool.name))),
            None => backends,
        };
        let backends = Rc::new(match pool.protocol {
            Protocol::Http => backends,
            Protocol::JsonRpc { framing, calls } => backends.with_rpc(RpcSettings {
                framing,
                max_concurrent_calls: calls,
                cancel_method: pool.cancel.clone(),
            }),
        });
        let subscribe = Rc::new(Notify::new());
        let driver = Driver::new(settings, seed, clock, Rc::clone(&backends), None, Rc::clone(&subscribe));
        let handle = driver.handle();
        let ready = Rc::new(Cell::new(false));
        let mut roster = EndpointRegistry::new(
            clock,
            Rc::clone(&names),
            handle.clone(),
            Rc::clone(&backends),
            Rc::clone(&ready),
        );
        let retold = office.map(|office| {
            let bans = office.bans(&pool.name);
            roster.overrides = Some(bans.clone());
            let (known, handle) = (Rc::clone(&roster.known), handle.clone());
            let retold =
                Rc::new(RegistryView { known, handle, backends: Rc::clone(&backends), overrides: bans });
            office.maintenance.tell(Rc::downgrade(&(Rc::clone(&retold) as Rc<dyn RegistryObserver>)));
            (retold, office.place(&pool.name))
        });
        let sweeper = Rc::clone(&backends);
        let mut tasks =
            vec![spawn_local(driver.run()), spawn_local(async move { sweeper.evict_idle().await })];
        let mut listed = None;
        let heard = Rc::clone(&roster.heard);
        let known = Rc::clone(&roster.known);
        match &pool.source {
            Source::List(nodes) => {
                let mut roster = roster;
                roster.apply(list(nodes), UpdateScope::Full);
                listed = Some(RefCell::new(roster));
            }
            Source::File(path) => {
                let watch = FileWatch::new(pool.name.clone(), path.clone(), roster);
                tasks.push(spawn_local(watch.run()));
            }
            Source::Discovery(address) => {
                // Another address is another source, and so another pool.
                let (moves, address) = watch::channel(*address);
                // Nothing says in which time drains must be kept, so the list is relied on while discovery is away.
                let policy = Policy { answers_each: true, lease: None };
                let subscribe = Some(subscribe);
                let discovery =
                    Discovery { address, registry: roster, subscribe, policy, seed, complained: false };
                tasks.push(spawn_local(async move {
                    let _moves = moves;
                    discovery.run(None).await;
                }));
            }
        }
        if listed.is_none() {
            tasks.push(spawn_local(watch_age(pool.name.clone(), Rc::clone(&heard))));
        }
        let tasks = tasks.into_iter().map(|t| t.abort_handle()).collect();
        let name = pool.name.clone();
        Pool { name, handle, backends, clock, names, known, ready, heard, listed, retold, tasks }
    }

    /// Goes on under another configuration that keeps it.
    pub fn reconfigure(&self, config: &Config, place: usize, sockets: usize) {
        self.backends.set_max_connections(sockets);
        if let (Some(roster), Source::List(nodes)) = (&self.listed, &config.pools[place].source) {
            roster.borrow_mut().apply(list(nodes), UpdateScope::Full);
        }
    }

    /// What others have learned of it, or a process before.
    pub fn import_learned_state(&self, told: SavedPool) {
        self.known.teach(told, self.clock, &self.names.borrow(), &self.handle);
    }

    /// What it has learned.
    pub async fn learned_state(&self) -> Option<learned_state::Pool> {
        let learned = self.handle.learned_state().await?;
        Some(self.known.named_state(&self.name, &learned, self.clock, &self.names.borrow()))
    }

    /// What operators call a node of this name, if it lists one.
    pub fn operator_name(&self, name: &str) -> Option<String> {
        self.retold.as_ref().filter(|_| self.known.has(name)).map(|(retold, _)| retold.overrides.called(name))
    }

    /// What it is now, as operators read it.
    pub async fn gauges(&self) -> Option<PoolGauges> {
        let (retold, place) = self.retold.as_ref()?;
        Some(retold.now(place.clone()).await)
    }

    /// How many lists of nodes it has had.
    pub fn list_count(&self) -> u64 {
        self.known.lists()
    }

    /// Its nodes, for whoever announces what they serve.
    pub fn announced_endpoints(&self, cold_time: Micros) -> bgp::Listed {
        let now = self.clock.now();
        let mut nodes = Vec::new();
        self.backends.for_each_endpoint(|entry, address| {
            if entry.state != EndpointState::Removed {
                nodes.push(bgp::ListedNode {
                    address,
                    weight: entry.weight,
                    ready: entry.state == EndpointState::Ready,
                    warm: entry.up_since.is_none_or(|up| now - up >= cold_time),
                });
            }
        });
        let silent = self.listed.is_none().then(|| self.heard.get().elapsed());
        bgp::Listed { told: self.ready.get(), silent, nodes }
    }

    /// No configuration has it any more; what it holds open ends by itself.
    pub fn retire(&self) {
        self.backends.retire();
    }

    /// Has it had a list of nodes?
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// What a route leaves of it, in the terms of its decisions.
    pub fn endpoint_filter(&self, within: &Within) -> EndpointFilter {
        let mut names = self.names.borrow_mut();
        EndpointFilter {
            zones: within.zones.iter().map(|z| names.zone(z)).collect(),
            machine_kinds: within.kinds.iter().map(|k| names.kind(k)).collect(),
            cells: within.cells.clone(),
        }
    }

    /// The nodes that a route may use.
    pub fn count(&self, allowed: Option<&EndpointFilter>) -> Count {
        let mut count = Count::default();
        self.backends.for_each_endpoint(|entry, _| {
            if allowed.is_none_or(|allowed| allowed.matches(entry)) {
                match entry.state {
                    EndpointState::Ready => count.ready += 1,
                    EndpointState::Draining => count.draining += 1,
                    EndpointState::Removed => {}
                }
            }
        });
        count
    }
}

/// Nodes of the configuration in discovery's form.
fn list(nodes: &[Node]) -> EndpointList {
    let host = |node: &Node| ListedEndpoint {
        name: node.name.clone(),
        address: node.address,
        zone: node.zone.clone(),
        machine_kind: node.kind.clone(),
        cell: node.cell,
        state: match node.state {
            NodeState::Ready => ListedState::Serving,
            NodeState::Draining => ListedState::Draining,
            NodeState::Gone => ListedState::Deleted,
        },
        weight: node.weight,
        started_unix_ms: node.started_unix_ms,
    };
    EndpointList { version: 0, is_full: true, endpoints: nodes.iter().map(host).collect() }
}

/// Tells of a source that has gone silent, for as long as it is polled. Its last list stays.
async fn watch_age(pool: String, heard: Rc<Cell<Instant>>) {
    let mut next = SILENT;
    loop {
        sleep(SILENT / 10).await;
        let age = heard.get().elapsed();
        if age < SILENT {
            next = SILENT;
        } else if age >= next {
            let seconds = age.as_secs();
            say(format_args!("pool `{pool}`: going on with a list of nodes that is {seconds} s old"));
            next *= 2;
        }
    }
}
