//! The platform's mode: one pool, told by the JSON file that `LB_CONFIG` names.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;

use config::{parse_endpoint_list, split_sockets, ParsedEndpointList};
use decide::platform_settings::{self, PlatformSettings};
use decide::Micros;
use membership::{LeaseTerms, Policy, Refused};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::downstream::{self, Frontend};
use crate::driver::Driver;
use crate::gossip::GossipSocket;
use crate::log::say;
use crate::maintenance::{MaintenanceOverrides, MaintenanceStore};
use crate::membership::{Discovery, EndpointRegistry, RegistryObserver, RegistryView};
use crate::metrics::{Labels, Metrics};
use crate::operators::Operated;
use crate::platform_router::PlatformRouter;
use crate::process::{self, Signals};
use crate::request_ids::OpenRequestIds;
use crate::upstream::{UpstreamPool, DRAIN_MARGIN};
use crate::{handover, inherited_socket, operators};

/// Taken for the time in which discovery must be asked where the settings say less, or nothing.
const MUST_ASK_IN: Micros = 10_000_000;

pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they do.
    pub mgmt: Option<SocketAddr>,
    pub seed: u64,
    /// Sockets for callers.
    pub callers: usize,
    /// Sockets for backends.
    pub backends: usize,
    pub initial_list: Option<ParsedEndpointList>,
    /// Where peers' messages arrive, and the peers' addresses by rank; only where the settings allow them.
    pub gossip: Option<(SocketAddr, Vec<SocketAddr>)>,
    pub site: PlatformSettings,
}

#[derive(Deserialize)]
struct File<'a> {
    listen: SocketAddr,
    discovery: SocketAddr,
    mgmt: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

/// What operators call.
struct Operations {
    figures: Rc<Metrics>,
    /// Told of what operators say for as long as it is here.
    retold: Rc<RegistryView>,
    ready: Rc<Cell<bool>>,
    ending: Rc<Cell<bool>>,
}

impl Operated for Operations {
    fn is_serving(&self) -> bool {
        self.ready.get() && !self.ending.get()
    }

    fn figures(&self) -> Pin<Box<dyn Future<Output = String> + '_>> {
        Box::pin(async { self.figures.text(&[self.retold.now(Labels::new()).await]) })
    }

    fn meant(&self, id: &str) -> Result<(&MaintenanceStore, String), Refused> {
        Ok((&self.retold.overrides.store, id.to_owned()))
    }
}

impl Config {
    pub fn from_env() -> Result<Config, String> {
        let path = std::env::var_os("LB_CONFIG").ok_or("LB_CONFIG does not name a configuration file")?;
        let shown = path.to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {shown}: {e}"))?;
        Config::parse(&text).map_err(|e| format!("{shown}: {e}"))
    }

    fn parse(text: &str) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|e| format!("bad configuration: {e}"))?;
        let own = if file.mgmt.is_some() { operators::SOCKETS } else { 0 };
        let (callers, backends) = split_sockets(file.limits.sockets.saturating_sub(own))
            .ok_or_else(|| format!("limits.sockets: too few to serve with: {}", file.limits.sockets))?;
        let site = platform_settings::parse(file.settings.get())?;
        // Who sent a message is told by its address.
        let mut addresses = BTreeSet::new();
        if let Some(twice) =
            file.peers.iter().find(|peer| !addresses.insert(**peer)).filter(|_| site.settings.gossip_allowed)
        {
            return Err(format!("peers: {twice} stands in it twice"));
        }
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            mgmt: file.mgmt,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("seed: not a 64-bit number in hex digits: {:?}", file.seed))?,
            callers,
            backends,
            initial_list: file
                .known
                .map(|known| parse_endpoint_list(known.get().as_bytes()))
                .transpose()
                .map_err(|e| format!("known: {e}"))?,
            gossip: file
                .peer_listen
                .filter(|_| site.settings.gossip_allowed)
                .map(|listen| (listen, file.peers)),
            site,
        })
    }
}

/// Runs the proxy that `LB_CONFIG` tells of.
///
/// # Errors
/// Why it could not start, in a line.
pub fn run() -> Result<(), String> {
    let config = Config::from_env()?;
    let passed = inherited_socket::listener()?;
    // A proxy has one core: more threads would only pass work between caches.
    process::block_on(serve(config, passed))
}

/// On each SIGHUP reads the configuration again and tells of the address of discovery, all that a running
/// proxy takes from it: the rest stands with sockets and figures in use, and is for the next start.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match Config::from_env() {
            Ok(config) => {
                say(format_args!("configuration read again: discovery is at {}", config.discovery));
                discovery.send_if_modified(|address| {
                    let before = std::mem::replace(address, config.discovery);
                    before != config.discovery
                });
            }
            Err(fault) => say(format_args!("going on with the old configuration: {fault}")),
        }
    }
}

/// How discovery is watched, and what bounds the use of a list: by the settings, drains are kept within a time. Four
/// times that in which discovery must be asked is what they allow to a list after a failed call. An outage is believed
/// in for four fifths of it: the longest that the operators name is eight seconds.
fn watch_policy(site: &PlatformSettings) -> Policy {
    let terms = LeaseTerms {
        drain_grace: site.transport.drain_grace,
        margin: DRAIN_MARGIN.as_micros() as Micros,
        longest_stop: site.settings.max_poll_interval.max(MUST_ASK_IN) * 4,
        believed_outage: site.settings.max_poll_interval.max(MUST_ASK_IN) * 4 / 5,
    };
    Policy { answers_each: site.settings.poll_discovery, lease: Some(terms) }
}

/// Runs until SIGTERM or SIGINT, and then until all that was taken has its answer.
async fn serve(config: Config, passed: Option<std::net::TcpListener>) -> Result<(), String> {
    let (mut signals, hangup) = Signals::new()?;
    let shared = passed.is_some();
    let fault = |at: SocketAddr| move |e| format!("cannot listen on {at}: {e}");
    let listener = match passed {
        Some(socket) => TcpListener::from_std(socket),
        None => TcpListener::bind(config.listen).await,
    };
    let listener = listener.map_err(fault(config.listen))?;
    let mgmt = match config.mgmt {
        Some(at) => Some(operators::bind(at).await?),
        None => None,
    };
    let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
    let site = config.site;
    let clock = Clock::new();
    let policy = watch_policy(&site);
    let figures = Rc::new(Metrics::new(false));
    let backends = Rc::new(
        UpstreamPool::new(site.transport, config.backends)
            .with_attempt_counter(figures.attempts(&Labels::new())),
    );
    let subscribe = Rc::new(Notify::new());
    let ready = Rc::new(Cell::new(false));
    let peers = match config.gossip {
        Some((listen, addresses)) => Some(Rc::new(GossipSocket::bind(listen, addresses).await?)),
        None => None,
    };
    let driver = Driver::new(
        site.settings.clone(),
        config.seed,
        clock,
        Rc::clone(&backends),
        peers.clone(),
        Rc::clone(&subscribe),
    );
    let handle = driver.handle();
    if let Some(peers) = peers {
        let handle = handle.clone();
        spawn_local(async move { peers.receive(handle).await });
    }
    let (moved, address_of_discovery) = watch::channel(config.discovery);
    let names = Rc::new(RefCell::new(site.names.clone()));
    let mut roster =
        EndpointRegistry::new(clock, names, handle.clone(), Rc::clone(&backends), Rc::clone(&ready));
    let ending = Rc::new(Cell::new(false));
    // Only one who shares its socket has a successor.
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    if let Some(folder) = folder.clone().filter(|_| shared) {
        let (known, handle, ending) = (Rc::clone(&roster.known), handle.clone(), Rc::clone(&ending));
        let names = Rc::clone(&roster.names);
        handover::take_up(&folder, &known, clock, &names.borrow(), &handle);
        spawn_local(async move {
            handover::leave(&folder, &known, clock, &names, handle, &ending).await;
        });
    }
    if let Some(mgmt) = mgmt {
        let desk = Rc::new(MaintenanceStore::new(folder));
        let bans = MaintenanceOverrides { store: Rc::clone(&desk), pool: None };
        roster.overrides = Some(bans.clone());
        let (known, handle, backends) = (Rc::clone(&roster.known), handle.clone(), Rc::clone(&backends));
        let retold = Rc::new(RegistryView { known, handle, backends, overrides: bans });
        desk.tell(Rc::downgrade(&(Rc::clone(&retold) as Rc<dyn RegistryObserver>)));
        let operations = Operations {
            figures: Rc::clone(&figures),
            retold,
            ready: Rc::clone(&ready),
            ending: Rc::clone(&ending),
        };
        spawn_local(async move { desk.follow().await });
        spawn_local(operators::serve(mgmt, Rc::new(operations)));
    }
    let discovery = Discovery {
        address: address_of_discovery,
        registry: roster,
        subscribe: site.settings.poll_discovery.then_some(subscribe),
        policy,
        seed: config.seed,
        complained: false,
    };
    spawn_local(driver.run());
    spawn_local(discovery.run(config.initial_list));
    spawn_local(async move { backends.evict_idle().await });
    spawn_local(reload(hangup, moved));
    say(format_args!("listening on {address}"));
    let counts =
        site.names.classes.iter().map(|class| figures.request_counters(class, &Labels::new())).collect();
    let router = PlatformRouter {
        driver: handle,
        names: site.names,
        settings: site.settings,
        ready,
        class_counters: counts,
    };
    let gate = Frontend {
        router: Rc::new(router),
        ids: OpenRequestIds::default(),
        protocol: config::Protocol::Http,
        is_socket_shared: shared,
    };
    let stop = async move {
        signals.end().await;
        ending.set(true);
    };
    downstream::run(gate, listener, config.callers, stop).await;
    Ok(())
}
