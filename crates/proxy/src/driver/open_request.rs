//! A request without its final response, and the tasks of its attempts.

use std::rc::Rc;

use decide::{EndpointId, Outcome};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::attempt_history::{AttemptHistory, RunningAttempt};
use super::attempt_task::AttemptTask;
use crate::body::StreamingBody;
use crate::exchange::{AttemptCounter, ClientTimeout, DisconnectProbe, FinalResponse, UpstreamRequest};
use crate::inbox::AttemptTarget;
use crate::upstream::{AttemptRequest, WriteStarted};

/// What the balancer decided on an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTerms {
    /// The endpoint to send to.
    pub endpoint: EndpointId,
    /// When the attempt times out.
    pub deadline: Instant,
    /// The time from which on nothing may be written; `None` for no limit.
    pub write_before: Option<Instant>,
}

/// A request without its final response.
pub struct OpenRequest {
    message: Rc<UpstreamRequest>,
    disconnect_probe: DisconnectProbe,
    /// `None` once the response has been sent.
    response: Option<oneshot::Sender<FinalResponse>>,
    attempt_counter: AttemptCounter,
    history: AttemptHistory,
    /// The tasks of the attempts, by number.
    tasks: Vec<AttemptTask>,
}

impl OpenRequest {
    /// Creates a request that has no attempts yet.
    pub fn new(
        message: Rc<UpstreamRequest>,
        disconnect_probe: DisconnectProbe,
        attempt_counter: AttemptCounter,
        response: oneshot::Sender<FinalResponse>,
    ) -> OpenRequest {
        OpenRequest {
            message,
            disconnect_probe,
            response: Some(response),
            attempt_counter,
            history: AttemptHistory::default(),
            tasks: Vec::new(),
        }
    }

    /// The body of the request, if it is streamed.
    pub fn streamed_body(&self) -> Option<&Rc<StreamingBody>> {
        self.message.body().streaming()
    }

    /// Whether the client has closed the connection, even if the input `ClientDisconnected` has not arrived
    /// yet.
    pub fn is_client_disconnected(&self) -> bool {
        self.disconnect_probe.is_disconnected()
    }

    /// The number of attempts so far.
    pub fn attempt_count(&self) -> usize {
        self.history.len()
    }

    /// Builds the next attempt.
    pub fn attempt_request(&self, terms: AttemptTerms) -> AttemptRequest {
        let client_timeout = self.message.extensions().get::<ClientTimeout>();
        AttemptRequest {
            endpoint: terms.endpoint,
            message: Rc::clone(&self.message),
            disconnect_probe: self.disconnect_probe.clone(),
            deadline: terms.deadline,
            write_before: terms.write_before,
            client_timeout: client_timeout.map(|timeout| timeout.0),
            write_started: WriteStarted::default(),
            attempts: self.attempt_counter.clone(),
        }
    }

    /// Records an attempt that has started.
    pub fn record_attempt(&mut self, target: AttemptTarget, task: AttemptTask) {
        self.attempt_counter.increment();
        self.history.start(target);
        self.tasks.push(task);
    }

    /// Records the end of an attempt and returns its target. Returns `None` if there is no such attempt or it
    /// had already ended.
    pub fn end_attempt(&mut self, number: usize, outcome: Outcome) -> Option<AttemptTarget> {
        self.history.end(number, outcome)
    }

    /// The attempts that have not ended.
    pub fn running_attempts(&self) -> impl Iterator<Item = RunningAttempt> + '_ {
        self.history.running()
    }

    /// Cancels an attempt and returns its outcome, or `None` if it is not running. Does not record the end:
    /// that is left to [`OpenRequest::end_attempt`].
    pub fn cancel_attempt(&self, number: usize) -> Option<Outcome> {
        let task = self.tasks.get(number).filter(|_| self.history.is_running(number))?;
        Some(task.cancel())
    }

    /// Whether no attempt can have been executed.
    pub fn never_ran(&self) -> bool {
        self.history.never_ran()
    }

    /// The response when the balancer fails the request.
    pub fn failure_response(&self) -> FinalResponse {
        if self.history.last_timed_out() {
            FinalResponse::TimedOut
        } else {
            FinalResponse::Failed
        }
    }

    /// Sends the final response.
    pub fn respond(&mut self, response: FinalResponse) {
        if let Some(sender) = self.response.take() {
            // Sending fails if the client has just disconnected, which is harmless.
            let _ = sender.send(response);
        }
    }

    /// Aborts the running attempts without recording their ends, and responds with [`FinalResponse::Failed`].
    pub fn fail(mut self) {
        for attempt in self.history.running() {
            self.tasks[attempt.number].cancel();
        }
        self.respond(FinalResponse::Failed);
    }
}
