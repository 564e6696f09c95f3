//! What operators read: requests by how they ended, attempts, what is open. One registry a process, in the text format of
//! OpenMetrics.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    kind: String,
}

/// How a request ended, for whoever asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A backend's answer.
    Served,
    /// 429 or 503: trying again is harmless.
    Refused,
    /// Anything else.
    Failed,
}

/// The counts of one class.
struct Class {
    ok: Counter,
    shed: Counter,
    errors: Counter,
}

/// The figures of a process.
pub struct Figures {
    registry: Registry,
    classes: Vec<Class>,
    active: Gauge,
    tries: Counter,
    size: Gauge,
    ejected: Gauge,
}

impl Figures {
    /// For classes of these names, in their order.
    pub fn new(classes: &[String]) -> Figures {
        let mut registry = Registry::with_prefix("edge_lb");
        let mut family = |name: &str, help: &str| {
            let family = Family::<Kind, Counter>::default();
            registry.register(name, help, family.clone());
            family
        };
        let ok = family("ok", "Requests served");
        let shed = family("shed", "Requests refused");
        let errors = family("errors", "Requests failed");
        let tries = Counter::default();
        registry.register("tries", "Attempts written whole to backends", tries.clone());
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::<i64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let active = gauge("active", "Requests taken and not ended");
        let size = gauge("pool_size", "Backends in the list");
        let ejected = gauge("pool_ejected", "Listed backends that are avoided, by hand or by choice");
        let of = |family: &Family<Kind, Counter>, kind: &String| {
            family.get_or_create(&Kind { kind: kind.clone() }).clone()
        };
        let class = |kind| Class { ok: of(&ok, kind), shed: of(&shed, kind), errors: of(&errors, kind) };
        let classes = classes.iter().map(class).collect();
        Figures { registry, classes, active, tries, size, ejected }
    }

    /// Counts attempts written whole.
    pub fn tries(&self) -> Counter {
        self.tries.clone()
    }

    /// All of them as text; the state of the pool is told here.
    pub fn text(&self, listed: usize, avoided: usize) -> String {
        self.size.set(listed as i64);
        self.ejected.set(avoided as i64);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// A request on its way to its fate. Nothing is counted where there are no figures, or before its class is known; one
/// that is dropped without a fate has failed.
pub struct Tally {
    figures: Option<Rc<Figures>>,
    class: Cell<Option<usize>>,
    active: Cell<bool>,
}

impl Tally {
    /// Of a request that nothing is known of yet.
    pub fn new(figures: Option<&Rc<Figures>>) -> Tally {
        Tally { figures: figures.cloned(), class: Cell::new(None), active: Cell::new(false) }
    }

    /// It is one of this class.
    pub fn is(&self, class: usize) {
        self.class.set(Some(class));
    }

    /// It has come whole.
    pub fn taken(&self) {
        if let (Some(figures), Some(_), false) = (&self.figures, self.class.get(), self.active.replace(true))
        {
            figures.active.inc();
        }
    }

    /// That was its end; what is said after the first time is passed over.
    pub fn end(&self, fate: Fate) {
        let Some(figures) = &self.figures else { return };
        if let Some(class) = self.class.take().and_then(|class| figures.classes.get(class)) {
            let count = match fate {
                Fate::Served => &class.ok,
                Fate::Refused => &class.shed,
                Fate::Failed => &class.errors,
            };
            count.inc();
            if self.active.take() {
                figures.active.dec();
            }
        }
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.end(Fate::Failed);
    }
}

/// Counts a message once its last byte is with the kernel.
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
        let figures = Rc::new(Figures::new(&["C".to_owned(), "D".to_owned()]));
        let mut rng = fastrand::Rng::with_seed(11);
        let (mut open, mut taken, mut known) = (Vec::new(), 0, 0);
        for _ in 0..10_000 {
            match rng.u8(0..4) {
                0 => {
                    let tally = Tally::new(Some(&figures));
                    if rng.u8(0..9) > 0 {
                        tally.is(rng.usize(0..2));
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
                    let fate = [Fate::Served, Fate::Refused, Fate::Failed][rng.usize(0..3)];
                    tally.end(fate);
                    tally.end(Fate::Served);
                }
                2 if !open.is_empty() => drop(open.swap_remove(rng.usize(0..open.len()))),
                _ => {}
            }
            let ended: u64 = figures.classes.iter().map(|c| c.ok.get() + c.shed.get() + c.errors.get()).sum();
            assert_eq!(figures.active.get(), open.len() as i64);
            assert_eq!(ended + open.len() as u64, known);
        }
        assert!(taken > 100);
    }

    #[test]
    fn the_text_has_the_names_and_forms_that_operators_read() {
        let figures = Rc::new(Figures::new(&["C".to_owned()]));
        let tally = Tally::new(Some(&figures));
        tally.is(0);
        tally.taken();
        tally.end(Fate::Served);
        figures.tries().inc();
        let text = figures.text(7, 2);
        for line in [
            "edge_lb_ok_total{kind=\"C\"} 1",
            "edge_lb_shed_total{kind=\"C\"} 0",
            "edge_lb_errors_total{kind=\"C\"} 0",
            "edge_lb_tries_total 1",
            "edge_lb_active 0",
            "edge_lb_pool_size 7",
            "edge_lb_pool_ejected 2",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} in {text}");
        }
    }
}
