//! Many tenants in one process: whose a request is, what its tenant may use, and a change of all that at once.
//!
//! A tenant's pools start with its first request and stop when it has been silent for long, so that a thousand tenants
//! of which most are idle cost next to nothing. Those whose nodes are told by discovery start at once, since their
//! first request would find no list.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use config::{Listener, Setup, Shared, Source, Tenant, Tenants};
use decide::{EndpointFilter, Micros};
use hyper::http::request::Parts;
use hyper::{header, StatusCode};
use jsonrpc::Call;
use limit::{Admitted, Cause, Limiter, TenantId, Usage};
use membership::Refused;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::clock::Clock;
use crate::exchange::AttemptCounter;
use crate::idempotency_keys::KeyTable;
use crate::inbox::DriverHandle;
use crate::log::say;
use crate::maintenance::MaintenanceStore;
use crate::operators::{self, only, Operated};
use crate::pool::OperatorContext;
use crate::process::{self, BoundListeners, Signals};
use crate::request_ids::OpenRequestIds;
use crate::route_lookup::{resolve, RequestIdGenerator, ResolvedRoute};
use crate::router::{
    single_header_value, Connection, PoolSequence, Rejection, RejectionOutcome, RouteDecision, Router,
    TENANT_HEADER,
};
use crate::rpc_mapping;
use crate::snapshot::{PoolSelection, Snapshot};

/// The pools of a tenant that has asked for nothing for so long are stopped.
const SILENT: Duration = Duration::from_secs(300);
/// How often that is looked at, for all tenants together.
const LOOK: Duration = Duration::from_secs(10);

/// What the data plane is told and asked by others; it answers each.
pub enum Command {
    /// Serve this from now on. Answered once it does.
    Apply { number: u64, tenants: Arc<Tenants>, done: oneshot::Sender<()> },
    /// Say what each tenant uses.
    Status { answer: oneshot::Sender<BTreeMap<String, Status>> },
}

/// What a tenant uses.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The version under which its requests are taken.
    pub version: u64,
    /// Its pools run.
    pub started: bool,
    pub usage: Usage,
}

/// Serves tenants until SIGTERM or SIGINT, and then until all that was taken has its answer.
///
/// # Errors
/// Why it could not start, in a line.
pub fn run(
    setup: &Setup,
    first: (u64, Arc<Tenants>),
    seed: u64,
    commands: mpsc::UnboundedReceiver<Command>,
    started: impl FnOnce(&[SocketAddr]),
) -> Result<(), String> {
    process::block_on(serve(setup, first, seed, commands, started))
}

async fn serve(
    setup: &Setup,
    (number, tenants): (u64, Arc<Tenants>),
    seed: u64,
    mut commands: mpsc::UnboundedReceiver<Command>,
    started: impl FnOnce(&[SocketAddr]),
) -> Result<(), String> {
    let (mut signals, mut hangup) = Signals::new()?;
    let doors = BoundListeners::bind(&setup.listeners).await?;
    let addresses = doors.addresses();
    let (callers, _) = config::split_sockets(setup.shared.sockets).unwrap_or((1, 1));
    let (mgmt, office) = OperatorContext::open(setup.operators.as_ref()).await?.unzip();
    let house = Rc::new(House::new(setup.shared.clone(), seed, office));
    house.apply(number, &tenants);
    if let Some(mgmt) = mgmt {
        spawn_local(operators::serve(mgmt, Rc::clone(&house) as Rc<dyn Operated>));
    }
    let ending = Rc::clone(&house);
    let open = doors.open(callers, |listener, place| {
        Rc::new(Door { house: Rc::clone(&house), listener, new_ids: RequestIdGenerator::new(seed, place) })
    });
    let keeper = Rc::clone(&house);
    let sweeping = spawn_local(async move {
        loop {
            sleep(LOOK).await;
            keeper.stop_silent();
        }
    });
    let obeying = spawn_local(async move {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::Apply { number, tenants, done }) => {
                        house.apply(number, &tenants);
                        let _ = done.send(());
                    }
                    Some(Command::Status { answer }) => drop(answer.send(house.status())),
                    None => break,
                },
                _ = hangup.recv() => say(format_args!("a hosted service is changed by its administration API")),
            }
        }
        std::future::pending::<()>().await;
    });
    started(&addresses);
    signals.end().await;
    ending.ending.set(true);
    open.close().await;
    obeying.abort();
    sweeping.abort();
    Ok(())
}

/// All tenants, and what they share.
struct House {
    shared: Shared,
    clock: Clock,
    seed: u64,
    limiter: Rc<RefCell<Limiter>>,
    state: RefCell<State>,
    /// Where operators call, if they do.
    office: Option<OperatorContext>,
    ending: Cell<bool>,
}

#[derive(Default)]
struct State {
    tenants: Arc<Tenants>,
    residents: BTreeMap<String, Rc<Resident>>,
}

/// A tenant that is served.
struct Resident {
    id: TenantId,
    tenant: RefCell<Arc<Tenant>>,
    version: Cell<u64>,
    sockets: Cell<usize>,
    /// While its pools run.
    snapshot: RefCell<Option<Rc<Snapshot>>>,
    asked: Cell<Instant>,
    /// The ids of its open requests: another's may be the same.
    ids: OpenRequestIds,
    /// The keys of its requests, whichever protocol they come by.
    keys: KeyTable,
}

impl House {
    fn new(shared: Shared, seed: u64, office: Option<OperatorContext>) -> House {
        let limiter = Rc::new(RefCell::new(Limiter::new(shared.capacity)));
        let (clock, state, ending) = (Clock::new(), RefCell::default(), Cell::new(false));
        House { shared, clock, seed, limiter, state, office, ending }
    }

    /// Serves other tenants, or the same ones otherwise, from the next request on. What was taken ends as it was.
    fn apply(&self, number: u64, tenants: &Arc<Tenants>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let mut limiter = self.limiter.borrow_mut();
        let State { residents, .. } = &mut *state;
        residents.retain(|name, resident| {
            let stays = tenants.all.contains_key(name);
            if !stays {
                limiter.remove(resident.id);
                resident.retire();
            }
            stays
        });
        for (name, tenant) in &tenants.all {
            let limits = tenants.limits(&self.shared, tenant);
            let sockets = tenants.sockets(&self.shared, tenant);
            let keys = tenants.keys(&self.shared, tenant);
            let resident = residents.entry(name.clone()).or_insert_with(|| {
                Rc::new(Resident {
                    id: limiter.add(now, limits),
                    tenant: RefCell::new(Arc::clone(tenant)),
                    version: Cell::new(number),
                    sockets: Cell::new(sockets),
                    snapshot: RefCell::default(),
                    asked: Cell::new(Instant::now()),
                    ids: OpenRequestIds::default(),
                    keys: KeyTable::new(keys, self.clock),
                })
            });
            resident.keys.set_limits(keys);
            limiter.set(now, resident.id, limits);
            // Another tenant's weight changes the sockets of this one, and not its version.
            let unchanged = Arc::ptr_eq(&resident.tenant.borrow(), tenant);
            if !unchanged {
                *resident.tenant.borrow_mut() = Arc::clone(tenant);
                resident.version.set(number);
            }
            let same = resident.sockets.replace(sockets) == sockets && unchanged;
            let running = resident.snapshot.borrow().is_some();
            let told = tenant.config.pools.iter().any(|p| matches!(p.source, Source::Discovery(_)));
            if (running && !same) || (told && !running) {
                self.start(name, resident);
            }
        }
        state.tenants = Arc::clone(tenants);
        say(format_args!("version {number}: {} tenants", tenants.all.len()));
    }

    /// Starts a tenant's pools, or changes them over.
    fn start(&self, name: &str, resident: &Resident) -> Rc<Snapshot> {
        let office =
            self.office.clone().map(|office| OperatorContext { tenant: Some(name.to_owned()), ..office });
        let config = Arc::clone(&resident.tenant.borrow().config);
        let before = resident.snapshot.borrow().clone();
        let snapshot = Rc::new(Snapshot::start(
            config,
            resident.sockets.get(),
            before.as_deref(),
            self.clock,
            self.seed,
            office.as_ref(),
        ));
        *resident.snapshot.borrow_mut() = Some(Rc::clone(&snapshot));
        snapshot
    }

    fn stop_silent(&self) {
        for resident in self.state.borrow().residents.values() {
            if resident.asked.get().elapsed() > SILENT {
                resident.retire();
            }
        }
    }

    /// Has every pool that runs had a list of nodes?
    fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.residents.values().all(|r| r.snapshot.borrow().as_ref().is_none_or(|s| s.is_ready()))
    }

    /// The pools that run.
    fn running(&self) -> Vec<Rc<Snapshot>> {
        self.state.borrow().residents.values().filter_map(|r| r.snapshot.borrow().clone()).collect()
    }

    fn status(&self) -> BTreeMap<String, Status> {
        let limiter = self.limiter.borrow();
        let state = self.state.borrow();
        let status = |resident: &Resident| Status {
            version: resident.version.get(),
            started: resident.snapshot.borrow().is_some(),
            usage: limiter.usage(resident.id).unwrap_or_default(),
        };
        state.residents.iter().map(|(name, resident)| (name.clone(), status(resident))).collect()
    }
}

impl Operated for House {
    fn is_serving(&self) -> bool {
        self.is_ready() && !self.ending.get()
    }

    fn figures(&self) -> Pin<Box<dyn Future<Output = String> + '_>> {
        Box::pin(async {
            let mut now = Vec::new();
            for snapshot in self.running() {
                now.extend(snapshot.gauges().await);
            }
            self.office.as_ref().map(|office| office.metrics.text(&now)).unwrap_or_default()
        })
    }

    fn meant(&self, id: &str) -> Result<(&MaintenanceStore, String), Refused> {
        let office = self.office.as_ref().ok_or(Refused::Unknown)?;
        let called = self.running().iter().flat_map(|snapshot| snapshot.operator_names(id)).collect();
        Ok((&office.maintenance, only(id, called)?))
    }
}

impl Resident {
    /// Its pools end with what they hold open.
    fn retire(&self) {
        if let Some(snapshot) = self.snapshot.borrow_mut().take() {
            snapshot.retire();
        }
    }
}

/// A listener of the house.
struct Door {
    house: Rc<House>,
    listener: Listener,
    new_ids: RequestIdGenerator,
}

/// A connection that counts as a tenant's.
struct Charge {
    limiter: Rc<RefCell<Limiter>>,
    tenant: TenantId,
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.limiter.borrow_mut().disconnect(self.tenant);
    }
}

fn refused(cause: Cause, retry_after: Micros) -> Rejection {
    Rejection { status: StatusCode::TOO_MANY_REQUESTS, cause: Some(cause.name()), retry_after }
}

impl Door {
    /// Whose a request is: the listener's tenant, or the one that has its host.
    fn owner(&self, head: &Parts) -> Result<(String, Rc<Resident>), Rejection> {
        let host = single_header_value(&head.headers, header::HOST.as_str())?.unwrap_or_default();
        let (name, resident) = self.resident(host)?;
        // A claim to be another's is refused, never believed.
        if single_header_value(&head.headers, TENANT_HEADER)?.is_some_and(|claimed| claimed != name) {
            return Err(StatusCode::FORBIDDEN.into());
        }
        Ok((name, resident))
    }

    /// The listener's tenant, or the one that has this host.
    fn resident(&self, host: &str) -> Result<(String, Rc<Resident>), Rejection> {
        let state = self.house.state.borrow();
        let host = route::normal::host(host).map_err(|_| StatusCode::BAD_REQUEST)?;
        let owner = match &self.listener.tenant {
            Some(tenant) => Some(tenant),
            None => state.tenants.hosts.owner(&host.name),
        };
        let resident = owner.and_then(|name| Some((name, state.residents.get(name)?)));
        let (name, resident) = resident.ok_or(StatusCode::NOT_FOUND)?;
        Ok((name.clone(), Rc::clone(resident)))
    }

    /// Counts the connection as the tenant's.
    fn charge(&self, resident: &Resident, connection: &Connection) -> Result<(), Rejection> {
        let mut kept = connection.borrow_mut();
        let charged = kept.as_ref().and_then(|k| k.downcast_ref::<Charge>());
        if charged.is_none_or(|charge| charge.tenant != resident.id) {
            let limiter = &self.house.limiter;
            limiter.borrow_mut().connect(resident.id).map_err(|r| refused(r.cause, r.retry_after))?;
            // Dropping the charge of the tenant before borrows the limiter anew.
            *kept = Some(Box::new(Charge { limiter: Rc::clone(limiter), tenant: resident.id }));
        }
        Ok(())
    }
}

impl Router for Door {
    fn route(
        &self,
        head: &mut Parts,
        id: &str,
        body: u64,
        connection: &Connection,
    ) -> Result<RouteDecision, Rejection> {
        let house = &self.house;
        let (name, resident) = self.owner(head)?;
        self.charge(&resident, connection)?;
        resident.asked.set(Instant::now());
        let running = resident.snapshot.borrow().clone();
        let snapshot = running.unwrap_or_else(|| house.start(&name, &resident));
        let (routed, known) = resolve(Rc::clone(&snapshot), &self.listener, head, id, &resident.keys)?;
        let worth = rank(&snapshot, known.class);
        let counts = routed.counts();
        let admitted = house.limiter.borrow_mut().admit(house.clock.now(), resident.id, worth, body);
        let admitted = admitted.map_err(|r| refused(r.cause, r.retry_after))?;
        let course = Limited {
            routed,
            limiter: Rc::clone(&house.limiter),
            clock: house.clock,
            admitted: Some(admitted),
            begun: AttemptCounter::default(),
        };
        let ResolvedRoute { class, semantics, deadline, method, key_scope: once } = known;
        let ids = Some(resident.ids.clone());
        let course = Box::new(course);
        Ok(RouteDecision {
            open_request_ids: ids,
            class,
            semantics,
            deadline,
            tenant: None,
            method,
            key_scope: once,
            counters: counts,
            pools: course,
        })
    }

    fn route_call(&self, call: &Call<'_>) -> Result<(Parts, Option<usize>), Rejection> {
        let resident = self.resident(&self.listener.host)?.1;
        let methods = &resident.tenant.borrow().config.methods;
        Ok(rpc_mapping::call_to_http_head(methods, &self.listener.host, call)?)
    }

    fn generate_request_id(&self) -> Option<String> {
        Some(self.new_ids.next())
    }

    fn is_ready(&self) -> bool {
        // Tenants whose pools do not run yet start with their first request.
        self.house.is_ready()
    }

    fn retry_after_in_seconds(&self) -> bool {
        true
    }
}

/// A class's place among its tenant's by worth, from 0 to 1.
fn rank(snapshot: &Snapshot, class: usize) -> f64 {
    let classes = &snapshot.config.classes;
    let worth = classes[class].parameters.priority_weight;
    let most = classes.iter().map(|c| c.parameters.priority_weight).fold(0.0, f64::max);
    if most > 0.0 {
        worth / most
    } else {
        1.0
    }
}

/// A request on its way, and what its tenant holds for it.
struct Limited {
    routed: PoolSelection,
    limiter: Rc<RefCell<Limiter>>,
    clock: Clock,
    admitted: Option<Admitted>,
    begun: AttemptCounter,
}

impl Drop for Limited {
    fn drop(&mut self) {
        if let Some(admitted) = self.admitted.take() {
            self.limiter.borrow_mut().done(self.clock.now(), admitted, self.begun.started());
        }
    }
}

impl Limited {
    /// The attempts that its tenant can still pay for, where they are bounded.
    fn left(&self) -> Option<usize> {
        let most = self.admitted.as_ref().map(|a| a.attempts).filter(|most| *most < usize::MAX)?;
        Some(most.saturating_sub(self.begun.started()))
    }
}

impl PoolSequence for Limited {
    fn driver(&self) -> &DriverHandle {
        self.routed.driver()
    }

    fn endpoint_filter(&self) -> Option<Arc<EndpointFilter>> {
        self.routed.endpoint_filter()
    }

    fn max_attempts(&self) -> usize {
        self.left().unwrap_or(0)
    }

    fn attempt_counter(&self) -> AttemptCounter {
        self.begun.clone()
    }

    fn on_rejected(&mut self, never_ran: bool) -> RejectionOutcome {
        // A further attempt is one in whichever pool.
        match self.routed.on_rejected(never_ran) {
            RejectionOutcome::NextPool if self.left() == Some(0) => RejectionOutcome::Final,
            next => next,
        }
    }
}
