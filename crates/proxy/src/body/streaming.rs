//! A body that is forwarded while it arrives.
//!
//! A request body is read to its end whatever the result of the request, because some clients read no
//! response before they have sent the whole body. How long the sender may pause is decided by `sender_pause`.

mod client_timeout;

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at, Instant, Sleep};

use super::client_wait::ClientWait;
use super::read_ahead::{BodyEnd, ReadAhead};
use super::sender_pause::PauseLimit;
use super::{max_transfer_time, BodyError, STALL_TIMEOUT};
use crate::memory::MemoryReservation;

pub use client_timeout::ArrivalProbe;

/// A callback that is called when a body is complete, and dropped without a call if the body ends early.
type CompletionCallback = Box<dyn FnOnce()>;

/// A body that is forwarded while it arrives.
pub struct StreamingBody {
    /// The body of the incoming message; `None` once the rest of it is being discarded.
    incoming: RefCell<Option<Incoming>>,
    /// The bytes that were read before streaming began.
    prefix: Cell<Option<Bytes>>,
    size: SizeHint,
    bytes_read: Cell<u64>,
    max_bytes: u64,
    /// The time by which the transfer must be complete; `None` for a response, which waits for its reader.
    transfer_deadline: Option<Instant>,
    pause_limit: PauseLimit,
    /// Since when the reader has waited for the sender; `None` if it does not wait.
    awaiting_sender_since: Cell<Option<Instant>>,
    /// When the reader last took a part of the body, or the creation of the body before that.
    last_taken_at: Cell<Instant>,
    /// Since when there has been nothing to read.
    nothing_to_read_since: Cell<Option<Instant>>,
    /// `None` for a response.
    arrival_probe: Option<ArrivalProbe>,
    client_wait: RefCell<ClientWait>,
    pause_timer: RefCell<Pin<Box<Sleep>>>,
    is_read_started: Cell<bool>,
    completed_at: Cell<Option<Instant>>,
    failure: Cell<Option<BodyError>>,
    on_complete: RefCell<Vec<CompletionCallback>>,
    /// Whether the body is read to its end even if its reader is dropped.
    is_drained_on_drop: bool,
    read_ahead: RefCell<ReadAhead>,
    /// The memory that the transfer uses, and that of the request of a response.
    reservations: RefCell<Vec<MemoryReservation>>,
}

/// A chunk of a body as it was received.
struct ReceivedChunk {
    /// The data; empty if the end of the body came without any.
    data: Bytes,
    /// Whether nothing follows.
    is_last: bool,
}

impl StreamingBody {
    /// Creates the body of a request of at most `max_bytes`, of which `prefix` has been read. It is read to
    /// its end even if its reader is dropped.
    pub fn for_request(
        rest: Incoming,
        prefix: Bytes,
        max_bytes: u64,
        arrival_probe: ArrivalProbe,
    ) -> StreamingBody {
        let max_time = max_transfer_time(rest.size_hint().exact().unwrap_or(max_bytes));
        let mut body = StreamingBody::new(rest, prefix, max_bytes);
        body.transfer_deadline = Some(Instant::now() + max_time);
        body.is_drained_on_drop = true;
        body.arrival_probe = Some(arrival_probe);
        body
    }

    /// Creates the body of a response of at most `max_bytes`, of which `prefix` has been read.
    pub fn for_response(
        rest: Incoming,
        prefix: Bytes,
        max_bytes: u64,
        request_deadline: Instant,
    ) -> StreamingBody {
        let is_length_unknown = rest.size_hint().exact().is_none();
        let mut body = StreamingBody::new(rest, prefix, max_bytes);
        if is_length_unknown {
            body.pause_limit = PauseLimit::past_deadline(request_deadline);
        }
        body
    }

    fn new(rest: Incoming, prefix: Bytes, max_bytes: u64) -> StreamingBody {
        let prefix_bytes = prefix.len() as u64;
        let rest_bytes = rest.size_hint().exact();
        let size =
            rest_bytes.map_or_else(SizeHint::default, |bytes| SizeHint::with_exact(bytes + prefix_bytes));
        let now = Instant::now();
        StreamingBody {
            incoming: RefCell::new(Some(rest)),
            prefix: Cell::new(Some(prefix).filter(|prefix| !prefix.is_empty())),
            size,
            bytes_read: Cell::new(prefix_bytes),
            max_bytes,
            transfer_deadline: None,
            pause_limit: PauseLimit::STALL_ONLY,
            awaiting_sender_since: Cell::default(),
            last_taken_at: Cell::new(now),
            nothing_to_read_since: Cell::default(),
            arrival_probe: None,
            client_wait: RefCell::new(ClientWait::new(now)),
            pause_timer: RefCell::new(Box::pin(sleep_until(now + STALL_TIMEOUT))),
            is_read_started: Cell::new(false),
            completed_at: Cell::new(None),
            failure: Cell::new(None),
            on_complete: RefCell::default(),
            is_drained_on_drop: false,
            read_ahead: RefCell::default(),
            reservations: RefCell::default(),
        }
    }

    /// Keeps a reservation until the body is dropped.
    pub fn hold(&self, reservation: MemoryReservation) {
        self.reservations.borrow_mut().push(reservation);
    }

    /// Whether the reader has polled the body.
    pub fn is_read_started(&self) -> bool {
        self.is_read_started.get()
    }

    /// The time when the last byte was read; `None` if it has not been read.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// Records why the body does not reach its end; the first reason counts. Returns `error`.
    pub fn fail(&self, error: BodyError) -> BodyError {
        self.failure.set(self.failure.get().or(Some(error)));
        error
    }

    /// Why the body does not reach its end; `None` if it may still do.
    pub fn failure(&self) -> Option<BodyError> {
        self.failure.get()
    }

    /// The number of bytes that were read from the sender.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.get()
    }

    /// The size of the body in bytes, as far as it is known.
    pub fn size_hint(&self) -> SizeHint {
        self.size
    }

    /// Whether the body is incomplete and the sender has to send more of it before the reader can continue.
    pub fn is_awaiting_sender(&self) -> bool {
        self.awaiting_sender_since().is_some()
    }

    /// Since when the reader has waited for the sender; `None` if it does not wait.
    pub fn awaiting_sender_since(&self) -> Option<Instant> {
        self.awaiting_sender_since.get().filter(|_| self.completed_at.get().is_none())
    }

    /// Calls `callback` once the last byte has been read. Drops it without a call if that never happens.
    pub fn on_complete(&self, callback: impl FnOnce() + 'static) {
        self.on_complete.borrow_mut().push(Box::new(callback));
    }

    /// Polls the next frame for the reader.
    pub fn poll_frame(&self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.is_read_started.set(true);
        self.last_taken_at.set(Instant::now());
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        if self.completed_at.get().is_some() {
            return Poll::Ready(None);
        }
        if !self.read_ahead.borrow().is_empty() {
            return Poll::Ready(self.take_read_ahead().map(|data| data.map(Frame::data)));
        }
        let mut incoming = self.incoming.borrow_mut();
        let Some(incoming) = incoming.as_mut() else {
            // Not reached: the rest is discarded only when the body is dropped.
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        };
        let data = ready!(self.poll_data(incoming, context));
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    /// Polls the next chunk that is not empty. Trailers apply to a single connection, so they are dropped and
    /// end the body.
    fn poll_data(
        &self,
        incoming: &mut Incoming,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *incoming).poll_frame(context) else {
                self.note_nothing_to_read();
                let error = ready!(self.poll_paused(context));
                return Poll::Ready(Some(Err(self.fail(error))));
            };
            self.awaiting_sender_since.set(None);
            let ReceivedChunk { data, is_last } = match self.received(frame, incoming.is_end_stream()) {
                Ok(chunk) => chunk,
                Err(error) => return Poll::Ready(Some(Err(self.fail(error)))),
            };
            if is_last {
                self.complete();
            }
            if !data.is_empty() {
                return Poll::Ready(Some(Ok(data)));
            }
            if is_last {
                return Poll::Ready(None);
            }
        }
    }

    /// The next part of what was read ahead. Completes the body with its last chunk.
    fn take_read_ahead(&self) -> Option<Result<Bytes, BodyError>> {
        let (taken, is_taken_whole) = {
            let mut read_ahead = self.read_ahead.borrow_mut();
            (read_ahead.take(), read_ahead.is_taken_whole())
        };
        if is_taken_whole {
            self.complete();
        }
        match taken {
            Ok(chunk) => Some(Ok(chunk)),
            Err(BodyEnd::Failed(error)) => Some(Err(self.fail(error))),
            Err(BodyEnd::Complete) => None,
        }
    }

    /// The data of a frame that was received, after counting it.
    ///
    /// # Errors
    /// Returns an error if the body ended early, is too large or too slow.
    fn received(
        &self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
        is_end_stream: bool,
    ) -> Result<ReceivedChunk, BodyError> {
        self.note_read();
        let data = match frame {
            Some(Err(_)) => return Err(BodyError::Interrupted),
            Some(Ok(frame)) => frame.into_data().ok(),
            None => None,
        };
        let Some(data) = data else { return Ok(ReceivedChunk { data: Bytes::new(), is_last: true }) };
        self.count_read(data.len() as u64)?;
        Ok(ReceivedChunk { data, is_last: is_end_stream })
    }

    /// Starts or continues a wait for the sender. Becomes ready when the sender has paused for too long.
    fn poll_paused(&self, context: &mut Context<'_>) -> Poll<BodyError> {
        let since = self.awaiting_sender_since.get().unwrap_or_else(Instant::now);
        self.awaiting_sender_since.set(Some(since));
        let expiry = self.pause_limit.expiry(since, self.bytes_read.get());
        let mut timer = self.pause_timer.borrow_mut();
        if timer.deadline() != expiry.at {
            timer.as_mut().reset(expiry.at);
        }
        ready!(timer.as_mut().poll(context));
        Poll::Ready(expiry.error)
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] if the body exceeds its limit, [`BodyError::TooSlow`] if the transfer
    /// deadline has passed.
    fn count_read(&self, bytes: u64) -> Result<(), BodyError> {
        self.bytes_read.set(self.bytes_read.get() + bytes);
        if self.bytes_read.get() > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if self.transfer_deadline.is_some_and(|deadline| deadline < Instant::now()) {
            return Err(BodyError::TooSlow);
        }
        Ok(())
    }

    fn complete(&self) {
        if self.completed_at.get().is_some() {
            return;
        }
        self.completed_at.set(Some(Instant::now()));
        for callback in self.on_complete.take() {
            callback();
        }
    }
}

/// Reads and discards the rest of a body, until `deadline` at most. Closing the connection while bytes still
/// arrive would reset it, and the client would lose its response.
pub async fn discard_rest(mut rest: Incoming, deadline: Instant) {
    let read_all =
        async { while let Some(Ok(_)) = poll_fn(|context| Pin::new(&mut rest).poll_frame(context)).await {} };
    let _ = timeout_at(deadline, read_all).await;
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        if !self.is_drained_on_drop || self.completed_at.get().is_some() {
            return;
        }
        if let Some(rest) = self.incoming.take() {
            spawn_local(discard_rest(rest, self.transfer_deadline.unwrap_or_else(Instant::now)));
        }
    }
}
