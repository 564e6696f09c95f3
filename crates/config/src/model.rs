//! The checked configuration: values are within bounds, references are resolved and routes are in their
//! table.

use decide::{Micros, Settings};
use route::RouteTable;

use crate::method::Methods;
use crate::section::bgp::Bgp;
use crate::section::class::Class;
use crate::section::learned_state::LearnedStateSettings;
use crate::section::limits::Limits;
use crate::section::operators::Operators;
use crate::section::pool::{Pool, Source};
use crate::section::server::{Listener, ProxyRank};
use crate::sockets::{sockets_by_share, split_sockets, MIN_USABLE_SOCKETS};

/// The configuration of a process.
#[derive(Clone, Debug)]
pub struct Config {
    /// The addresses that clients connect to.
    pub listeners: Vec<Listener>,
    /// The zone of this proxy.
    pub zone: String,
    /// The number of sockets (file descriptors) that the process may use.
    pub sockets: usize,
    /// The position of this proxy among those that share the pools.
    pub proxies: ProxyRank,
    /// Durations and bounds for all pools.
    pub limits: Limits,
    /// The bounds of the idempotency table.
    pub idempotency_keys: idempotency::TableLimits,
    /// The storage of learned state; `None` if it is not stored.
    pub learned_state: Option<LearnedStateSettings>,
    /// The address that operators connect to, if there is one.
    pub operators: Option<Operators>,
    /// The BGP speaker, if there is one.
    pub bgp: Option<Bgp>,
    /// The JSON-RPC methods.
    pub methods: Methods,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The pools, by index.
    pub pools: Vec<Pool>,
    /// The routes.
    pub table: RouteTable,
    /// The position of each route in its file.
    pub route_origins: Vec<RouteOrigin>,
    /// The zones that the configuration names.
    pub zones: Vec<String>,
    /// The kinds of machines that the configuration names.
    pub machine_kinds: Vec<String>,
}

/// The position of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteOrigin {
    /// The name of the file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
}

/// The load under which an endpoint in slow start fails, as a multiple of its capacity.
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// The duration of a load of [`OVERLOAD_MULTIPLE`] after which an endpoint in slow start fails, in
/// microseconds.
const OVERLOAD_WINDOW: Micros = 1_000_000;
/// The longest interval between polls of discovery, in microseconds.
const MAX_POLL_INTERVAL: Micros = 2_000_000;
/// The resolution of timers, in microseconds.
const TIMER_RESOLUTION: Micros = 1_000;

impl Config {
    /// The number of sockets for clients, and for all pools together.
    #[must_use]
    pub fn socket_budget(&self) -> (usize, usize) {
        let bgp = self.bgp.as_ref().map_or(0, Bgp::sockets);
        let operators = Operators::sockets(self.operators.as_ref());
        // The check of the configuration has ensured that the sockets suffice, so the fallback is not used.
        split_sockets(self.sockets.saturating_sub(bgp + operators))
            .unwrap_or((MIN_USABLE_SOCKETS, MIN_USABLE_SOCKETS))
    }

    /// The number of sockets of each pool, if `sockets` are divided by the pools' shares.
    #[must_use]
    pub fn pool_sockets(&self, sockets: usize) -> Vec<usize> {
        sockets_by_share(sockets, &self.pools)
    }

    /// The settings of a pool's balancer.
    #[must_use]
    pub fn settings(&self, pool: &Pool) -> Settings {
        Settings {
            balancers: self.proxies.count,
            rank: self.proxies.rank,
            tier: 0,
            tiers: 1,
            zone: self.zones.iter().position(|zone| *zone == self.zone).unwrap_or(0),
            classes: self.classes.iter().map(|class| class.parameters.clone()).collect(),
            tenants: Vec::new(),
            cross_zone_price: self.limits.cross_zone_price,
            poll_discovery: matches!(pool.source, Source::Discovery(_)),
            max_poll_interval: MAX_POLL_INTERVAL,
            can_cancel: true,
            hedging_allowed: false,
            health_checks_allowed: false,
            gossip_allowed: false,
            send_retry_after: self.limits.retry_after > 0,
            max_retry_after: self.limits.retry_after,
            max_attempts: self.limits.max_attempts,
            timer_resolution: TIMER_RESOLUTION,
            slow_start_min_capacity: self.limits.slow_start_min_capacity,
            slow_start_duration: self.limits.slow_start_duration,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: OVERLOAD_WINDOW,
        }
    }

    /// Whether a pool may take over what the previous pool of the same name has learned and has in flight.
    /// This is the case if nothing has changed that its balancer depends on. The endpoint list may have
    /// changed.
    #[must_use]
    pub fn is_carried_over(&self, pool: &Pool, previous: &Config) -> bool {
        let is_same_pool = |other: &Pool| {
            other.name == pool.name
                && other.protocol == pool.protocol
                && other.cancel == pool.cancel
                && is_same_source(&other.source, &pool.source)
        };
        previous.pools.iter().any(is_same_pool)
            && self.zone == previous.zone
            && self.proxies == previous.proxies
            && self.limits == previous.limits
            && self.classes == previous.classes
    }
}

/// Whether two sources are the same. Endpoints in the configuration may differ.
fn is_same_source(one: &Source, other: &Source) -> bool {
    match (one, other) {
        (Source::List(_), Source::List(_)) => true,
        (one, other) => one == other,
    }
}
