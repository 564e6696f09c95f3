//! The mode of own installations: listeners, routes and pools as a configuration file says, changed without loss.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bgp::Facts;
use config::{Bgp, Config, Listener};
use hyper::http::request::Parts;
use hyper::StatusCode;
use jsonrpc::Call;
use membership::Refused;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::idempotency_keys::KeyTable;
use crate::learned_state::{SavedState, StateWriter};
use crate::log::say;
use crate::maintenance::MaintenanceStore;
use crate::operators::{self, only, Operated};
use crate::pool::OperatorContext;
use crate::process::{self, BoundListeners, Signals};
use crate::route_lookup::{resolve, RequestIdGenerator, ResolvedRoute};
use crate::router::{single_header_value, Connection, Rejection, RouteDecision, Router, TENANT_HEADER};
use crate::rpc_mapping;
use crate::snapshot::Snapshot;

/// Whoever announces the addresses at which this serves.
pub trait Announces {
    /// Told again and again; that it is shows that the data plane moves on.
    fn tell(&self, facts: Facts);

    /// Another configuration serves.
    fn reload(&self, bgp: &Bgp);

    /// The process is about to end: done once nobody is sent here any more, while this serves on.
    fn end(&self) -> Pin<Box<dyn Future<Output = ()>>>;

    /// That end is wanted at once.
    fn hurry(&self);
}

/// How often it is told, and how often of all nodes though no list has come: by then some may have become warm.
const BEAT: Duration = Duration::from_millis(100);
const BEATS_PER_LOOK: u32 = 10;

/// Reads the configuration again: one that may serve, or why not, in a line.
pub type Reload = Box<dyn Fn() -> Result<Config, String>>;

/// Serves a configuration until SIGTERM or SIGINT, and then until all that was taken has its answer. On SIGHUP
/// `reload` is asked for another. `started` is told the addresses in use.
///
/// # Errors
/// Why it could not start, in a line.
pub fn run(
    config: Config,
    seed: u64,
    reload: Reload,
    announces: Option<Rc<dyn Announces>>,
    started: impl FnOnce(&[SocketAddr]),
) -> Result<(), String> {
    process::block_on(serve(config, seed, reload, announces, started))
}

async fn serve(
    config: Config,
    seed: u64,
    reload: Reload,
    announces: Option<Rc<dyn Announces>>,
    started: impl FnOnce(&[SocketAddr]),
) -> Result<(), String> {
    let (mut signals, mut hangup) = Signals::new()?;
    let doors = BoundListeners::bind(&config.listeners).await?;
    let addresses = doors.addresses();
    let clock = Clock::new();
    let (callers, nodes) = config.socket_budget();
    let keys = KeyTable::new(config.idempotency_keys, clock);
    let (mgmt, office) = OperatorContext::open(config.operators.as_ref()).await?.unzip();
    let first = Snapshot::start(Arc::new(config), nodes, None, clock, seed, office.as_ref());
    let current = Rc::new(RefCell::new(Rc::new(first)));
    let told_to_end = Rc::<Cell<bool>>::default();
    if let (Some(mgmt), Some(office)) = (mgmt, office.clone()) {
        let (current, ending) = (Rc::clone(&current), Rc::clone(&told_to_end));
        spawn_local(operators::serve(mgmt, Rc::new(Operations { office, current, ending })));
    }
    let memory = current.borrow().config.learned_state.as_ref().map(|knowledge| {
        if let Some(past) = SavedState::read(&knowledge.folder) {
            current.borrow().import_learned_state(&past);
        }
        Rc::new(StateWriter::start(knowledge))
    });
    let keeping = memory.clone().map(|memory| {
        let current = Rc::clone(&current);
        spawn_local(async move { memory.keep(async || learned(&current).await).await })
    });
    let ending = Rc::clone(&current);
    let open = doors.open(callers, |listener, place| {
        let (current, keys) = (Rc::clone(&current), keys.clone());
        Rc::new(Own { current, listener, new_ids: RequestIdGenerator::new(seed, place), keys })
    });
    let table = keys.clone();
    let beating = announces.clone().map(|announces| {
        let current = Rc::clone(&current);
        spawn_local(async move { beat(&current, &*announces).await })
    });
    let told = announces.clone();
    let reloading = spawn_local(async move {
        while hangup.recv().await.is_some() {
            swap(&current, &reload, clock, seed, office.as_ref());
            table.set_limits(current.borrow().config.idempotency_keys);
            if let (Some(announces), Some(bgp)) = (&told, &current.borrow().config.bgp) {
                announces.reload(bgp);
            }
        }
    });
    started(&addresses);
    signals.end().await;
    told_to_end.set(true);
    reloading.abort();
    if let (Some(announces), Some(beating)) = (announces, beating) {
        let mut ended = announces.end();
        tokio::select! {
            () = &mut ended => {}
            () = signals.end() => {
                announces.hurry();
                ended.await;
            }
        }
        beating.abort();
    }
    open.close().await;
    if let (Some(memory), Some(keeping)) = (memory, keeping) {
        keeping.abort();
        memory.end(learned(&ending).await).await;
    }
    Ok(())
}

/// Tells whoever announces the addresses of what serves there.
async fn beat(current: &RefCell<Rc<Snapshot>>, announces: &dyn Announces) {
    let mut lists = None;
    for beat in 0u32.. {
        let snapshot = Rc::clone(&current.borrow());
        let now = Some(snapshot.list_version());
        let changed = lists != now || beat % BEATS_PER_LOOK == 0;
        lists = now;
        announces.tell(Facts { accepting: true, pools: changed.then(|| snapshot.announced_endpoints()) });
        drop(snapshot);
        sleep(BEAT).await;
    }
}

async fn learned(current: &RefCell<Rc<Snapshot>>) -> learned_state::Snapshot {
    let snapshot = Rc::clone(&current.borrow());
    snapshot.learned_state().await
}

/// Puts another configuration in place of the current one, or says in a line why that one stays.
fn swap(
    current: &RefCell<Rc<Snapshot>>,
    reload: &Reload,
    clock: Clock,
    seed: u64,
    office: Option<&OperatorContext>,
) {
    let before = Rc::clone(&current.borrow());
    let config = reload().and_then(|config| match takes_restart(&before.config, &config) {
        Some(key) => Err(format!("another `{key}` takes a restart")),
        None => Ok(config),
    });
    match config {
        Ok(config) => {
            let (_, nodes) = config.socket_budget();
            let after = Snapshot::start(Arc::new(config), nodes, Some(&before), clock, seed, office);
            let (number, routes) = (after.number, after.config.table.routes().len());
            let pools = after.config.pools.len();
            *current.borrow_mut() = Rc::new(after);
            say(format_args!("configuration {number}: {routes} routes, {pools} pools"));
        }
        Err(fault) => say(format_args!("configuration {} stays: {fault}", before.number)),
    }
}

/// What a running process cannot change.
fn takes_restart(before: &Config, after: &Config) -> Option<&'static str> {
    if before.listeners != after.listeners {
        Some("server.listen")
    } else if before.sockets != after.sockets {
        Some("server.sockets")
    } else if before.learned_state != after.learned_state {
        Some("knowledge")
    } else if before.operators != after.operators {
        Some("operators")
    } else if before.bgp.is_some() != after.bgp.is_some() {
        Some("bgp")
    } else if listens(&before.bgp) != listens(&after.bgp) {
        Some("bgp.listen")
    } else {
        None
    }
}

/// The sockets of whoever announces.
fn listens(bgp: &Option<Bgp>) -> Option<[Option<SocketAddr>; 2]> {
    bgp.as_ref().map(|bgp| [bgp.listen, bgp.api])
}

/// What operators call.
struct Operations {
    office: OperatorContext,
    current: Rc<RefCell<Rc<Snapshot>>>,
    ending: Rc<Cell<bool>>,
}

impl Operated for Operations {
    fn is_serving(&self) -> bool {
        self.current.borrow().is_ready() && !self.ending.get()
    }

    fn figures(&self) -> Pin<Box<dyn Future<Output = String> + '_>> {
        let snapshot = Rc::clone(&self.current.borrow());
        Box::pin(async move { self.office.metrics.text(&snapshot.gauges().await) })
    }

    fn meant(&self, id: &str) -> Result<(&MaintenanceStore, String), Refused> {
        Ok((&self.office.maintenance, only(id, self.current.borrow().operator_names(id))?))
    }
}

/// Routes the requests of one listener.
struct Own {
    current: Rc<RefCell<Rc<Snapshot>>>,
    listener: Listener,
    new_ids: RequestIdGenerator,
    keys: KeyTable,
}

impl Router for Own {
    fn route(&self, head: &mut Parts, id: &str, _: u64, _: &Connection) -> Result<RouteDecision, Rejection> {
        let snapshot = Rc::clone(&self.current.borrow());
        let known = &snapshot.config.tenants;
        if single_header_value(&head.headers, TENANT_HEADER)?
            .is_some_and(|t| !known.is_empty() && !known.iter().any(|k| k == t))
        {
            return Err(StatusCode::BAD_REQUEST.into());
        }
        let (routed, known) = resolve(snapshot, &self.listener, head, id, &self.keys)?;
        let ResolvedRoute { class, semantics, deadline, method, key_scope: once } = known;
        Ok(RouteDecision {
            open_request_ids: None,
            class,
            semantics,
            deadline,
            tenant: None,
            method,
            key_scope: once,
            counters: routed.counts(),
            pools: Box::new(routed),
        })
    }

    fn route_call(&self, call: &Call<'_>) -> Result<(Parts, Option<usize>), Rejection> {
        let snapshot = self.current.borrow();
        Ok(rpc_mapping::call_to_http_head(&snapshot.config.methods, &self.listener.host, call)?)
    }

    fn generate_request_id(&self) -> Option<String> {
        Some(self.new_ids.next())
    }

    fn is_ready(&self) -> bool {
        self.current.borrow().is_ready()
    }

    fn max_body_bytes(&self) -> u64 {
        self.current.borrow().config.limits.body_bytes
    }

    fn retry_after_in_seconds(&self) -> bool {
        true
    }
}
