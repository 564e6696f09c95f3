//! The state of one client connection.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::body::STALL_TIMEOUT;
use crate::clock::Clock;
use crate::exchange::{DisconnectProbe, MAX_HEAD_BYTES};
use crate::router::RouterConnectionState;
use crate::socket::{Socket, UnreadInput};

/// The connection of a client, as shared by its protocol, the timeouts and the drain.
pub struct DownstreamConnection {
    /// Where its protocol reads and writes.
    pub socket: Socket,
    /// What the router keeps with it.
    pub router_state: RouterConnectionState,
    is_busy: Cell<bool>,
    has_received_request: Cell<bool>,
    last_used_at: Cell<Instant>,
    is_closing: Cell<bool>,
    response_progress: Cell<Option<ResponseWriteProgress>>,
    close_request: Notify,
    idle_abort_request: Notify,
    abort_request: Notify,
}

/// How far a streamed response was written when that was last checked.
#[derive(Clone, Copy)]
struct ResponseWriteProgress {
    bytes_written: u64,
    /// Since when it has not changed.
    since: Instant,
}

impl DownstreamConnection {
    /// A connection that has just been accepted.
    pub fn new(socket: Socket) -> DownstreamConnection {
        DownstreamConnection {
            socket,
            router_state: RouterConnectionState::default(),
            is_busy: Cell::new(false),
            has_received_request: Cell::new(false),
            last_used_at: Cell::new(Instant::now()),
            is_closing: Cell::new(false),
            response_progress: Cell::new(None),
            close_request: Notify::new(),
            idle_abort_request: Notify::new(),
            abort_request: Notify::new(),
        }
    }

    // ---- Requests ----

    /// Whether a request on it has no response yet.
    pub fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    /// Sets whether a request on it has no response yet.
    pub fn set_busy(&self, is_busy: bool) {
        self.is_busy.set(is_busy);
    }

    /// Whether it has had a request.
    pub fn has_received_request(&self) -> bool {
        self.has_received_request.get()
    }

    /// A request has arrived on it.
    pub fn on_request_received(&self) {
        self.has_received_request.set(true);
    }

    /// Its start or its last response.
    pub fn last_used_at(&self) -> Instant {
        self.last_used_at.get()
    }

    /// A response is ready for it.
    pub fn on_response(&self) {
        self.last_used_at.set(Instant::now());
    }

    /// Its HTTP request has its response; what arrives next is another request.
    pub fn finish_request(&self) {
        self.response_progress.set(None);
        self.on_response();
        self.is_busy.set(false);
        self.socket.start_next_message(MAX_HEAD_BYTES);
    }

    /// Tells whether the client that waits for its responses has disconnected.
    pub fn disconnect_probe(&self) -> DisconnectProbe {
        let socket = self.socket.clone();
        DisconnectProbe::new(move || socket.is_peer_closed() || socket.unread_input() == UnreadInput::Closed)
    }

    /// Whether a part of its next request has arrived.
    pub fn has_partial_request(&self) -> bool {
        self.socket.message_bytes() > 0 || self.socket.unread_input() == UnreadInput::Data
    }

    // ---- Streamed responses ----

    /// A streamed response begins, or has been read further.
    pub fn on_response_streaming(&self) {
        let progress =
            ResponseWriteProgress { bytes_written: self.socket.bytes_written(), since: Instant::now() };
        self.response_progress.set(Some(progress));
    }

    /// Whether the client has read nothing of a streamed response for too long. To be called periodically.
    pub fn is_response_stalled(&self) -> bool {
        let Some(progress) = self.response_progress.get() else { return false };
        if self.socket.bytes_written() != progress.bytes_written {
            self.on_response_streaming();
            return false;
        }
        progress.since.elapsed() > STALL_TIMEOUT
    }

    // ---- Its end ----

    /// Whether it ends with the response to its current or next request.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Ends it with the response to its current or next request.
    pub fn close_after_response(&self) {
        self.is_closing.set(true);
    }

    /// Closes it once all of its requests have their responses.
    pub fn close(&self) {
        self.close_after_response();
        self.close_request.notify_one();
    }

    /// Ends it at once.
    pub fn abort(&self) {
        self.abort_request.notify_one();
    }

    /// Ends it at once unless a request arrives in the meantime.
    pub fn abort_if_idle(&self) {
        self.idle_abort_request.notify_one();
    }

    /// Completes once it is to be closed.
    pub async fn close_requested(&self) {
        self.close_request.notified().await;
    }

    /// Completes once it is to end at once.
    pub async fn aborted(&self) {
        tokio::select! {
            biased;
            () = self.abort_request.notified() => {}
            () = self.aborted_while_idle() => {}
        }
    }

    /// What arrived until now was taken and gets its response, so the kernel is asked right before the end.
    async fn aborted_while_idle(&self) {
        loop {
            self.idle_abort_request.notified().await;
            if !self.is_busy() && self.socket.unread_input() != UnreadInput::Data {
                return;
            }
        }
    }

    /// What its end depends on. The kernel is asked for a partial request only with `checks_input`.
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
