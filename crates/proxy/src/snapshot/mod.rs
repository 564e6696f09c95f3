//! A configuration together with the pools that serve it: versioned, immutable and replaced as a whole.
//!
//! Each request holds the snapshot under which it was routed until the request is complete.

mod pool_selection;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use config::{Config, Protocol};
use decide::EndpointFilter;
use route::{EndpointCounts, PoolId, Route};

use crate::learned_state::SavedState;
use crate::metrics::{PoolGauges, RequestCounters};
use crate::operators::OperatorContext;
use crate::pool::{Pool, PoolContext};

pub use pool_selection::PoolSelection;

/// The number of low bits of a seed that distinguish the pools of one version.
const POOL_INDEX_BITS: u32 = 16;

/// The endpoint filters of one route, by pool index; `None` if the route may use the whole pool.
type PoolFilters = Vec<Option<Arc<EndpointFilter>>>;
/// The request counters of one route, by pool index.
type PoolCounters = BTreeMap<usize, Rc<RequestCounters>>;

/// A configuration that is being served.
pub struct ServingSnapshot {
    /// The version of the configuration, counted from 1 in this process.
    pub version: u64,
    pub config: Arc<Config>,
    /// The JSON-RPC method of each class; `None` for all classes if no pool speaks JSON-RPC.
    pub methods: Vec<Option<Arc<str>>>,
    pools: Vec<Rc<Pool>>,
    /// The endpoint filters, by route index.
    filters: Vec<PoolFilters>,
    /// The request counters, by route index; empty maps if the process has no operators' address.
    counters: Vec<PoolCounters>,
}

/// A version of the endpoint lists in use, which changes with every configuration and every list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListVersion {
    configuration: u64,
    lists: u64,
}

impl ServingSnapshot {
    /// Starts the pools of a configuration. Pools that `previous` has with compatible settings are carried
    /// over and reconfigured, all others of `previous` are retired. `max_connections` is divided between the
    /// pools.
    pub fn start(
        config: Arc<Config>,
        max_connections: usize,
        previous: Option<&ServingSnapshot>,
        context: &PoolContext<'_>,
    ) -> ServingSnapshot {
        let version = previous.map_or(0, |previous| previous.version) + 1;
        let pools = start_pools(&config, version, max_connections, previous, context);
        for former in previous.iter().flat_map(|previous| &previous.pools) {
            if !pools.iter().any(|pool| Rc::ptr_eq(pool, former)) {
                former.retire();
            }
        }
        let routes = config.table.routes();
        let filters = routes.iter().map(|route| route_filters(route, &pools)).collect();
        let methods = rpc_methods(&config);
        let counters = routes.iter().map(|route| route_counters(route, &config, context.operators)).collect();
        ServingSnapshot { version, config, methods, pools, filters, counters }
    }

    /// Imports the state that an earlier process learned.
    pub fn import_learned_state(&self, saved: &SavedState) {
        for pool in &self.pools {
            if let Some(saved_pool) = saved.pool(&pool.name) {
                pool.import_learned_state(saved_pool);
            }
        }
    }

    /// The state that the pools have learned.
    pub async fn learned_state(&self) -> learned_state::LearnedSnapshot {
        let mut learned = learned_state::LearnedSnapshot::default();
        for pool in &self.pools {
            learned.pools.extend(pool.learned_state().await);
        }
        learned
    }

    /// The qualified names by which operators refer to the endpoints with this name, over all pools.
    pub fn operator_names(&self, endpoint: &str) -> Vec<String> {
        self.pools.iter().filter_map(|pool| pool.operator_name(endpoint)).collect()
    }

    /// The gauges of all pools.
    pub async fn gauges(&self) -> Vec<PoolGauges> {
        let mut gauges = Vec::with_capacity(self.pools.len());
        for pool in &self.pools {
            gauges.extend(pool.gauges().await);
        }
        gauges
    }

    /// The version of the endpoint lists in use.
    pub fn list_version(&self) -> ListVersion {
        let lists = self.pools.iter().map(|pool| pool.list_count()).sum();
        ListVersion { configuration: self.version, lists }
    }

    /// The endpoint lists of the pools behind announced addresses, by pool name.
    pub fn announced_endpoints(&self) -> BTreeMap<String, bgp::PoolEndpointList> {
        let addresses = self.config.bgp.iter().flat_map(|bgp| &bgp.addresses);
        let announced: BTreeSet<&String> = addresses.flat_map(|address| &address.pools).collect();
        let slow_start_duration = self.config.limits.slow_start_duration;
        let pools = self.pools.iter().filter(|pool| announced.contains(&pool.name));
        pools.map(|pool| (pool.name.clone(), pool.announced_endpoints(slow_start_duration))).collect()
    }

    /// Retires all pools; open requests complete.
    pub fn retire(&self) {
        self.pools.iter().for_each(|pool| pool.retire());
    }

    /// Whether every pool has received an endpoint list.
    pub fn is_ready(&self) -> bool {
        self.pools.iter().all(|pool| pool.is_ready())
    }

    /// Counts the endpoints of a pool that a route may use.
    fn endpoint_counts(&self, route: usize, pool: PoolId) -> EndpointCounts {
        self.pools[pool.0].endpoint_counts(self.filters[route][pool.0].as_deref())
    }
}

fn start_pools(
    config: &Config,
    version: u64,
    max_connections: usize,
    previous: Option<&ServingSnapshot>,
    context: &PoolContext<'_>,
) -> Vec<Rc<Pool>> {
    let max_pool_connections = config.pool_sockets(max_connections);
    let mut pools = Vec::with_capacity(config.pools.len());
    for (index, pool) in config.pools.iter().enumerate() {
        let carried_over = previous
            .filter(|previous| config.is_carried_over(pool, &previous.config))
            .and_then(|previous| previous.pools.iter().find(|former| former.name == pool.name));
        pools.push(match carried_over {
            Some(former) => {
                former.reconfigure(config, index, max_pool_connections[index]);
                Rc::clone(former)
            }
            None => {
                let seed = pool_seed(context.seed, version, index);
                let context = PoolContext { seed, ..*context };
                Rc::new(Pool::start(config, index, max_pool_connections[index], &context))
            }
        });
    }
    pools
}

/// The seed of a pool's random numbers, which is different for each pool and version.
fn pool_seed(process_seed: u64, version: u64, pool_index: usize) -> u64 {
    process_seed.wrapping_add((version << POOL_INDEX_BITS) + pool_index as u64)
}

fn route_filters(route: &Route, pools: &[Rc<Pool>]) -> PoolFilters {
    let is_filtered = !route.scope.is_all();
    pools.iter().map(|pool| is_filtered.then(|| Arc::new(pool.endpoint_filter(&route.scope)))).collect()
}

fn route_counters(route: &Route, config: &Config, operators: Option<&OperatorContext>) -> PoolCounters {
    let Some(operators) = operators else { return PoolCounters::new() };
    let class = &config.classes[route.class].name;
    let counters = |pool: PoolId| {
        let labels = operators.labels(&config.pools[pool.0].name);
        (pool.0, operators.metrics.request_counters(class, &labels))
    };
    route.pools().map(counters).collect()
}

fn rpc_methods(config: &Config) -> Vec<Option<Arc<str>>> {
    let has_rpc_pool = config.pools.iter().any(|pool| pool.protocol != Protocol::Http);
    let method = |class| {
        let method = config.methods.of_class(class).filter(|_| has_rpc_pool)?;
        Some(Arc::clone(&method.name))
    };
    (0..config.classes.len()).map(method).collect()
}
