//! A configuration that has been checked: figures within bounds, references resolved, routes in their table.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use decide::{Micros, Settings};
use route::RouteTable;

use crate::announce::Bgp;
use crate::fleet::Node;
use crate::method::{Methods, Protocol};
use crate::operators::Operators;

/// All that a process is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where callers connect.
    pub listeners: Vec<Listener>,
    /// The zone that this proxy stands in.
    pub zone: String,
    /// Descriptors for callers and nodes.
    pub sockets: usize,
    /// Proxies that share the pools, and this one's number among them.
    pub proxies: (u32, u32),
    /// Times and bounds for all pools.
    pub limits: Limits,
    /// Keys that are known at once, and bytes of their answers.
    pub idempotency_keys: idempotency::TableLimits,
    /// Where what was learned is kept, if it is.
    pub learned_state: Option<LearnedStateSettings>,
    /// Where operators call, if they do.
    pub operators: Option<Operators>,
    /// What is announced to routers, if anything is.
    pub bgp: Option<Bgp>,
    /// JSON-RPC's methods.
    pub methods: Methods,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The pools, by index.
    pub pools: Vec<Pool>,
    /// The routes.
    pub table: RouteTable,
    /// Where each route stands: its file's name and line.
    pub origins: Vec<(String, usize)>,
    /// All zones that are named anywhere, and all kinds.
    pub zones: Vec<String>,
    /// See `zones`.
    pub kinds: Vec<String>,
}

/// Where what was learned outlives the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LearnedStateSettings {
    /// The folder, which one process writes at a time.
    pub folder: PathBuf,
    /// Written so often, and at the end.
    pub every: Duration,
    /// Files that are kept, the newest one included.
    pub files: usize,
}

/// An address that callers connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// The address.
    pub address: SocketAddr,
    /// The zone of those who connect there.
    pub zone: String,
    /// The header field that names their zone instead; only for callers that may be believed.
    pub zone_header: Option<String>,
    /// The tenant whose it is, where it is one's alone.
    pub tenant: Option<String>,
    /// What is spoken there.
    pub protocol: Protocol,
    /// The host of calls, which do not name one.
    pub host: String,
}

/// Times in microseconds, and bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts that a request may have.
    pub max_attempts: usize,
    /// A connection not made by then has failed.
    pub connect_timeout: Micros,
    /// Nodes close connections that are idle for so long.
    pub keep_alive: Micros,
    /// Nothing new goes to a node later than this after it was said to drain.
    pub drain_grace: Micros,
    /// The longest time to come back after that callers are told; 0 tells none.
    pub retry_after: Micros,
    /// How long a node takes to warm up after its start.
    pub slow_start_duration: Micros,
    /// The part of its capacity that it starts with.
    pub slow_start_min_capacity: f64,
    /// The price of an attempt that crosses zones, in worth of a request.
    pub cross_zone_price: f64,
    /// The largest body of a request or an answer over HTTP. What is over [`WHOLE_BODY_BYTES`] flows, and is tried once.
    pub body_bytes: u64,
}

/// Bodies of up to so many bytes are held whole.
pub const WHOLE_BODY_BYTES: u64 = 64 << 10;
/// The largest that any may be.
pub const MOST_BODY_BYTES: u64 = 40 << 20;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What the decisions are told of it.
    pub parameters: decide::Class,
}

impl PartialEq for Class {
    fn eq(&self, other: &Self) -> bool {
        let figures = |c: &Class| {
            let f = &c.parameters;
            (
                f.latency_objective,
                f.deadline,
                f.priority_weight.to_bits(),
                f.late_answer_value.to_bits(),
                f.semantics,
            )
        };
        self.name == other.name && figures(self) == figures(other)
    }
}

/// Nodes that serve the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Its part of the sockets, against the other pools'.
    pub share: u32,
    /// Where its nodes are told.
    pub source: Source,
    /// What its nodes speak.
    pub protocol: Protocol,
    /// The notification that calls a request off there.
    pub cancel: Option<String>,
}

/// Where a pool's nodes are told.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// In the configuration.
    List(Vec<Node>),
    /// In a file that is watched.
    File(PathBuf),
    /// By the platform's discovery protocol.
    Discovery(SocketAddr),
}

/// A node that just started falls over when sent more than this multiple of what it can do, for this long.
const OVERLOAD_MULTIPLE: f64 = 2.0;
const OVERLOAD_WINDOW: Micros = 1_000_000;
/// Discovery is asked again within this time.
const MAX_POLL_INTERVAL: Micros = 2_000_000;

/// Descriptors kept free for listeners, discovery, the runtime and standard streams (14 in all with one listener,
/// as measured), with some to spare.
const RESERVED_SOCKETS: usize = 32;
/// With fewer than this for callers and nodes no proxy is of use.
const LEAST_SOCKETS: usize = 16;
/// A pool gets at least this many.
const LEAST_PART: usize = 4;
/// The callers' part of the rest. More than half: a request that finds no socket for its backend is refused at
/// once, while one that no socket is left to accept waits until its time is up, and is lost.
const CALLERS_PART: f64 = 0.6;

/// The sockets of a process as cut up for callers and all pools together. None where they are too few.
#[must_use]
pub fn split_sockets(sockets: usize) -> Option<(usize, usize)> {
    let sockets = sockets.checked_sub(RESERVED_SOCKETS).filter(|s| *s >= LEAST_SOCKETS)?;
    let callers = (sockets as f64 * CALLERS_PART) as usize;
    Some((callers, sockets - callers))
}

fn shares_of(sockets: usize, pools: &[Pool]) -> Vec<usize> {
    let all: u64 = pools.iter().map(|p| u64::from(p.share)).sum();
    pools.iter().map(|p| (sockets as u64 * u64::from(p.share) / all.max(1)) as usize).collect()
}

/// Has a process with so many sockets enough for each of these pools?
pub(crate) fn sockets_suffice(sockets: usize, pools: &[Pool]) -> bool {
    split_sockets(sockets)
        .is_some_and(|(_, nodes)| shares_of(nodes, pools).iter().all(|part| *part >= LEAST_PART))
}

impl Config {
    /// The sockets for callers, and for all pools together.
    #[must_use]
    pub fn socket_budget(&self) -> (usize, usize) {
        let speaking = self.bgp.as_ref().map_or(0, Bgp::sockets);
        let called = Operators::sockets(self.operators.as_ref());
        split_sockets(self.sockets.saturating_sub(speaking + called))
            .unwrap_or((LEAST_SOCKETS, LEAST_SOCKETS))
    }

    /// So many sockets, cut up by the pools' shares.
    #[must_use]
    pub fn pool_sockets(&self, sockets: usize) -> Vec<usize> {
        shares_of(sockets, &self.pools)
    }

    /// What the decisions of a pool are told.
    #[must_use]
    pub fn settings(&self, pool: &Pool) -> Settings {
        Settings {
            balancers: self.proxies.0,
            rank: self.proxies.1,
            tier: 0,
            tiers: 1,
            zone: self.zones.iter().position(|z| *z == self.zone).unwrap_or(0),
            classes: self.classes.iter().map(|c| c.parameters.clone()).collect(),
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
            timer_resolution: 1_000,
            slow_start_min_capacity: self.limits.slow_start_min_capacity,
            slow_start_duration: self.limits.slow_start_duration,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: OVERLOAD_WINDOW,
        }
    }

    /// May a pool of the same name go on from the one before with all that it learned and holds? Only where
    /// nothing that its decisions stand on has changed. A list of nodes may have.
    #[must_use]
    pub fn is_carried_over(&self, pool: &Pool, before: &Config) -> bool {
        let source = |pool: &Pool| match &pool.source {
            Source::List(_) => None,
            other => Some(other.clone()),
        };
        let same = before.pools.iter().any(|p| {
            let speaks = (p.protocol, &p.cancel) == (pool.protocol, &pool.cancel);
            p.name == pool.name && source(p) == source(pool) && speaks
        });
        same && self.zone == before.zone
            && self.proxies == before.proxies
            && self.limits == before.limits
            && self.classes == before.classes
    }
}
