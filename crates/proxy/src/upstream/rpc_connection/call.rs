//! A call in flight on a JSON-RPC connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::value::RawValue;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::state::{OutgoingFrame, PendingCall};
use super::RpcConnection;

/// If a call is abandoned after this time and the connection has received nothing since the call was started,
/// the next calls use another connection.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The end of a call.
#[derive(Debug)]
pub enum CallResult {
    /// The endpoint responded with this result.
    Result(Box<RawValue>),
    /// The endpoint responded with an error object that has this code.
    Error(i64),
    /// The connection closed before the call was written in full, so it was not executed.
    NotWritten,
    /// The connection closed after the call was written in full, or the response is unusable. The call may
    /// have been executed.
    Unknown,
}

/// The number of bytes of a call that the kernel has accepted for sending. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct CallBytesWritten(Rc<Cell<usize>>);

impl CallBytesWritten {
    /// The number of bytes so far.
    pub fn bytes(&self) -> usize {
        self.0.get()
    }

    /// Resets the count to 0 when the call is sent on another connection.
    pub fn reset(&self) {
        self.0.set(0);
    }

    pub(super) fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }
}

/// A call in flight. Dropping it abandons the call, which is withdrawn from the queue if nothing of it was
/// written, and cancelled by a notification otherwise.
pub struct InFlightCall {
    connection: Rc<RpcConnection>,
    id: String,
    progress: CallBytesWritten,
    result: oneshot::Receiver<CallResult>,
    started_at: Instant,
}

impl InFlightCall {
    /// Queues a call on a connection. `message` builds the call from its id, which is encoded as JSON.
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
            // The call has ended.
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
