//! The sequence of pools that a request is submitted to along its route.

use std::rc::Rc;
use std::sync::Arc;

use decide::{EndpointFilter, Semantics};
use route::{PoolChoice, PoolId};

use super::ServingSnapshot;
use crate::exchange::Execution;
use crate::inbox::DriverHandle;
use crate::metrics::RequestCounters;
use crate::router::{PoolSequence, RejectionOutcome};

/// The current pool of a request, in the snapshot by which the request was routed.
pub struct PoolSelection {
    snapshot: Rc<ServingSnapshot>,
    /// The index of the route.
    route: usize,
    choice: PoolChoice,
}

impl PoolSelection {
    /// Creates a selection that starts with the first usable pool of the route, beginning at the preferred
    /// pool.
    pub fn new(snapshot: Rc<ServingSnapshot>, route: usize, preferred: PoolId) -> PoolSelection {
        let choice = snapshot.config.table.routes()[route]
            .first_pool(preferred, |pool| snapshot.endpoint_counts(route, pool));
        PoolSelection { snapshot, route, choice }
    }

    /// The counters of the current pool; `None` if requests are not counted.
    pub fn counters(&self) -> Option<Rc<RequestCounters>> {
        self.snapshot.counters[self.route].get(&self.choice.pool.0).cloned()
    }
}

impl PoolSequence for PoolSelection {
    fn driver(&self) -> &DriverHandle {
        &self.snapshot.pools[self.choice.pool.0].driver
    }

    fn endpoint_filter(&self) -> Option<Arc<EndpointFilter>> {
        self.snapshot.filters[self.route][self.choice.pool.0].clone()
    }

    fn on_rejected(&mut self, execution: Execution) -> RejectionOutcome {
        let config = &self.snapshot.config;
        let route = &config.table.routes()[self.route];
        let is_idempotent = config.classes[route.class].parameters.semantics == Semantics::Idempotent;
        if execution == Execution::Possible && !is_idempotent {
            // Duplicates are detected within one pool only. If a client's retry could reach another pool, a
            // rejection would wrongly indicate that the retry is safe.
            let has_other_pool = route.pools().nth(1).is_some();
            return if has_other_pool { RejectionOutcome::Failed } else { RejectionOutcome::Final };
        }
        match route.after_rejection(self.choice, |pool| self.snapshot.endpoint_counts(self.route, pool)) {
            Some(choice) => {
                self.choice = choice;
                RejectionOutcome::NextPool
            }
            None => RejectionOutcome::Final,
        }
    }
}
