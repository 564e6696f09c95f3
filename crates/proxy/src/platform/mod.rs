//! The platform's mode: one pool, configured by the JSON file named by `LB_CONFIG`.
//!
//! `serve` assembles the process from the parts in this module and its submodules.

mod config_file;
mod operations;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use config::{ParsedEndpointList, Protocol};
use decide::platform_settings::PlatformSettings;
use decide::Micros;
use membership::{DiscoveryMode, LeaseTerms, WatchPolicy};
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::downstream::{self, CutOffLog, Frontend};
use crate::driver::Driver;
use crate::gossip::GossipSocket;
use crate::log::log_line;
use crate::membership::{Discovery, EndpointRegistry, StatusReport};
use crate::memory::MemoryBudget;
use crate::metrics::{Labels, Metrics};
use crate::platform_router::PlatformRouter;
use crate::process::{self, Signals};
use crate::request_ids::OpenRequestIds;
use crate::start_error::StartError;
use crate::upstream::{UpstreamPool, MAX_WRITE_DELAY};
use crate::{handover, inherited_socket, operators};

pub use config_file::{Config, ConfigError, GossipConfig};

/// The shortest deadline for polls of discovery, in microseconds. The deadline is the maximum poll interval
/// of the settings if that is longer.
const MIN_POLL_DEADLINE: Micros = 10_000_000;
/// Forwarding with an expired list stays suspended for at most this many poll deadlines after the last reason
/// to suspend it, then resumes with the old list.
const MAX_SUSPENSION_POLL_DEADLINES: Micros = 4;
/// Discovery that ends standing watches with errors is presumed down for 4/5 of a poll deadline. For the
/// shortest deadline that is eight seconds, the longest outage of discovery that operators specify.
const PRESUMED_OUTAGE_NUMERATOR: Micros = 4;
const PRESUMED_OUTAGE_DENOMINATOR: Micros = 5;
/// The environment variable with the folder that a process of the platform shares with its successor. If
/// unset, neither learned state nor maintenance outlives the process.
const STATE_FOLDER_VARIABLE: &str = "TMPDIR";

/// Runs the proxy configured by `LB_CONFIG` until SIGTERM or SIGINT, then shuts down gracefully: every
/// accepted request gets its response.
///
/// # Errors
/// Returns an error if the process cannot start.
pub fn run() -> Result<(), StartError> {
    let config = Config::from_env()?;
    let inherited = inherited_socket::platform_listener()?;
    // Runs on one thread: a proxy has one core, so further threads would only move work between caches.
    process::block_on(serve(config, inherited))
}

async fn serve(config: Config, inherited: Option<std::net::TcpListener>) -> Result<(), StartError> {
    let Signals { mut shutdown, hangup } = Signals::install()?;
    let is_shared_socket = inherited.is_some();
    let listener = bind(config.listen, inherited).await?;
    let operator_listener = match config.operators {
        Some(address) => Some(operators::server::bind(address).await?),
        None => None,
    };
    let address = listener.local_addr().map_err(StartError::LocalAddress)?;
    let gossip = bind_gossip(config.gossip.as_ref()).await?;
    let metrics = Rc::new(Metrics::new(false));
    let shutting_down = Rc::new(Cell::new(false));
    let mut pool = PlatformPool::new(&config, &metrics, gossip.clone());
    let frontend = Frontend {
        router: Rc::new(pool.router(&config.platform, &metrics)),
        ids: OpenRequestIds::default(),
        protocol: Protocol::Http,
        is_socket_shared: is_shared_socket,
        memory: MemoryBudget::new(config.request_memory_bytes, metrics.memory_refusals()),
        cut_offs: Rc::new(CutOffLog::new(metrics.cut_offs())),
    };

    if let Some(gossip) = gossip {
        let driver = pool.driver.handle();
        spawn_local(async move { gossip.receive(driver).await });
    }
    let state_folder = std::env::var_os(STATE_FOLDER_VARIABLE).map(PathBuf::from);
    // Only a process that shares its socket has a successor.
    if let Some(folder) = state_folder.clone().filter(|_| is_shared_socket) {
        hand_over_learned_state(folder, &pool.registry, Rc::clone(&shutting_down));
    }
    if let Some(listener) = operator_listener {
        let shutting_down = Rc::clone(&shutting_down);
        operations::serve(listener, state_folder, &mut pool.registry, metrics, shutting_down);
    }
    let (address_sender, discovery_address) = watch::channel(config.discovery);
    pool.start(&config.platform, config.seed, discovery_address, config.initial_list);
    spawn_local(reload_on_hangup(hangup, address_sender));

    log_line(format_args!("listening on {address}"));
    let stop = async move {
        shutdown.received().await;
        shutting_down.set(true);
    };
    downstream::run(frontend, listener, config.max_downstream_connections, stop).await;
    Ok(())
}

/// The only pool of the process, assembled but not started yet.
struct PlatformPool {
    driver: Driver,
    upstreams: Rc<UpstreamPool>,
    registry: EndpointRegistry,
    /// Notified when the balancer requests a poll of discovery.
    poll_requested: Rc<Notify>,
    status: StatusReport,
}

impl PlatformPool {
    fn new(config: &Config, metrics: &Metrics, gossip: Option<Rc<GossipSocket>>) -> PlatformPool {
        let PlatformSettings { settings, names, transport } = &config.platform;
        let clock = Clock::new();
        let upstreams = UpstreamPool::new(transport.clone(), config.max_upstream_connections);
        let upstreams = upstreams.with_attempt_counter(metrics.attempts(&Labels::new()));
        let upstreams = Rc::new(upstreams.with_unsent_counters(metrics.unsent_attempts(&Labels::new())));
        let status = StatusReport::new(metrics.list_status(&Labels::new()));
        let poll_requested = Rc::new(Notify::new());
        let driver = Driver::new(
            settings.clone(),
            config.seed,
            clock,
            Rc::clone(&upstreams),
            gossip,
            Rc::clone(&poll_requested),
        );
        let registry = EndpointRegistry::new(
            clock,
            Rc::new(RefCell::new(names.clone())),
            driver.handle(),
            Rc::clone(&upstreams),
            Rc::default(),
        );
        PlatformPool { driver, upstreams, registry, poll_requested, status }
    }

    fn router(&self, platform: &PlatformSettings, metrics: &Metrics) -> PlatformRouter {
        let counters = |class: &String| metrics.request_counters(class, &Labels::new());
        PlatformRouter {
            driver: self.driver.handle(),
            names: platform.names.clone(),
            settings: platform.settings.clone(),
            ready: Rc::clone(&self.registry.ready),
            class_counters: platform.names.classes.iter().map(counters).collect(),
        }
    }

    /// Starts the driver of the balancer, discovery, and the maintenance of upstream connections.
    fn start(
        self,
        platform: &PlatformSettings,
        seed: u64,
        discovery_address: watch::Receiver<SocketAddr>,
        initial_list: Option<ParsedEndpointList>,
    ) {
        let PlatformPool { driver, upstreams, registry, poll_requested, status } = self;
        let discovery = Discovery {
            address: discovery_address,
            registry,
            poll_requested: platform.settings.poll_discovery.then_some(poll_requested),
            policy: discovery_policy(platform),
            seed,
            status,
            malformed_list_logged: false,
        };
        spawn_local(driver.run());
        spawn_local(discovery.run(initial_list));
        spawn_local(async move { upstreams.evict_idle().await });
    }
}

/// Listens on the inherited socket, or binds the configured address if no socket is inherited.
async fn bind(
    address: SocketAddr,
    inherited: Option<std::net::TcpListener>,
) -> Result<TcpListener, StartError> {
    let listener = match inherited {
        Some(socket) => TcpListener::from_std(socket),
        None => TcpListener::bind(address).await,
    };
    listener.map_err(|source| StartError::Listen { address, source })
}

async fn bind_gossip(config: Option<&GossipConfig>) -> Result<Option<Rc<GossipSocket>>, StartError> {
    let Some(GossipConfig { listen, peers }) = config else { return Ok(None) };
    let socket = GossipSocket::bind(*listen, peers.clone()).await.map_err(StartError::Gossip)?;
    Ok(Some(Rc::new(socket)))
}

/// Imports the state that the previous process learned, and exports this process's learned state to the next
/// one until shutdown.
fn hand_over_learned_state(folder: PathBuf, registry: &EndpointRegistry, shutting_down: Rc<Cell<bool>>) {
    let endpoints = Rc::clone(&registry.endpoints);
    let driver = registry.driver.clone();
    let names = Rc::clone(&registry.names);
    let clock = registry.clock;
    handover::import(&folder, &endpoints, clock, &names.borrow(), &driver);
    spawn_local(async move {
        handover::export(&folder, &endpoints, clock, &names, driver, &shutting_down).await;
    });
}

/// Reloads the configuration on each SIGHUP. Only the address of discovery changes in a running proxy;
/// everything else takes effect at the next start.
async fn reload_on_hangup(mut hangup: Signal, discovery_address: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match Config::from_env() {
            Ok(config) => {
                log_line(format_args!("configuration reloaded: discovery address is {}", config.discovery));
                discovery_address.send_if_modified(|address| {
                    let former = std::mem::replace(address, config.discovery);
                    former != config.discovery
                });
            }
            Err(error) => {
                log_line(format_args!("configuration reload failed, keeping the old configuration: {error}"));
            }
        }
    }
}

/// The policy for watching discovery: the mode, and the lease that limits the use of an unconfirmed list and
/// the suspension after it.
fn discovery_policy(platform: &PlatformSettings) -> WatchPolicy {
    let poll_deadline = platform.settings.max_poll_interval.max(MIN_POLL_DEADLINE);
    let terms = LeaseTerms {
        drain_grace: platform.transport.drain_grace,
        margin: MAX_WRITE_DELAY.as_micros() as Micros,
        max_suspension: poll_deadline * MAX_SUSPENSION_POLL_DEADLINES,
        presumed_outage: poll_deadline * PRESUMED_OUTAGE_NUMERATOR / PRESUMED_OUTAGE_DENOMINATOR,
    };
    let mode = if platform.settings.poll_discovery { DiscoveryMode::Polled } else { DiscoveryMode::Pushed };
    WatchPolicy { mode, lease: Some(terms) }
}
