//! JSON-RPC client connections, which carry many concurrent calls; each is answered as soon as its response
//! is available.
//!
//! The number of open calls is limited: at the limit no further message is read until a response has been
//! written. Only the last batch read may exceed the limit.
//! Before this proxy closes a connection, it reads what had arrived when it decided on the close and no more,
//! answers the open calls, and sends a notification with the number of messages read. A client that goes on
//! sending thus cannot delay the close.

mod batch;
mod call;
mod output;
mod response;

use std::collections::BTreeSet;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jsonrpc::{code, Call, FrameDecoder, Framing, FramingError, Limits, Message, MessageResult, Parsed};
use serde_json::json;
use serde_json::value::RawValue;
use tokio::io::AsyncWrite;
use tokio::task::{yield_now, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};

use self::batch::execute_batch;
use self::call::PreparedCall;
use self::output::OutputQueue;
use self::response::{encode_duplicate_id, encode_invalid_message};
use super::connection::{ClosePhase, DownstreamConnection};
use super::cut_off::{CutOffReason, CutOffStream, RequestId};
use super::ListenerState;
use crate::socket::{Socket, NO_HEAD_CAPTURE};

/// A client that reads nothing of its responses for this long is disconnected. The time restarts when a call
/// ends.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The time that a client has to close its side after the last response; closing earlier would lose data in
/// transit.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of reads without a message after which other connections are served first. More than the largest
/// message needs; a client that sends only empty lines is not bounded by the limit on open calls.
const MAX_READS_WITHOUT_MESSAGE: u32 = 8;
/// The method of the notification that is sent before this proxy closes a connection.
const CLOSING_METHOD: &str = "$/closing";

/// Serves a connection until it ends. No message is read while `max_open_calls` or more calls are open.
pub async fn serve(
    listener: &Rc<ListenerState>,
    connection: &Rc<DownstreamConnection>,
    socket: Socket,
    framing: Framing,
    max_open_calls: usize,
) {
    let mut rpc = DownstreamRpcConnection {
        listener: Rc::clone(listener),
        connection: Rc::clone(connection),
        framing,
        decoder: FrameDecoder::new(framing, Limits::default()),
        max_open_calls,
        open_calls: 0,
        open_ids: BTreeSet::new(),
        running: JoinSet::new(),
        messages_read: 0,
        output: OutputQueue::default(),
        is_framing_broken: false,
        is_over_connection_limit: false,
        closing_input_bytes: None,
        reads_without_message: 0,
    };
    // Calls that are still open when this returns are cancelled, because their client has disconnected.
    tokio::select! {
        biased;
        () = rpc.run(socket) => {}
        () = connection.aborted() => {}
    }
}

struct DownstreamRpcConnection {
    listener: Rc<ListenerState>,
    connection: Rc<DownstreamConnection>,
    framing: Framing,
    decoder: FrameDecoder,
    max_open_calls: usize,
    /// The number of calls whose responses are not completely written.
    open_calls: usize,
    /// The normalized ids of executing calls.
    open_ids: BTreeSet<String>,
    running: JoinSet<FinishedCalls>,
    messages_read: u64,
    output: OutputQueue,
    /// Whether a framing error has made the start of the next message unknown.
    is_framing_broken: bool,
    /// Whether the limit on connections rejects this connection.
    is_over_connection_limit: bool,
    /// The number of bytes that are still read, once it is decided that this side closes the connection: those
    /// that had arrived by then.
    closing_input_bytes: Option<u64>,
    /// The number of reads since the last message or yield.
    reads_without_message: u32,
}

/// The executed calls of one message.
struct FinishedCalls {
    /// The encoded response; `None` if the calls are notifications.
    response: Option<Vec<u8>>,
    calls: usize,
    ids: Vec<String>,
}

impl DownstreamRpcConnection {
    async fn run(&mut self, socket: Socket) {
        // The responses to all open calls together may exceed the kernel's buffer.
        socket.limit_unsent_bytes();
        let (mut reader, mut writer) = (socket.clone(), socket.clone());
        let mut is_paused = false;
        let mut last_progress_at = Instant::now();
        loop {
            self.decode_messages();
            let is_busy = self.open_calls > 0 || !self.output.is_empty();
            self.connection.set_busy(is_busy);
            self.limit_input_if_closing(&socket, is_busy);
            let can_read = self.can_take_message() && self.closing_input_bytes != Some(0);
            let is_closing = self.closing_input_bytes.is_some() || self.is_framing_broken;
            if is_closing && !can_read && !is_busy {
                break;
            }
            if can_read && is_paused {
                // The client did not cause the pause, so the timeout of its message restarts.
                socket.start_next_message(NO_HEAD_CAPTURE);
            }
            is_paused = !can_read;
            let next_phase = next_close_phase(self.connection.close_phase());
            tokio::select! {
                biased;
                () = self.connection.close_phase_reached(next_phase), if self.closing_input_bytes.is_none() => {}
                Some(finished) = self.running.join_next() => {
                    if let Ok(finished) = finished {
                        self.on_calls_finished(finished);
                        last_progress_at = Instant::now();
                    }
                }
                written = self.output.write_to(&mut writer), if !self.output.is_empty() => match written {
                    Ok(bytes) => {
                        last_progress_at = Instant::now();
                        self.open_calls -= self.output.remove_written(bytes);
                    }
                    Err(_) => return,
                },
                () = sleep_until(last_progress_at + WRITE_STALL_TIMEOUT), if !self.output.is_empty() => {
                    let (id, bytes) = (RequestId::default(), socket.bytes_written());
                    let reason = CutOffReason::ClientStalled;
                    self.listener.frontend.cut_offs.record(CutOffStream::Connection, reason, &id, bytes);
                    return;
                }
                read = reader.read_some(|bytes| self.decoder.push(bytes)), if can_read => match read {
                    // A client that closes its sending side counts as disconnected, the same as over HTTP.
                    Ok(0) | Err(_) => return,
                    Ok(bytes) => {
                        self.on_input(bytes as u64);
                        if self.reads_without_message > MAX_READS_WITHOUT_MESSAGE {
                            self.reads_without_message = 0;
                            yield_now().await;
                        }
                    }
                },
            }
        }
        self.close(&mut writer, &mut reader).await;
    }

    /// Decides which input is still read once this side closes the connection.
    fn limit_input_if_closing(&mut self, socket: &Socket, is_busy: bool) {
        let is_closing = match self.connection.close_phase() {
            ClosePhase::Open => self.is_over_connection_limit,
            ClosePhase::AfterResponse => is_busy || self.is_over_connection_limit,
            ClosePhase::WhenIdle => true,
        };
        if is_closing && self.closing_input_bytes.is_none() {
            self.closing_input_bytes = Some(socket.unread_bytes().unwrap_or(0));
        }
    }

    fn on_input(&mut self, bytes: u64) {
        self.reads_without_message += 1;
        if let Some(left) = &mut self.closing_input_bytes {
            *left = left.saturating_sub(bytes);
        }
    }

    /// Announces the close with the number of messages read, then closes. The client can thus distinguish the
    /// close from a failure and determine which of its messages were not read.
    async fn close(&mut self, writer: &mut Socket, reader: &mut Socket) {
        let params = json!({ "taken": self.messages_read }).to_string();
        let params = RawValue::from_string(params).ok();
        let notification = jsonrpc::encode_request(None, CLOSING_METHOD, params.as_deref());
        self.send(&notification, 0);
        let finish = async {
            while !self.output.is_empty() {
                let Ok(bytes) = self.output.write_to(writer).await else { return };
                self.open_calls -= self.output.remove_written(bytes);
            }
            let _ = poll_fn(|context| Pin::new(&mut *writer).poll_shutdown(context)).await;
            while let Ok(1..) = reader.read_some(|_| {}).await {}
        };
        let _ = timeout(LINGER_TIMEOUT, finish).await;
    }

    /// Queues a message that answers `calls` open calls.
    fn send(&mut self, message: &[u8], calls: usize) {
        self.output.push(jsonrpc::encode_frame(self.framing, message).into(), calls);
    }

    /// Queues the response to a message that started no call. Until it is written, it counts as an open call,
    /// so that the queue stays bounded.
    fn send_error(&mut self, response: &[u8]) {
        self.open_calls += 1;
        self.send(response, 1);
    }

    fn on_calls_finished(&mut self, finished: FinishedCalls) {
        for id in finished.ids {
            self.open_ids.remove(&id);
        }
        self.connection.on_response();
        match finished.response {
            Some(response) => self.send(&response, finished.calls),
            None => self.open_calls -= finished.calls,
        }
    }

    // ---- Messages ----

    fn can_take_message(&self) -> bool {
        self.open_calls < self.max_open_calls && !self.is_framing_broken
    }

    /// Decodes received messages and starts their calls, up to the limit on open calls.
    fn decode_messages(&mut self) {
        while self.can_take_message() {
            match self.decoder.next_frame() {
                Ok(Some(frame)) => self.on_frame(&frame),
                Ok(None) => return,
                Err(error) => self.on_framing_error(error),
            }
        }
    }

    fn on_framing_error(&mut self, error: FramingError) {
        let code = if error == FramingError::TooLarge { code::TOO_LARGE } else { code::PARSE_ERROR };
        self.is_framing_broken = true;
        self.send_error(&jsonrpc::encode_error(None, code, &error.to_string(), None));
    }

    fn on_frame(&mut self, frame: &Bytes) {
        self.messages_read += 1;
        self.reads_without_message = 0;
        self.connection.on_request_received();
        self.connection.socket.start_next_message(NO_HEAD_CAPTURE);
        let received_at = Instant::now();
        match jsonrpc::parse(frame, &Limits::default()) {
            Ok(Parsed::One(message)) => {
                let call = self.prepare(message, frame, true);
                self.start_one(call, received_at);
            }
            Ok(Parsed::Batch(messages)) => {
                let calls = messages.into_iter().map(|message| self.prepare(message, frame, false)).collect();
                self.start_batch(calls, received_at);
            }
            Err(invalid) => self.send_error(&encode_invalid_message(&invalid)),
        }
    }

    // ---- Calls ----

    /// Validates a message and accepts or rejects its call.
    fn prepare(&mut self, message: MessageResult<'_>, frame: &Bytes, is_alone: bool) -> PreparedCall {
        let call = match message {
            Ok(Message::Call(call)) => call,
            // The proxy sends no calls to clients, so a response matches none.
            Ok(Message::Response(_)) => return PreparedCall::ignored(is_alone),
            Err(invalid) => return PreparedCall::invalid(None, encode_invalid_message(&invalid)),
        };
        match call.id {
            Some(id) => self.prepare_with_id(id, &call, frame),
            None => self.accept(&call, frame),
        }
    }

    fn prepare_with_id(&mut self, id: &RawValue, call: &Call<'_>, frame: &Bytes) -> PreparedCall {
        let normal_id = normalize_id(id);
        if !self.open_ids.insert(normal_id.clone()) {
            return PreparedCall::invalid(Some(id.to_owned()), encode_duplicate_id(id));
        }
        let mut prepared = self.accept(call, frame);
        prepared.open_id = Some(normal_id);
        prepared
    }

    fn accept(&mut self, call: &Call<'_>, frame: &Bytes) -> PreparedCall {
        let prepared = PreparedCall::accept(&self.listener, &self.connection, call, frame);
        self.is_over_connection_limit |= prepared.is_over_connection_limit();
        prepared
    }

    /// Starts the call of a message that is not a batch.
    fn start_one(&mut self, mut call: PreparedCall, received_at: Instant) {
        if call.is_notification {
            self.start_notification(call, received_at);
            return;
        }
        self.open_calls += 1;
        let ids = call.open_id.take().into_iter().collect();
        let listener = Rc::clone(&self.listener);
        let disconnect_probe = self.connection.disconnect_probe();
        self.running.spawn_local(async move {
            let response = call.execute(&listener, &disconnect_probe, received_at).await;
            FinishedCalls { response, calls: 1, ids }
        });
    }

    /// Starts a call that gets no response.
    fn start_notification(&mut self, call: PreparedCall, received_at: Instant) {
        self.open_calls += 1;
        let listener = Rc::clone(&self.listener);
        let disconnect_probe = self.connection.disconnect_probe();
        self.running.spawn_local(async move {
            call.execute(&listener, &disconnect_probe, received_at).await;
            FinishedCalls { response: None, calls: 1, ids: Vec::new() }
        });
    }

    /// Starts the calls of a batch concurrently; all but notifications are answered together.
    fn start_batch(&mut self, calls: Vec<PreparedCall>, received_at: Instant) {
        let (notifications, mut calls): (Vec<_>, Vec<_>) =
            calls.into_iter().partition(|call| call.is_notification);
        for notification in notifications {
            self.start_notification(notification, received_at);
        }
        if calls.is_empty() {
            return;
        }
        let call_count = calls.len();
        self.open_calls += call_count;
        let ids = calls.iter_mut().filter_map(|call| call.open_id.take()).collect();
        let listener = Rc::clone(&self.listener);
        let disconnect_probe = self.connection.disconnect_probe();
        self.running.spawn_local(async move {
            let response = execute_batch(calls, listener, disconnect_probe, received_at).await;
            FinishedCalls { response, calls: call_count, ids }
        });
    }
}

/// The phase in which a connection that is in this phase behaves differently.
fn next_close_phase(phase: ClosePhase) -> ClosePhase {
    match phase {
        ClosePhase::Open => ClosePhase::AfterResponse,
        ClosePhase::AfterResponse | ClosePhase::WhenIdle => ClosePhase::WhenIdle,
    }
}

/// Normalizes an id, so that differently escaped forms of the same string compare equal. The leading quote
/// keeps strings distinct from numbers.
fn normalize_id(id: &RawValue) -> String {
    match serde_json::from_str::<String>(id.get()) {
        Ok(text) => format!("\"{text}"),
        Err(_) => id.get().to_owned(),
    }
}
