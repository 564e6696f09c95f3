//! Assembles a pool from its driver, upstream connections, endpoint registry and the source of its endpoint
//! list.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use config::{Config, Protocol, Source};
use decide::platform_settings::{NameTable, Transport};
use decide::UpdateScope;
use membership::{DiscoveryMode, WatchPolicy};
use tokio::sync::{watch, Notify};

use super::staleness::warn_when_stale;
use super::tasks::TaskSet;
use super::{endpoint_list, OperatorView, Pool, PoolContext};
use crate::driver::Driver;
use crate::membership::{Discovery, EndpointRegistry, FileWatch, StatusReport};
use crate::operators::{observe_maintenance, OperatorContext};
use crate::upstream::{RpcSettings, UpstreamPool};

impl Pool {
    /// Starts the pool at `index` of a configuration, with at most `max_connections` connections to its
    /// endpoints.
    pub fn start(config: &Config, index: usize, max_connections: usize, context: &PoolContext<'_>) -> Pool {
        let pool = &config.pools[index];
        let PoolContext { clock, seed, operators } = *context;
        let names = Rc::new(RefCell::new(name_table(config)));
        let upstreams = Rc::new(new_upstreams(config, pool, max_connections, operators));
        let poll_requested = Rc::new(Notify::new());
        let pool_driver = Driver::new(
            config.settings(pool),
            seed,
            clock,
            Rc::clone(&upstreams),
            None,
            Rc::clone(&poll_requested),
        );
        let driver = pool_driver.handle();
        let ready = Rc::new(Cell::new(false));
        let mut registry = EndpointRegistry::new(
            clock,
            Rc::clone(&names),
            driver.clone(),
            Rc::clone(&upstreams),
            Rc::clone(&ready),
        );
        let operator_view =
            operators.map(|operators| OperatorView::attach(operators, &pool.name, &mut registry));
        let endpoints = Rc::clone(&registry.endpoints);
        let last_contact = Rc::clone(&registry.last_contact);

        let mut tasks = TaskSet::default();
        tasks.spawn(pool_driver.run());
        let evicted = Rc::clone(&upstreams);
        tasks.spawn(async move { evicted.evict_idle().await });
        let status = list_status_report(pool, operators);
        let static_registry = start_source(pool, registry, poll_requested, seed, status, &mut tasks);
        Pool {
            _tasks: tasks,
            name: pool.name.clone(),
            driver,
            upstreams,
            clock,
            names,
            endpoints,
            ready,
            last_contact,
            static_registry,
            operator_view,
        }
    }
}

impl OperatorView {
    /// Applies the maintenance state of operators to the registry of a pool.
    fn attach(operators: &OperatorContext, pool: &str, registry: &mut EndpointRegistry) -> OperatorView {
        let maintenance = operators.pool_maintenance(pool);
        registry.maintenance = Some(maintenance.clone());
        OperatorView { applier: observe_maintenance(registry, maintenance), labels: operators.labels(pool) }
    }
}

fn name_table(config: &Config) -> NameTable {
    let classes = config.classes.iter().map(|class| class.name.clone()).collect();
    NameTable::new(classes, config.zones.clone(), config.machine_kinds.clone())
}

fn new_upstreams(
    config: &Config,
    pool: &config::Pool,
    max_connections: usize,
    operators: Option<&OperatorContext>,
) -> UpstreamPool {
    let limits = &config.limits;
    let transport = Transport {
        keepalive: limits.keep_alive,
        connect_timeout: limits.connect_timeout,
        drain_grace: limits.drain_grace,
    };
    let mut upstreams = UpstreamPool::new(transport, max_connections);
    if let Some(operators) = operators {
        let labels = operators.labels(&pool.name);
        upstreams = upstreams
            .with_attempt_counter(operators.metrics.attempts(&labels))
            .with_unsent_counters(operators.metrics.unsent_attempts(&labels));
    }
    match pool.protocol {
        Protocol::Http => upstreams,
        Protocol::JsonRpc { framing, calls } => upstreams.with_rpc(RpcSettings {
            framing,
            max_concurrent_calls: calls,
            cancel_method: pool.cancel.clone(),
        }),
    }
}

fn list_status_report(pool: &config::Pool, operators: Option<&OperatorContext>) -> StatusReport {
    operators.map_or_else(StatusReport::default, |operators| {
        StatusReport::new(operators.metrics.list_status(&operators.labels(&pool.name)))
    })
}

/// Starts the source of the endpoint list. Returns the registry if the endpoints are listed in the
/// configuration, and `None` if the list has another source.
fn start_source(
    pool: &config::Pool,
    mut registry: EndpointRegistry,
    poll_requested: Rc<Notify>,
    seed: u64,
    status: StatusReport,
    tasks: &mut TaskSet,
) -> Option<RefCell<EndpointRegistry>> {
    let last_contact = Rc::clone(&registry.last_contact);
    match &pool.source {
        Source::List(specs) => {
            registry.apply(endpoint_list::from_config(specs), UpdateScope::Full);
            return Some(RefCell::new(registry));
        }
        Source::File(path) => {
            tasks.spawn(FileWatch::new(pool.name.clone(), path.clone(), registry).run());
        }
        Source::Discovery(address) => {
            tasks.spawn(run_discovery(*address, registry, poll_requested, seed, status));
        }
    }
    tasks.spawn(warn_when_stale(pool.name.clone(), last_contact));
    None
}

/// Keeps the endpoint list of a pool up to date from discovery, for as long as it is polled.
async fn run_discovery(
    address: SocketAddr,
    registry: EndpointRegistry,
    poll_requested: Rc<Notify>,
    seed: u64,
    status: StatusReport,
) {
    // The address never changes, because a pool with another address is another pool.
    let (_address_sender, address) = watch::channel(address);
    // The configuration sets no time within which a drain must take effect. The watch thus needs no lease,
    // and the list may be used while discovery is down.
    let policy = WatchPolicy { mode: DiscoveryMode::Polled, lease: None };
    let discovery = Discovery {
        address,
        registry,
        poll_requested: Some(poll_requested),
        policy,
        seed,
        status,
        malformed_list_logged: false,
    };
    discovery.run(None).await;
}
