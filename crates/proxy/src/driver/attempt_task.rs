//! The task that runs an attempt.

use std::rc::Rc;

use decide::Outcome;
use tokio::task::{spawn_local, AbortHandle};

use crate::exchange::AttemptResult;
use crate::inbox::{AttemptId, DriverHandle, DriverInput};
use crate::upstream::{AttemptRequest, UpstreamPool, WriteStarted};

/// A task that runs an attempt and reports its result.
pub struct AttemptTask {
    abort: AbortHandle,
    write_started: WriteStarted,
}

impl AttemptTask {
    /// Aborts the task and returns the outcome of the attempt.
    pub fn cancel(&self) -> Outcome {
        self.abort.abort();
        if self.write_started.get() {
            Outcome::Cancelled
        } else {
            Outcome::NotSent
        }
    }
}

/// Starts an attempt. The result is sent to `driver`; the connection is kept for reuse.
pub fn spawn(
    attempt: AttemptId,
    request: AttemptRequest,
    driver: &DriverHandle,
    upstream_pool: &Rc<UpstreamPool>,
) -> AttemptTask {
    let mut guard = ResultGuard::new(driver.clone(), attempt);
    let upstream_pool = Rc::clone(upstream_pool);
    let write_started = request.write_started.clone();
    let request = Rc::new(request);
    let task = spawn_local(async move {
        let end = upstream_pool.attempt(&request).await;
        guard.send(end.result);
        upstream_pool.reuse(request.endpoint, end.reusable_connection).await;
    });
    AttemptTask { abort: task.abort_handle(), write_started }
}

/// Reports a result for an attempt even if its task panics; the result is then [`Outcome::Reset`], because
/// the request may have been executed. If the task is aborted, the driver has already recorded the end and
/// ignores this result.
pub(super) struct ResultGuard {
    driver: DriverHandle,
    attempt: AttemptId,
    is_sent: bool,
}

impl ResultGuard {
    pub(super) fn new(driver: DriverHandle, attempt: AttemptId) -> ResultGuard {
        ResultGuard { driver, attempt, is_sent: false }
    }

    fn send(&mut self, result: AttemptResult) {
        self.is_sent = true;
        self.driver.send(DriverInput::AttemptEnded { attempt: self.attempt, result });
    }
}

impl Drop for ResultGuard {
    fn drop(&mut self) {
        if !self.is_sent {
            self.send(Outcome::Reset.into());
        }
    }
}
