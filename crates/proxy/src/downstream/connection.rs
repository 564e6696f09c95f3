//! The state of one client connection, shared by its protocol, the timeouts and the drain.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::cut_off::CutOffReason;
use crate::body::{StreamingBody, STALL_TIMEOUT};
use crate::clock::Clock;
use crate::exchange::{DisconnectProbe, MAX_HEAD_BYTES};
use crate::router::RouterConnectionState;
use crate::socket::{Socket, UnreadInput};

/// A client connection.
pub struct DownstreamConnection {
    /// The socket that the protocol reads from and writes to.
    pub socket: Socket,
    /// State that the router attaches to the connection.
    pub router_state: RouterConnectionState,
    is_busy: Cell<bool>,
    has_received_request: Cell<bool>,
    last_used_at: Cell<Instant>,
    close_phase: Cell<ClosePhase>,
    close_phase_changed: Notify,
    request_received_at: Cell<Instant>,
    streamed_response: RefCell<Option<StreamedResponse>>,
    idle_abort_request: Notify,
    abort_request: Notify,
    abort_reason: Cell<Option<CutOffReason>>,
}

/// Whether a connection is to be closed by this side, in the order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosePhase {
    /// The connection stays open.
    Open,
    /// The connection closes after the response to its current or next request.
    AfterResponse,
    /// The connection closes as soon as no request is open.
    WhenIdle,
}

/// A response that is being streamed, and its write progress at the last check.
struct StreamedResponse {
    body: Rc<StreamingBody>,
    bytes_written: u64,
    /// When `bytes_written` last changed.
    progress_at: Instant,
}

impl DownstreamConnection {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(socket: Socket) -> DownstreamConnection {
        DownstreamConnection {
            socket,
            router_state: RouterConnectionState::default(),
            is_busy: Cell::new(false),
            has_received_request: Cell::new(false),
            last_used_at: Cell::new(Instant::now()),
            close_phase: Cell::new(ClosePhase::Open),
            close_phase_changed: Notify::new(),
            request_received_at: Cell::new(Instant::now()),
            streamed_response: RefCell::default(),
            idle_abort_request: Notify::new(),
            abort_request: Notify::new(),
            abort_reason: Cell::new(None),
        }
    }

    // ---- Requests ----

    /// Whether a request on the connection has no response yet.
    pub fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    /// Sets whether a request on the connection has no response yet.
    pub fn set_busy(&self, is_busy: bool) {
        self.is_busy.set(is_busy);
    }

    /// Whether the connection has received any request.
    pub fn has_received_request(&self) -> bool {
        self.has_received_request.get()
    }

    /// Records that a request has arrived.
    pub fn on_request_received(&self) {
        self.has_received_request.set(true);
        self.request_received_at.set(Instant::now());
    }

    /// The time of the last response, or of the connection's start if there was none.
    pub fn last_used_at(&self) -> Instant {
        self.last_used_at.get()
    }

    /// Records that a response is ready to be sent.
    pub fn on_response(&self) {
        self.last_used_at.set(Instant::now());
    }

    /// Marks the current HTTP request as answered; bytes that arrive from now on belong to the next request.
    pub fn finish_request(&self) {
        self.streamed_response.take();
        self.on_response();
        self.is_busy.set(false);
        self.socket.start_next_message(MAX_HEAD_BYTES);
    }

    /// A probe for whether the client has disconnected while it waits for responses.
    pub fn disconnect_probe(&self) -> DisconnectProbe {
        let socket = self.socket.clone();
        DisconnectProbe::new(move || socket.is_peer_closed() || socket.unread_input() == UnreadInput::Closed)
    }

    /// Whether part of the next request has arrived.
    pub fn has_partial_request(&self) -> bool {
        self.socket.message_bytes() > 0 || self.socket.unread_input() == UnreadInput::Data
    }

    // ---- Streamed responses ----

    /// Records that a streamed response starts.
    pub fn on_response_start(&self, body: Rc<StreamingBody>) {
        self.socket.limit_unsent_bytes();
        let bytes_written = self.socket.bytes_written();
        let response = StreamedResponse { body, bytes_written, progress_at: Instant::now() };
        self.streamed_response.replace(Some(response));
    }

    /// Whether the client has read nothing of a streamed response for longer than [`STALL_TIMEOUT`]. Call
    /// periodically: progress is measured between calls. Bytes that were written are bytes that the client's
    /// machine has room for, but for those that [`Socket::limit_unsent_bytes`] allows. While the endpoint is
    /// silent, there is nothing to read.
    pub fn is_response_stalled(&self) -> bool {
        let mut response = self.streamed_response.borrow_mut();
        let Some(response) = response.as_mut() else { return false };
        let bytes_written = self.socket.bytes_written();
        if response.bytes_written != bytes_written || self.is_endpoint_awaited(&response.body) {
            response.bytes_written = bytes_written;
            response.progress_at = Instant::now();
            return false;
        }
        response.progress_at.elapsed() > STALL_TIMEOUT
    }

    /// Whether the endpoint has to send more of a response before the client can read more. If the socket takes
    /// nothing, the body may have more without being asked for it.
    fn is_endpoint_awaited(&self, body: &StreamingBody) -> bool {
        body.awaiting_sender_since().is_some() && self.socket.is_writable()
    }

    /// The state that decides whether the response that is being streamed is cut off during a shutdown; `None`
    /// if there is none.
    pub fn streamed_response_state(&self, clock: Clock) -> Option<shutdown::StreamedResponse> {
        let response = self.streamed_response.borrow();
        let body = &response.as_ref()?.body;
        let silent_since = body.awaiting_sender_since().filter(|_| self.socket.is_writable());
        let silent_for = silent_since.map_or(Duration::ZERO, |since| since.elapsed());
        Some(shutdown::StreamedResponse {
            received_at: clock.now() - self.request_received_at.get().elapsed().as_micros() as decide::Micros,
            endpoint_silent_for: silent_for.as_micros() as decide::Micros,
            is_length_unknown: body.size_hint().exact().is_none(),
        })
    }

    // ---- Close ----

    /// Whether the connection is to be closed by this side.
    pub fn close_phase(&self) -> ClosePhase {
        self.close_phase.get()
    }

    /// Whether the connection closes after the response to its current or next request, or sooner.
    pub fn is_closing(&self) -> bool {
        self.close_phase() != ClosePhase::Open
    }

    /// Closes the connection after the response to its current or next request.
    pub fn close_after_response(&self) {
        self.enter_close_phase(ClosePhase::AfterResponse);
    }

    /// Closes the connection once all of its requests have their responses.
    pub fn close(&self) {
        self.enter_close_phase(ClosePhase::WhenIdle);
    }

    fn enter_close_phase(&self, phase: ClosePhase) {
        if self.close_phase() < phase {
            self.close_phase.set(phase);
            self.close_phase_changed.notify_one();
        }
    }

    /// Completes when the connection is in this phase or a later one. To be awaited by the task that serves the
    /// connection alone.
    pub async fn close_phase_reached(&self, phase: ClosePhase) {
        while self.close_phase() < phase {
            self.close_phase_changed.notified().await;
        }
    }

    /// Closes the connection immediately.
    pub fn abort(&self, reason: CutOffReason) {
        self.abort_reason.set(Some(reason));
        self.abort_request.notify_one();
    }

    /// Why this side closes the connection although a request is open; `None` if it does not.
    pub fn abort_reason(&self) -> Option<CutOffReason> {
        self.abort_reason.get()
    }

    /// Closes the connection immediately if no request is open and no unread bytes of one have arrived.
    pub fn abort_if_idle(&self) {
        self.idle_abort_request.notify_one();
    }

    /// Completes once the connection has to be closed immediately.
    pub async fn aborted(&self) {
        tokio::select! {
            biased;
            () = self.abort_request.notified() => {}
            () = self.aborted_while_idle() => {}
        }
    }

    /// Completes after [`Self::abort_if_idle`] if no request is open. A request that has arrived must get its
    /// response, so the kernel is checked for unread bytes right before completion.
    async fn aborted_while_idle(&self) {
        loop {
            self.idle_abort_request.notified().await;
            if !self.is_busy() && self.socket.unread_input() != UnreadInput::Data {
                return;
            }
        }
    }

    /// The state that decides whether the connection may be closed. A partial request is only
    /// detected if `checks_input`.
    pub fn shutdown_state(&self, clock: Clock, checks_input: bool) -> shutdown::ConnectionState {
        let unused_for = self.last_used_at().elapsed().as_micros() as decide::Micros;
        shutdown::ConnectionState {
            has_open_request: self.is_busy(),
            has_had_request: self.has_received_request(),
            has_partial_request: checks_input && !self.is_busy() && self.has_partial_request(),
            last_used_at: clock.now() - unused_for,
        }
    }
}
