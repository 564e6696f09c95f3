//! The operators' actions in the standalone mode.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use membership::MaintenanceRejection;

use super::CurrentSnapshot;
use crate::operators::{unique_endpoint, MaintenanceTarget, OperatorActions, OperatorContext};

/// The operators' actions on the current snapshot.
pub(super) struct Operations {
    context: OperatorContext,
    current: CurrentSnapshot,
    shutting_down: Rc<Cell<bool>>,
}

impl Operations {
    pub fn new(
        context: OperatorContext,
        current: &CurrentSnapshot,
        shutting_down: &Rc<Cell<bool>>,
    ) -> Operations {
        Operations { context, current: Rc::clone(current), shutting_down: Rc::clone(shutting_down) }
    }
}

impl OperatorActions for Operations {
    fn is_serving(&self) -> bool {
        self.current.borrow().is_ready() && !self.shutting_down.get()
    }

    fn metrics_text(&self) -> Pin<Box<dyn Future<Output = String> + '_>> {
        let snapshot = Rc::clone(&self.current.borrow());
        Box::pin(async move { self.context.metrics.encode(&snapshot.gauges().await) })
    }

    fn maintenance_target(&self, id: &str) -> Result<MaintenanceTarget<'_>, MaintenanceRejection> {
        let endpoint = unique_endpoint(id, self.current.borrow().operator_names(id))?;
        Ok(MaintenanceTarget { store: &self.context.maintenance, endpoint })
    }
}
