//! What operators read: requests by how they ended, attempts, what is open. One registry a process, in the text format of
//! OpenMetrics.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::rc::Rc;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::TypedMetric;
use prometheus_client::registry::{Metric, Registry};

/// Classes and pools that are told apart at most, over all reloads; what comes after counts under [`OTHER`].
const MOST_SETS: usize = 2000;
const OTHER: &str = "_other";

/// Names and values that tell figures of one name apart.
pub type Labels = Vec<(&'static str, String)>;

/// How a request ended, for whoever asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend's answer.
    Served,
    /// 429 or 503: trying again is harmless.
    Rejected,
    /// Anything else.
    Failed,
}

/// The counts of one class, or of one class in one pool.
#[derive(Default)]
pub struct RequestCounters {
    ok: Counter,
    shed: Counter,
    errors: Counter,
    /// Of the whole process.
    active: Gauge,
}

/// A figure of the one pool that there is, or of each.
enum ByPool<M> {
    One(M),
    Each(Family<Labels, M>),
}

impl<M: Clone + Debug + Default + EncodeMetric + TypedMetric + Metric> ByPool<M> {
    fn register(registry: &mut Registry, each: bool, name: &str, help: &str) -> ByPool<M> {
        if each {
            let family = Family::default();
            registry.register(name, help, family.clone());
            ByPool::Each(family)
        } else {
            let one = M::default();
            registry.register(name, help, one.clone());
            ByPool::One(one)
        }
    }

    fn of(&self, place: &Labels) -> M {
        match self {
            ByPool::One(metric) => metric.clone(),
            ByPool::Each(family) => family.get_or_create(place).clone(),
        }
    }
}

/// What a pool is now.
pub struct PoolGauges {
    /// Which one, where there are several.
    pub place: Labels,
    /// Nodes in its list.
    pub listed: usize,
    /// Of these, the ones that are avoided.
    pub ejected: usize,
}

/// The figures of a process.
pub struct Metrics {
    registry: Registry,
    ok: Family<Labels, Counter>,
    shed: Family<Labels, Counter>,
    errors: Family<Labels, Counter>,
    active: Gauge,
    tries: ByPool<Counter>,
    size: ByPool<Gauge>,
    ejected: ByPool<Gauge>,
    /// By class, and by pool where there are several.
    counts: RefCell<BTreeMap<(String, Labels), Rc<RequestCounters>>>,
    /// Pools whose attempts are told apart.
    tried: RefCell<BTreeSet<Labels>>,
}

impl Metrics {
    /// Of a process with one pool, which they do not name, or with several.
    pub fn new(several_pools: bool) -> Metrics {
        let mut registry = Registry::with_prefix("edge_lb");
        let mut family = |name: &str, help: &str| {
            let family = Family::<Labels, Counter>::default();
            registry.register(name, help, family.clone());
            family
        };
        let ok = family("ok", "Requests served");
        let shed = family("shed", "Requests refused");
        let errors = family("errors", "Requests failed");
        let tries =
            ByPool::register(&mut registry, several_pools, "tries", "Attempts written whole to backends");
        let active = Gauge::default();
        registry.register("active", "Requests taken and not ended", active.clone());
        let size = ByPool::register(&mut registry, several_pools, "pool_size", "Backends in the list");
        let help = "Listed backends that are avoided, by hand or by choice";
        let ejected = ByPool::register(&mut registry, several_pools, "pool_ejected", help);
        let (counts, tried) = (RefCell::default(), RefCell::default());
        Metrics { registry, ok, shed, errors, active, tries, size, ejected, counts, tried }
    }

    /// Where requests of a class are counted, by its pool where there are several.
    pub fn request_counters(&self, class: &str, place: &Labels) -> Rc<RequestCounters> {
        let mut counts = self.counts.borrow_mut();
        let mut key = (class.to_owned(), place.clone());
        if counts.len() >= MOST_SETS && !counts.contains_key(&key) {
            key = (OTHER.to_owned(), other(place));
        }
        let made = counts.entry(key).or_insert_with_key(|(class, place)| {
            let mut labels = vec![("kind", class.clone())];
            labels.extend(place.iter().cloned());
            let of = |family: &Family<Labels, Counter>| family.get_or_create(&labels).clone();
            let (ok, shed, errors) = (of(&self.ok), of(&self.shed), of(&self.errors));
            Rc::new(RequestCounters { ok, shed, errors, active: self.active.clone() })
        });
        Rc::clone(made)
    }

    /// RequestCounters attempts written whole to nodes of a pool, which may start more than once.
    pub fn attempts(&self, place: &Labels) -> Counter {
        let mut tried = self.tried.borrow_mut();
        if tried.len() >= MOST_SETS && !tried.contains(place) {
            return self.tries.of(&other(place));
        }
        tried.insert(place.clone());
        self.tries.of(place)
    }

    /// All of them as text; the state of the pools is told here.
    pub fn text(&self, pools: &[PoolGauges]) -> String {
        for by_pool in [&self.size, &self.ejected] {
            if let ByPool::Each(family) = by_pool {
                // Pools that a reload took away.
                family.clear();
            }
        }
        for pool in pools.iter().take(MOST_SETS) {
            self.size.of(&pool.place).set(pool.listed as i64);
            self.ejected.of(&pool.place).set(pool.ejected as i64);
        }
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// The place of all that is not told apart.
fn other(place: &Labels) -> Labels {
    place.iter().map(|(name, _)| (*name, OTHER.to_owned())).collect()
}

/// A request on its way to its fate. Nothing is counted where there are no figures, or before its class is known; one
/// that is dropped without a fate has failed.
#[derive(Default)]
pub struct Tally {
    counts: RefCell<Option<Rc<RequestCounters>>>,
    active: Cell<bool>,
}

impl Tally {
    /// It is one that counts here.
    pub fn is(&self, counts: Option<Rc<RequestCounters>>) {
        *self.counts.borrow_mut() = counts;
    }

    /// It has come whole.
    pub fn taken(&self) {
        if let (Some(counts), false) = (&*self.counts.borrow(), self.active.replace(true)) {
            counts.active.inc();
        }
    }

    /// That was its end; what is said after the first time is passed over.
    pub fn end(&self, fate: RequestOutcome) {
        let Some(counts) = self.counts.take() else { return };
        let count = match fate {
            RequestOutcome::Served => &counts.ok,
            RequestOutcome::Rejected => &counts.shed,
            RequestOutcome::Failed => &counts.errors,
        };
        count.inc();
        if self.active.take() {
            counts.active.dec();
        }
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.end(RequestOutcome::Failed);
    }
}

/// RequestCounters a message once its last byte is with the kernel.
#[derive(Default)]
pub struct Written(RefCell<Option<Counter>>);

impl Written {
    /// The next write is the last one of a message that this counts.
    pub fn at_next_write(&self, counter: &Counter) {
        *self.0.borrow_mut() = Some(counter.clone());
    }

    /// The message is not to be counted after all.
    pub fn not(&self) {
        self.0.take();
    }

    /// The kernel has taken bytes.
    pub fn wrote(&self) {
        if let Some(counter) = self.0.take() {
            counter.inc();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_way_out_is_counted_once_and_what_is_open_in_between() {
        let figures = Metrics::new(false);
        let classes = ["C", "D"].map(|class| figures.request_counters(class, &vec![]));
        let mut rng = fastrand::Rng::with_seed(11);
        let (mut open, mut taken, mut known) = (Vec::new(), 0, 0);
        for _ in 0..10_000 {
            match rng.u8(0..4) {
                0 => {
                    let tally = Tally::default();
                    if rng.u8(0..9) > 0 {
                        tally.is(Some(Rc::clone(&classes[rng.usize(0..2)])));
                        known += 1;
                        if rng.bool() {
                            tally.taken();
                            tally.taken();
                            taken += 1;
                            open.push(tally);
                        }
                    }
                }
                1 if !open.is_empty() => {
                    let tally = open.swap_remove(rng.usize(0..open.len()));
                    let fate = [RequestOutcome::Served, RequestOutcome::Rejected, RequestOutcome::Failed]
                        [rng.usize(0..3)];
                    tally.end(fate);
                    tally.end(RequestOutcome::Served);
                }
                2 if !open.is_empty() => drop(open.swap_remove(rng.usize(0..open.len()))),
                _ => {}
            }
            let ended: u64 = classes.iter().map(|c| c.ok.get() + c.shed.get() + c.errors.get()).sum();
            assert_eq!(figures.active.get(), open.len() as i64);
            assert_eq!(ended + open.len() as u64, known);
        }
        assert!(taken > 100);
    }

    fn is_told(text: &str, lines: &[&str]) {
        for line in lines {
            assert!(text.lines().any(|l| l == *line), "{line} in {text}");
        }
    }

    #[test]
    fn the_text_has_the_names_and_forms_that_operators_read() {
        let figures = Metrics::new(false);
        let tally = Tally::default();
        tally.is(Some(figures.request_counters("C", &vec![])));
        tally.taken();
        tally.end(RequestOutcome::Served);
        figures.attempts(&vec![]).inc();
        is_told(
            &figures.text(&[PoolGauges { place: vec![], listed: 7, ejected: 2 }]),
            &[
                "edge_lb_ok_total{kind=\"C\"} 1",
                "edge_lb_shed_total{kind=\"C\"} 0",
                "edge_lb_errors_total{kind=\"C\"} 0",
                "edge_lb_tries_total 1",
                "edge_lb_active 0",
                "edge_lb_pool_size 7",
                "edge_lb_pool_ejected 2",
            ],
        );
    }

    #[test]
    fn several_pools_are_told_apart_for_as_long_as_they_are_there_and_up_to_a_bound() {
        let figures = Metrics::new(true);
        let place = |pool: &str| vec![("pool", pool.to_owned())];
        figures.request_counters("C", &place("p")).ok.inc();
        figures.attempts(&place("p")).inc();
        let now = |name: &str| PoolGauges { place: place(name), listed: 3, ejected: 1 };
        is_told(
            &figures.text(&[now("p"), now("q")]),
            &[
                "edge_lb_ok_total{kind=\"C\",pool=\"p\"} 1",
                "edge_lb_tries_total{pool=\"p\"} 1",
                "edge_lb_pool_size{pool=\"q\"} 3",
            ],
        );
        assert!(!figures.text(&[now("q")]).contains("pool_size{pool=\"p\"}"), "it has gone");
        // A pool that starts time and again is one.
        for _ in 0..2 * MOST_SETS {
            figures.attempts(&place("p")).inc();
        }
        is_told(&figures.text(&[]), &[&format!("edge_lb_tries_total{{pool=\"p\"}} {}", 2 * MOST_SETS + 1)]);
        for class in 0..2 * MOST_SETS {
            figures.request_counters(&class.to_string(), &place("p")).ok.inc();
        }
        let text = figures.text(&[]);
        assert_eq!(text.matches("\nedge_lb_ok_total").count(), MOST_SETS + 1);
        is_told(&text, &[&format!("edge_lb_ok_total{{kind=\"_other\",pool=\"_other\"}} {}", MOST_SETS + 1)]);
    }
}
