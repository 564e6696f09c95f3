//! A configuration with the pools that serve it: numbered, never changed, swapped whole. What was taken under a
//! snapshot holds it, and so ends under it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use config::{Config, Protocol};
use decide::{EndpointFilter, Semantics};
use route::{EndpointCounts, PoolChoice, PoolId};

use crate::clock::Clock;
use crate::inbox::DriverHandle;
use crate::learned_state::SavedState;
use crate::metrics::{PoolGauges, RequestCounters};
use crate::pool::{OperatorContext, Pool};
use crate::router::{PoolSequence, RejectionOutcome};

/// A configuration that serves.
pub struct Snapshot {
    /// Counts from 1.
    pub number: u64,
    pub config: Arc<Config>,
    /// What each class is called in JSON-RPC, where a pool speaks that.
    pub methods: Vec<Option<Arc<str>>>,
    pools: Vec<Rc<Pool>>,
    /// What each route leaves of each pool, by the places of both; only where that is not all.
    allowed: Vec<Vec<Option<Arc<EndpointFilter>>>>,
    /// Where the requests of each route are counted, by the places of both; nowhere if nobody reads it.
    counts: Vec<BTreeMap<usize, Rc<RequestCounters>>>,
}

impl Snapshot {
    /// Starts what a configuration needs. Pools that `before` has, and that nothing has changed for, go on.
    /// `sockets` are for all its pools together.
    pub fn start(
        config: Arc<Config>,
        sockets: usize,
        before: Option<&Snapshot>,
        clock: Clock,
        seed: u64,
        office: Option<&OperatorContext>,
    ) -> Snapshot {
        let number = before.map_or(0, |b| b.number) + 1;
        let parts = config.pool_sockets(sockets);
        let mut pools = Vec::with_capacity(config.pools.len());
        for (place, pool) in config.pools.iter().enumerate() {
            let kept = before.filter(|b| config.is_carried_over(pool, &b.config));
            let kept = kept.and_then(|b| b.pools.iter().find(|p| p.name == pool.name));
            pools.push(match kept {
                Some(kept) => {
                    kept.reconfigure(&config, place, parts[place]);
                    Rc::clone(kept)
                }
                None => {
                    let seed = seed.wrapping_add((number << 16) + place as u64);
                    Rc::new(Pool::start(&config, place, parts[place], clock, seed, office))
                }
            });
        }
        for old in before.iter().flat_map(|b| &b.pools) {
            if !pools.iter().any(|p| Rc::ptr_eq(p, old)) {
                old.retire();
            }
        }
        let allowed = |route: &route::Route| {
            let of = |pool: &Rc<Pool>| {
                (!route.scope.is_all()).then(|| Arc::new(pool.endpoint_filter(&route.scope)))
            };
            pools.iter().map(of).collect()
        };
        let allowed = config.table.routes().iter().map(allowed).collect();
        let speaks = config.pools.iter().any(|p| p.protocol != Protocol::Http);
        let method = |class| config.methods.of_class(class).filter(|_| speaks).map(|m| Arc::clone(&m.name));
        let methods = (0..config.classes.len()).map(method).collect();
        let counted = |route: &route::Route| {
            let class = &config.classes[route.class].name;
            let of = |pool: PoolId| {
                let office = office?;
                let place = office.place(&config.pools[pool.0].name);
                Some((pool.0, office.metrics.request_counters(class, &place)))
            };
            route.pools().filter_map(of).collect()
        };
        let counts = config.table.routes().iter().map(counted).collect();
        Snapshot { number, config, methods, pools, allowed, counts }
    }

    /// What a process before has learned.
    pub fn import_learned_state(&self, past: &SavedState) {
        for pool in &self.pools {
            if let Some(told) = past.pool(&pool.name) {
                pool.import_learned_state(told);
            }
        }
    }

    /// What its pools have learned.
    pub async fn learned_state(&self) -> learned_state::Snapshot {
        let mut learned = learned_state::Snapshot::default();
        for pool in &self.pools {
            learned.pools.extend(pool.learned_state().await);
        }
        learned
    }

    /// What operators call nodes of this name, in whichever pool.
    pub fn operator_names(&self, name: &str) -> Vec<String> {
        self.pools.iter().filter_map(|p| p.operator_name(name)).collect()
    }

    /// What its pools are now, as operators read it.
    pub async fn gauges(&self) -> Vec<PoolGauges> {
        let mut now = Vec::with_capacity(self.pools.len());
        for pool in &self.pools {
            now.extend(pool.gauges().await);
        }
        now
    }

    /// What changes with each list of nodes that one of its pools is told.
    pub fn list_version(&self) -> (u64, u64) {
        (self.number, self.pools.iter().map(|p| p.list_count()).sum())
    }

    /// The nodes of the pools that stand behind addresses.
    pub fn announced_endpoints(&self) -> BTreeMap<String, bgp::Listed> {
        let addresses = self.config.bgp.iter().flat_map(|bgp| &bgp.addresses);
        let behind: BTreeSet<&String> = addresses.flat_map(|a| &a.pools).collect();
        let pools = self.pools.iter().filter(|p| behind.contains(&p.name));
        pools
            .map(|p| (p.name.clone(), p.announced_endpoints(self.config.limits.slow_start_duration)))
            .collect()
    }

    /// No configuration has its pools any more; what they hold open ends by itself.
    pub fn retire(&self) {
        self.pools.iter().for_each(|p| p.retire());
    }

    /// Has every pool had a list of nodes?
    pub fn is_ready(&self) -> bool {
        self.pools.iter().all(|p| p.is_ready())
    }

    fn count(&self, route: usize, pool: PoolId) -> EndpointCounts {
        self.pools[pool.0].count(self.allowed[route][pool.0].as_deref())
    }
}

/// A request on its way along a route.
pub struct PoolSelection {
    snapshot: Rc<Snapshot>,
    route: usize,
    step: PoolChoice,
}

impl PoolSelection {
    pub fn new(snapshot: Rc<Snapshot>, route: usize, preferred: PoolId) -> PoolSelection {
        let step =
            snapshot.config.table.routes()[route].first_pool(preferred, |pool| snapshot.count(route, pool));
        PoolSelection { snapshot, route, step }
    }

    /// Where it is counted, if it is: by the pool that it begins with.
    pub fn counts(&self) -> Option<Rc<RequestCounters>> {
        self.snapshot.counts[self.route].get(&self.step.pool.0).cloned()
    }
}

impl PoolSequence for PoolSelection {
    fn driver(&self) -> &DriverHandle {
        &self.snapshot.pools[self.step.pool.0].handle
    }

    fn endpoint_filter(&self) -> Option<Arc<EndpointFilter>> {
        self.snapshot.allowed[self.route][self.step.pool.0].clone()
    }

    fn on_rejected(&mut self, never_ran: bool) -> RejectionOutcome {
        let config = &self.snapshot.config;
        let route = &config.table.routes()[self.route];
        let repeatable = config.classes[route.class].parameters.semantics == Semantics::Idempotent;
        if !never_ran && !repeatable {
            // A pool drops its own repeats only. Where the client's next try could go to another, a refusal
            // would promise more than is known.
            return if route.pools().nth(1).is_some() {
                RejectionOutcome::Failed
            } else {
                RejectionOutcome::Final
            };
        }
        match route.after_rejection(self.step, |pool| self.snapshot.count(self.route, pool)) {
            Some(step) => {
                self.step = step;
                RejectionOutcome::NextPool
            }
            None => RejectionOutcome::Final,
        }
    }
}
