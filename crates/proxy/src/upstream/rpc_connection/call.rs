//! A call in flight.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::value::RawValue;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::state::{OutgoingFrame, PendingCall};
use super::RpcConnection;

/// An endpoint that has sent nothing at all for so long, while a call waited that was then abandoned, gets its next calls
/// on another connection.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// How a call ended.
#[derive(Debug)]
pub enum CallResult {
    /// The endpoint answered with this result.
    Result(Box<RawValue>),
    /// The endpoint answered with an error object of this code.
    Error(i64),
    /// The connection closed before the call was written in full, so it was not executed.
    NotWritten,
    /// The connection closed after that, or the response is malformed: it may have been executed.
    Unknown,
}

/// The bytes of a call that the kernel has taken for sending. Copies share the count.
#[derive(Clone, Debug, Default)]
pub struct CallBytesWritten(Rc<Cell<usize>>);

impl CallBytesWritten {
    /// The bytes so far.
    pub fn bytes(&self) -> usize {
        self.0.get()
    }

    /// Starts over, for another connection.
    pub fn reset(&self) {
        self.0.set(0);
    }

    pub(super) fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }
}

/// A call in flight. Dropping it abandons the call: it is withdrawn if nothing of it was written, and cancelled otherwise.
pub struct InFlightCall {
    connection: Rc<RpcConnection>,
    id: String,
    progress: CallBytesWritten,
    result: oneshot::Receiver<CallResult>,
    started_at: Instant,
}

impl InFlightCall {
    /// Queues a call on a connection.
    pub(super) fn start(
        connection: Rc<RpcConnection>,
        progress: CallBytesWritten,
        message: impl FnOnce(&str) -> Vec<u8>,
    ) -> InFlightCall {
        let state = &connection.state;
        let id = state.new_call_id();
        let frame = state.frame(&message(&format!("\"{id}\"")));
        let (sender, result) = oneshot::channel();
        progress.reset();
        let pending = PendingCall {
            result: sender,
            progress: progress.clone(),
            message_len: state.message_len(frame.len()),
        };
        let frame = OutgoingFrame { call_id: Some(id.clone()), frame, progress: progress.clone() };
        state.start_call(id.clone(), pending, frame);
        InFlightCall { connection, id, progress, result, started_at: Instant::now() }
    }

    /// Waits for the result.
    pub async fn result(mut self) -> CallResult {
        (&mut self.result).await.unwrap_or(CallResult::Unknown)
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        let state = &self.connection.state;
        state.mark_used();
        if !state.forget_call(&self.id) {
            // It has its result.
            return;
        }
        if self.progress.bytes() == 0 {
            state.withdraw_frame(&self.id);
            return;
        }
        if !state.has_received_since(self.started_at) && self.started_at.elapsed() > SILENCE_TIMEOUT {
            state.close();
        }
        state.send_cancellation(&self.id);
    }
}
