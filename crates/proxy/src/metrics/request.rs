//! Counting of requests by class and final outcome.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

/// The outcome of a request from the client's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was answered by an endpoint.
    Served,
    /// The request was rejected with 429 or 503; a retry is safe.
    Rejected,
    /// The request ended in any other way.
    Failed,
}

/// The counters of one class, or of one class within one pool.
#[derive(Default)]
pub struct RequestCounters {
    pub(super) ok: Counter,
    pub(super) shed: Counter,
    pub(super) errors: Counter,
    /// Requests in flight in the whole process.
    pub(super) active: Gauge,
}

/// Records the outcome of one request exactly once.
///
/// Nothing is recorded before [`Self::set_counters`]. A recorder that is dropped without an outcome records a
/// failure.
#[derive(Default)]
pub struct RequestRecorder {
    counters: RefCell<Option<Rc<RequestCounters>>>,
    is_active: Cell<bool>,
}

impl RequestRecorder {
    /// Sets the counters of the request's class once the class is known. If `None`, the request is not
    /// counted.
    pub fn set_counters(&self, counters: Option<Rc<RequestCounters>>) {
        *self.counters.borrow_mut() = counters;
    }

    /// Counts the request as in flight from now on; called when it has been received completely.
    pub fn on_received(&self) {
        if let (Some(counters), false) = (&*self.counters.borrow(), self.is_active.replace(true)) {
            counters.active.inc();
        }
    }

    /// Records the outcome; later calls have no effect.
    pub fn record(&self, outcome: RequestOutcome) {
        let Some(counters) = self.counters.take() else { return };
        let counter = match outcome {
            RequestOutcome::Served => &counters.ok,
            RequestOutcome::Rejected => &counters.shed,
            RequestOutcome::Failed => &counters.errors,
        };
        counter.inc();
        if self.is_active.take() {
            counters.active.dec();
        }
    }
}

impl Drop for RequestRecorder {
    fn drop(&mut self) {
        self.record(RequestOutcome::Failed);
    }
}
