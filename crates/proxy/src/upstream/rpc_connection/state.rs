//! The state of a JSON-RPC connection: pending calls, frames to write, and the times of use and receipt.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use jsonrpc::{code, Framing, InvalidMessage, Limits, Message, Parsed, Response};
use serde_json::value::RawValue;
use tokio::io::AsyncWrite;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

use super::call::{CallBytesWritten, CallResult};
use super::outgoing_frame::OutgoingFrame;
use super::RpcSettings;
use crate::exchange::MAX_BUFFERED_BODY_BYTES;
use crate::socket::Socket;
use crate::upstream::attempt_error::NotSentReason;

/// The largest frame in bytes: the largest result and the message that encloses it.
const MAX_FRAME_BYTES: usize = MAX_BUFFERED_BODY_BYTES + (4 << 10);
/// The number of frames that may be queued for each call that may be in flight: the call and its
/// cancellation.
const QUEUED_FRAMES_PER_CALL: usize = 2;

/// The state that the task of a connection shares with the calls on it.
pub struct ConnectionState {
    settings: RpcSettings,
    pending_calls: RefCell<HashMap<String, PendingCall>>,
    queue: RefCell<VecDeque<OutgoingFrame>>,
    queue_extended: Notify,
    /// Whether the connection accepts no further calls.
    is_closed: Cell<bool>,
    last_received: Cell<Instant>,
    last_used: Cell<Instant>,
    call_ids: CallIdGenerator,
}

/// A call without a response.
pub struct PendingCall {
    /// The channel to which the result is sent.
    pub result: oneshot::Sender<CallResult>,
    /// The number of bytes of the call that were written.
    pub progress: CallBytesWritten,
    /// The number of bytes that must be written before an endpoint may execute the call; `None` before the call
    /// is encoded.
    pub message_len: Option<usize>,
}

impl PendingCall {
    fn is_written(&self) -> bool {
        self.message_len.is_some_and(|message_len| self.progress.bytes() >= message_len)
    }

    fn end(self, result: CallResult) {
        // Sending fails if the call was abandoned, which is harmless.
        let _ = self.result.send(result);
    }
}

/// Whether a connection can still be read after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadState {
    /// Further messages can be read.
    Open,
    /// The message violates the protocol, so the connection must be closed.
    Invalid,
}

/// Generates call ids that an endpoint cannot guess.
#[derive(Default)]
struct CallIdGenerator {
    hasher: RandomState,
    last: Cell<u64>,
}

impl CallIdGenerator {
    fn next(&self) -> String {
        self.last.set(self.last.get() + 1);
        format!("{:016x}", self.hasher.hash_one(self.last.get()))
    }
}

/// The bounds of a message from an endpoint.
pub fn message_limits() -> Limits {
    Limits { message_bytes: MAX_FRAME_BYTES, ..Limits::default() }
}

impl ConnectionState {
    /// Creates the state of a new connection.
    pub fn new(settings: RpcSettings) -> ConnectionState {
        ConnectionState {
            settings,
            pending_calls: RefCell::default(),
            queue: RefCell::default(),
            queue_extended: Notify::new(),
            is_closed: Cell::new(false),
            last_received: Cell::new(Instant::now()),
            last_used: Cell::new(Instant::now()),
            call_ids: CallIdGenerator::default(),
        }
    }

    /// The framing that delimits messages.
    pub fn framing(&self) -> Framing {
        self.settings.framing
    }

    /// Whether another call may be sent.
    pub fn has_capacity(&self) -> bool {
        !self.is_closed()
            && self.pending_calls.borrow().len() < self.settings.max_concurrent_calls
            && self.has_queue_capacity()
    }

    fn has_queue_capacity(&self) -> bool {
        self.queue.borrow().len() < QUEUED_FRAMES_PER_CALL * self.settings.max_concurrent_calls
    }

    /// Whether the connection accepts no further calls.
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Accepts no further calls. Calls in flight continue.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// The time since when there has been no call; `None` while there is one.
    pub fn idle_since(&self) -> Option<Instant> {
        self.pending_calls.borrow().is_empty().then(|| self.last_used.get())
    }

    /// Sets the time of the last use to now.
    pub fn mark_used(&self) {
        self.last_used.set(Instant::now());
    }

    /// Whether anything was received at this time or later.
    pub fn has_received_since(&self, time: Instant) -> bool {
        self.last_received.get() >= time
    }

    // ---- Calls ----

    /// Generates an id that no pending call has.
    pub fn new_call_id(&self) -> String {
        loop {
            let id = self.call_ids.next();
            if !self.pending_calls.borrow().contains_key(&id) {
                return id;
            }
        }
    }

    /// The number of bytes of a frame after which an endpoint may execute the call. With [`Framing::Line`]
    /// this excludes the line end, because a lenient endpoint accepts a line without its end as a complete
    /// message.
    fn message_len(&self, frame_len: usize) -> usize {
        match self.settings.framing {
            Framing::Line => frame_len - 1,
            Framing::ContentLength => frame_len,
        }
    }

    /// Adds a call, and queues it for writing.
    pub fn start_call(&self, id: String, call: PendingCall, frame: OutgoingFrame) {
        self.pending_calls.borrow_mut().insert(id, call);
        self.enqueue(frame);
        self.mark_used();
        if self.is_closed() {
            // The task may have ended, in which case nothing would end this call.
            self.end_all_calls();
        }
    }

    /// Forgets a call, whose response is then ignored. Returns false if the call has already ended.
    pub fn forget_call(&self, id: &str) -> bool {
        self.pending_calls.borrow_mut().remove(id).is_some()
    }

    /// Removes the frame of a call from the queue. Must be called only if nothing of the call was written.
    pub fn withdraw_frame(&self, id: &str) {
        self.queue.borrow_mut().retain(|frame| frame.unwritten_call() != Some(id));
    }

    /// Queues the notification that cancels a call, if the endpoint supports it and the queue has capacity.
    pub fn send_cancellation(&self, id: &str) {
        let Some(method) = &self.settings.cancel_method else { return };
        if !self.has_queue_capacity() {
            return;
        }
        let params = RawValue::from_string(format!("{{\"id\":\"{id}\"}}")).ok();
        let message = jsonrpc::encode_request(None, method, params.as_deref());
        let frame = jsonrpc::encode_frame(self.settings.framing, &message);
        self.enqueue(OutgoingFrame::notification(frame.into()));
    }

    fn enqueue(&self, frame: OutgoingFrame) {
        self.queue.borrow_mut().push_back(frame);
        self.queue_extended.notify_one();
    }

    /// Ends all calls because the connection has closed.
    pub fn end_all_calls(&self) {
        self.close();
        for (_, call) in self.pending_calls.borrow_mut().drain() {
            let result = if call.is_written() { CallResult::Unknown } else { CallResult::NotWritten };
            call.end(result);
        }
        self.queue.borrow_mut().clear();
    }

    // ---- Writing ----

    /// Whether any frame is queued.
    pub fn has_queued_frames(&self) -> bool {
        !self.queue.borrow().is_empty()
    }

    /// Waits until a frame is queued.
    pub async fn queue_extended(&self) {
        self.queue_extended.notified().await;
    }

    /// Writes some bytes of the first frame. A frame leaves the queue only when all of it is written, so that
    /// a call can be withdrawn until its first byte is written. Whether a call may still be sent is checked when
    /// the socket is writable, because the endpoint may have read nothing for long.
    pub fn poll_write(&self, socket: &mut Socket, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(socket.poll_write_ready(cx))?;
        let mut queue = self.queue.borrow_mut();
        let Some(first) = queue.front_mut() else { return Poll::Pending };
        let frame = match first.encode(self.framing()) {
            Ok(frame) => frame,
            Err(reason) => {
                let withdrawn = queue.pop_front();
                drop(queue);
                self.withdraw(withdrawn.as_ref().and_then(OutgoingFrame::unwritten_call), reason);
                return Poll::Ready(Ok(()));
            }
        };
        let written = ready!(Pin::new(socket).poll_write(cx, &frame[first.written()..]))?;
        if let Some(id) = first.unwritten_call() {
            if let Some(call) = self.pending_calls.borrow_mut().get_mut(id) {
                call.message_len = Some(self.message_len(frame.len()));
            }
        }
        if first.on_written(frame, written) {
            queue.pop_front();
        }
        Poll::Ready(Ok(()))
    }

    /// Ends a call of which nothing was written, because it may no longer be sent.
    fn withdraw(&self, call_id: Option<&str>, reason: NotSentReason) {
        let call = call_id.and_then(|id| self.pending_calls.borrow_mut().remove(id));
        if let Some(call) = call {
            call.end(CallResult::Withdrawn(reason));
        }
    }

    // ---- Reading ----

    /// Handles a message from the endpoint.
    pub fn on_message(&self, frame: &[u8]) -> ReadState {
        self.last_received.set(Instant::now());
        let entries = match jsonrpc::parse(frame, &message_limits()) {
            Ok(Parsed::One(entry)) => vec![entry],
            Ok(Parsed::Batch(entries)) => entries,
            Err(_) => return ReadState::Invalid,
        };
        for entry in entries {
            if self.on_entry(entry) == ReadState::Invalid {
                return ReadState::Invalid;
            }
        }
        ReadState::Open
    }

    fn on_entry(&self, entry: Result<Message<'_>, InvalidMessage<'_>>) -> ReadState {
        match entry {
            Ok(Message::Response(response)) => self.on_response(&response),
            // Calls and notifications from endpoints are ignored.
            Ok(Message::Call(_)) => ReadState::Open,
            Err(invalid) => {
                if let Some(call) = invalid.id.and_then(|id| self.take_call(id)) {
                    call.end(CallResult::Unknown);
                }
                ReadState::Open
            }
        }
    }

    fn on_response(&self, response: &Response<'_>) -> ReadState {
        // A response without a pending call is ignored: the call was abandoned or never sent.
        let Some(call) = self.take_call(response.id) else { return ReadState::Open };
        if !call.is_written() {
            // The endpoint cannot have received this call in full, so the response is not valid.
            call.end(CallResult::Unknown);
            return ReadState::Invalid;
        }
        call.end(call_result(response));
        ReadState::Open
    }

    fn take_call(&self, id: &RawValue) -> Option<PendingCall> {
        let id: String = serde_json::from_str(id.get()).ok()?;
        self.pending_calls.borrow_mut().remove(&id)
    }
}

fn call_result(response: &Response<'_>) -> CallResult {
    match response.outcome {
        Ok(result) if result.get().len() <= MAX_BUFFERED_BODY_BYTES => CallResult::Result(result.to_owned()),
        // The call was executed but its response is too large to use, as with HTTP.
        Ok(_) => CallResult::Unknown,
        Err(_) => CallResult::Error(response.error().map_or(code::INTERNAL_ERROR, |(code, _)| code)),
    }
}
