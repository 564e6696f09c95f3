//! The permits of one connection and of one request, which enforce a tenant's limits on connections, requests
//! and attempts.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use config::Config;
use decide::EndpointFilter;
use hyper::StatusCode;
use limit::{Limiter, Permit, TenantId};

use super::tenants::HostedTenants;
use crate::clock::Clock;
use crate::exchange::{AttemptCounter, Execution};
use crate::inbox::DriverHandle;
use crate::router::{PoolSequence, Rejection, RejectionOutcome};
use crate::snapshot::PoolSelection;

/// Counts a connection towards its tenant's limit until dropped.
pub(super) struct ConnectionPermit {
    limiter: Rc<RefCell<Limiter>>,
    pub tenant: TenantId,
}

impl ConnectionPermit {
    pub fn acquire(limiter: &Rc<RefCell<Limiter>>, tenant: TenantId) -> Result<ConnectionPermit, Rejection> {
        limiter.borrow_mut().connect(tenant).map_err(rejection)?;
        Ok(ConnectionPermit { limiter: Rc::clone(limiter), tenant })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.borrow_mut().disconnect(self.tenant);
    }
}

/// Converts the limiter's rejection of a request or connection into a response.
fn rejection(rejection: limit::Rejection) -> Rejection {
    Rejection {
        status: StatusCode::TOO_MANY_REQUESTS,
        cause: Some(rejection.reason.name()),
        retry_after: rejection.retry_after,
    }
}

/// The priority weight of a class as a fraction of the tenant's highest, from 0 to 1; 1 if all weights are 0.
pub(super) fn priority_rank(config: &Config, class: usize) -> f64 {
    let weight = config.classes[class].parameters.priority_weight;
    let weights = config.classes.iter().map(|class| class.parameters.priority_weight);
    let max_weight = weights.fold(0.0, f64::max);
    if max_weight > 0.0 {
        weight / max_weight
    } else {
        1.0
    }
}

/// The pools of an admitted request, within the tenant's limit on attempts. Releases the request's permit
/// when dropped.
pub(super) struct LimitedPools {
    selection: PoolSelection,
    limiter: Rc<RefCell<Limiter>>,
    clock: Clock,
    /// The permit of the request; `None` only during the drop.
    permit: Option<Permit>,
    attempts: AttemptCounter,
}

impl LimitedPools {
    /// Admits a request with a body of at most `body` bytes.
    ///
    /// # Errors
    /// Returns an error if the request exceeds a limit of the tenant.
    pub fn admit(
        hosted: &HostedTenants,
        tenant: TenantId,
        priority_rank: f64,
        body: u64,
        selection: PoolSelection,
    ) -> Result<LimitedPools, Rejection> {
        let now = hosted.clock.now();
        let permit =
            hosted.limiter.borrow_mut().admit(now, tenant, priority_rank, body).map_err(rejection)?;
        Ok(LimitedPools {
            selection,
            limiter: Rc::clone(&hosted.limiter),
            clock: hosted.clock,
            permit: Some(permit),
            attempts: AttemptCounter::default(),
        })
    }

    /// The number of attempts that the request may still make; `None` if they are not limited.
    fn remaining_attempts(&self) -> Option<usize> {
        let max_attempts = self.permit.as_ref()?.max_attempts?;
        Some(max_attempts.saturating_sub(self.attempts.started()))
    }
}

impl Drop for LimitedPools {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.limiter.borrow_mut().release(self.clock.now(), permit, self.attempts.started());
        }
    }
}

impl PoolSequence for LimitedPools {
    fn driver(&self) -> &DriverHandle {
        self.selection.driver()
    }

    fn endpoint_filter(&self) -> Option<Arc<EndpointFilter>> {
        self.selection.endpoint_filter()
    }

    fn max_attempts(&self) -> usize {
        // 0 stands for the number in the settings.
        self.remaining_attempts().unwrap_or(0)
    }

    fn attempt_counter(&self) -> AttemptCounter {
        self.attempts.clone()
    }

    fn on_rejected(&mut self, execution: Execution) -> RejectionOutcome {
        // Attempts in all pools count towards the same limit.
        match self.selection.on_rejected(execution) {
            RejectionOutcome::NextPool if self.remaining_attempts() == Some(0) => RejectionOutcome::Final,
            outcome => outcome,
        }
    }
}
