//! Metrics of the process: requests by outcome, attempts, requests in flight and the size of each pool.
//!
//! There is one [`Metrics`] registry per process, exposed in the OpenMetrics text format. The number of label
//! sets is bounded by [`MAX_LABEL_SETS`]; further ones are counted under the label value [`OVERFLOW_LABEL`].

mod attempt_write;
mod cut_off;
mod list_status;
mod pool_metric;
mod request;
#[cfg(test)]
mod tests;
mod unsent;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

pub use attempt_write::NextWriteCounter;
pub use cut_off::CutOffCounters;
pub use list_status::ListStatusGauge;
use pool_metric::PoolMetric;
pub use request::{RequestCounters, RequestOutcome, RequestRecorder};
pub use unsent::UnsentCounters;

/// The largest number of label sets of one metric, over all reloads.
const MAX_LABEL_SETS: usize = 2000;
/// The label value of all label sets beyond [`MAX_LABEL_SETS`].
const OVERFLOW_LABEL: &str = "_other";

/// Label names and values of one time series.
pub type Labels = Vec<(&'static str, String)>;

/// The state of one pool at the time of a scrape.
pub struct PoolGauges {
    /// The labels that identify the pool; empty in a process with a single pool.
    pub labels: Labels,
    /// The number of endpoints in the current list.
    pub endpoints: usize,
    /// The number of listed endpoints that operators drained plus the number that outlier detection ejected.
    /// Exposed as `pool_ejected`.
    pub unused: usize,
}

/// The class of a request and the labels of the first pool on its route.
type RequestCounterKey = (String, Labels);

/// The metrics registry of a process.
pub struct Metrics {
    registry: Registry,
    ok: Family<Labels, Counter>,
    shed: Family<Labels, Counter>,
    errors: Family<Labels, Counter>,
    active: Gauge,
    memory_refusals: Counter,
    cut_off: Family<Labels, Counter>,
    attempts: PoolMetric<Counter>,
    unsent_attempts: Family<Labels, Counter>,
    list_status: Family<Labels, Gauge>,
    pool_size: PoolMetric<Gauge>,
    pool_ejected: PoolMetric<Gauge>,
    request_counters: RefCell<BTreeMap<RequestCounterKey, Rc<RequestCounters>>>,
    /// The pools whose attempts have a separate time series.
    pools_with_attempts: RefCell<BTreeSet<Labels>>,
}

impl Metrics {
    /// Registers all metrics. If `labeled_by_pool`, each pool has its own time series; otherwise the only
    /// pool of the process has no label.
    pub fn new(labeled_by_pool: bool) -> Metrics {
        let mut registry = Registry::with_prefix("edge_lb");
        let ok = register_counter_family(&mut registry, "ok", "Requests served");
        let shed = register_counter_family(&mut registry, "shed", "Requests refused");
        let errors = register_counter_family(&mut registry, "errors", "Requests failed");
        let attempts_help = "Attempts written whole to backends";
        let attempts = PoolMetric::register(&mut registry, labeled_by_pool, "tries", attempts_help);
        let unsent_help = "Attempts that were decided on and not sent, by reason";
        let unsent_attempts = register_counter_family(&mut registry, "unsent_tries", unsent_help);
        let list_status = Family::default();
        let status_help =
            "State of the endpoint list: confirmed or not, and how the last call to discovery went";
        registry.register("list_status", status_help, list_status.clone());
        let active = Gauge::default();
        registry.register("active", "Requests taken and not ended", active.clone());
        let memory_refusals = Counter::default();
        let refusals_help = "Requests refused because the memory for requests was used up";
        registry.register("memory_refusals", refusals_help, memory_refusals.clone());
        let cut_off_help = "Requests, responses and connections that were ended early, by reason";
        let cut_off = register_counter_family(&mut registry, "cut_off", cut_off_help);
        let size_help = "Backends in the list";
        let pool_size = PoolMetric::register(&mut registry, labeled_by_pool, "pool_size", size_help);
        let ejected_help = "Listed backends that are avoided, by hand or by choice";
        let pool_ejected = PoolMetric::register(&mut registry, labeled_by_pool, "pool_ejected", ejected_help);
        Metrics {
            registry,
            ok,
            shed,
            errors,
            active,
            memory_refusals,
            cut_off,
            attempts,
            unsent_attempts,
            list_status,
            pool_size,
            pool_ejected,
            request_counters: RefCell::default(),
            pools_with_attempts: RefCell::default(),
        }
    }

    /// The counters of a class within a pool.
    pub fn request_counters(&self, class: &str, pool: &Labels) -> Rc<RequestCounters> {
        let mut all = self.request_counters.borrow_mut();
        let mut key = (class.to_owned(), pool.clone());
        if all.len() >= MAX_LABEL_SETS && !all.contains_key(&key) {
            key = (OVERFLOW_LABEL.to_owned(), overflow_labels(pool));
        }
        let counters =
            all.entry(key).or_insert_with_key(|(class, pool)| Rc::new(self.new_counters(class, pool)));
        Rc::clone(counters)
    }

    fn new_counters(&self, class: &str, pool: &Labels) -> RequestCounters {
        let mut labels = vec![("kind", class.to_owned())];
        labels.extend(pool.iter().cloned());
        RequestCounters {
            ok: self.ok.get_or_create(&labels).clone(),
            shed: self.shed.get_or_create(&labels).clone(),
            errors: self.errors.get_or_create(&labels).clone(),
            active: self.active.clone(),
        }
    }

    /// The counter of attempts that were written to endpoints of a pool. A restarted pool gets the same
    /// counter.
    pub fn attempts(&self, pool: &Labels) -> Counter {
        let mut known = self.pools_with_attempts.borrow_mut();
        if known.len() >= MAX_LABEL_SETS && !known.contains(pool) {
            return self.attempts.with_labels(&overflow_labels(pool));
        }
        known.insert(pool.clone());
        self.attempts.with_labels(pool)
    }

    /// The counter of the requests that were rejected for lack of memory.
    pub fn memory_refusals(&self) -> Counter {
        self.memory_refusals.clone()
    }

    /// The counters of streams and connections that were ended early.
    pub fn cut_offs(&self) -> CutOffCounters {
        CutOffCounters::new(&self.cut_off)
    }

    /// The counters of attempts that were not sent to endpoints of a pool. To be called after
    /// [`Self::attempts`], which bounds the number of pools.
    pub fn unsent_attempts(&self, pool: &Labels) -> UnsentCounters {
        UnsentCounters::new(&self.unsent_attempts, self.bounded_labels(pool))
    }

    /// The labels of a pool, or those that are shared by all pools beyond the bound.
    fn bounded_labels(&self, pool: &Labels) -> Labels {
        let is_known = self.pools_with_attempts.borrow().contains(pool);
        if is_known {
            pool.clone()
        } else {
            overflow_labels(pool)
        }
    }

    /// The gauge of the state of a pool's endpoint list. To be called after [`Self::attempts`], which bounds the
    /// number of pools.
    pub fn list_status(&self, pool: &Labels) -> ListStatusGauge {
        ListStatusGauge::new(&self.list_status, self.bounded_labels(pool))
    }

    /// Encodes all metrics in the OpenMetrics text format, with the gauges of the given pools.
    pub fn encode(&self, pools: &[PoolGauges]) -> String {
        // Pools that a reload has removed must not be exposed anymore.
        self.pool_size.clear();
        self.pool_ejected.clear();
        for pool in pools.iter().take(MAX_LABEL_SETS) {
            self.pool_size.with_labels(&pool.labels).set(pool.endpoints as i64);
            self.pool_ejected.with_labels(&pool.labels).set(pool.unused as i64);
        }
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn register_counter_family(registry: &mut Registry, name: &str, help: &str) -> Family<Labels, Counter> {
    let family = Family::default();
    registry.register(name, help, family.clone());
    family
}

/// The label set that is shared by all pools beyond [`MAX_LABEL_SETS`].
fn overflow_labels(pool: &Labels) -> Labels {
    pool.iter().map(|(name, _)| (*name, OVERFLOW_LABEL.to_owned())).collect()
}
