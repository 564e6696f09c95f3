//! A call in flight on a JSON-RPC connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::value::RawValue;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::outgoing_frame::OutgoingFrame;
use super::state::PendingCall;
use super::RpcConnection;
use crate::upstream::attempt_error::NotSentReason;

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
    /// Nothing was written, because the call may no longer be sent.
    Withdrawn(NotSentReason),
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
    /// Queues a call on a connection; see [`RpcConnection::send`].
    pub(super) fn start(
        connection: Rc<RpcConnection>,
        progress: CallBytesWritten,
        encode: impl Fn(&str) -> Result<Vec<u8>, NotSentReason> + 'static,
    ) -> InFlightCall {
        let state = &connection.state;
        let id = state.new_call_id();
        let (sender, result) = oneshot::channel();
        progress.reset();
        let pending = PendingCall { result: sender, progress: progress.clone(), message_len: None };
        state.start_call(id.clone(), pending, OutgoingFrame::call(id.clone(), encode, progress.clone()));
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
