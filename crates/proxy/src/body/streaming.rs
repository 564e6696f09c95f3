//! A body that is forwarded while it arrives.
//!
//! A request body is read to its end whatever the result of the request, because some clients read no
//! response before they have sent the whole body. A response body of unknown length is bounded by the
//! deadline of its request: past the deadline, only a body that arrives at `MIN_BYTES_PER_SECOND` or faster
//! continues. Once more than `MAX_BODY_WITHIN_DEADLINE_BYTES` have arrived, the deadline no longer applies.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at, Instant, Sleep};

use super::client_wait::{ClientWait, TransferState};
use super::read_ahead::{BodyEnd, ReadAhead};
use crate::memory::MemoryReservation;

use super::{
    max_transfer_time, BodyError, MAX_BODY_WITHIN_DEADLINE_BYTES, MIN_BYTES_PER_SECOND, STALL_TIMEOUT,
};

/// The interval at which it is checked whether the last byte of a request has arrived.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A callback that is called when a body is complete, and dropped without a call if the body ends early.
type CompletionCallback = Box<dyn FnOnce()>;

/// Reports whether the last byte of a request is on this machine, read or not.
pub struct ArrivalProbe(Box<dyn Fn() -> bool>);

impl ArrivalProbe {
    /// Creates a probe that calls `has_arrived`.
    pub fn new(has_arrived: impl Fn() -> bool + 'static) -> ArrivalProbe {
        ArrivalProbe(Box::new(has_arrived))
    }
}

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
    /// The deadline of the request; `None` except for a response of unknown length.
    request_deadline: Option<Instant>,
    sender_wait: Cell<SenderWait>,
    /// When the reader last took a part of the body, or the creation of the body before that.
    last_taken_at: Cell<Instant>,
    /// `None` for a response.
    arrival_probe: Option<ArrivalProbe>,
    client_wait: Cell<ClientWait>,
    stall_timer: RefCell<Pin<Box<Sleep>>>,
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

/// The time spent waiting for the sender of a body.
#[derive(Clone, Copy, Default)]
struct SenderWait {
    /// The sum of the waits that have ended.
    finished: Duration,
    /// The start of the current wait, if any.
    since: Option<Instant>,
}

impl SenderWait {
    fn started(self, now: Instant) -> SenderWait {
        SenderWait { since: self.since.or(Some(now)), ..self }
    }

    fn stopped(self, now: Instant) -> SenderWait {
        let current = self.since.map_or(Duration::ZERO, |since| now - since);
        SenderWait { finished: self.finished + current, since: None }
    }
}

/// The maximum total time spent waiting for the sender of a response of unknown length, once the deadline of
/// the request has passed and `bytes_read` have arrived. `None` if more than
/// [`MAX_BODY_WITHIN_DEADLINE_BYTES`] have arrived, because the deadline applies only to the first bytes of
/// such a body. Without this bound, a response that never ends would keep a proxy that is shutting down from
/// ending.
fn max_sender_wait(bytes_read: u64) -> Option<Duration> {
    let is_bounded = bytes_read <= MAX_BODY_WITHIN_DEADLINE_BYTES;
    is_bounded.then(|| Duration::from_millis(bytes_read * 1000 / MIN_BYTES_PER_SECOND))
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
        body.request_deadline = is_length_unknown.then_some(request_deadline);
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
            request_deadline: None,
            sender_wait: Cell::default(),
            last_taken_at: Cell::new(now),
            arrival_probe: None,
            client_wait: Cell::new(ClientWait::new(now)),
            stall_timer: RefCell::new(Box::pin(sleep_until(now + STALL_TIMEOUT))),
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
        self.completed_at.get().is_none() && self.sender_wait.get().since.is_some()
    }

    /// Waits until the client that sends this body has waited for its response for `timeout`. See
    /// `client_wait` for when its wait begins.
    pub async fn client_timed_out(&self, timeout: Duration) {
        loop {
            let now = Instant::now();
            let expires_at = self.client_waits_since(now).map(|since| since + timeout);
            if expires_at.is_some_and(|expires_at| expires_at <= now) {
                return;
            }
            let next_check = now + ARRIVAL_CHECK_INTERVAL;
            let wake_at = expires_at.map_or(next_check, |expires_at| expires_at.min(next_check));
            tokio::select! {
                () = sleep_until(wake_at) => {}
                () = poll_fn(|context| self.poll_read_ahead(context)), if expires_at.is_some() => {}
            }
        }
    }

    /// Reads ahead while the reader takes nothing. Becomes ready when the last byte was read.
    fn poll_read_ahead(&self, context: &mut Context<'_>) -> Poll<()> {
        // A reader that waits for the sender must stay the one that is woken.
        while !self.is_awaiting_sender() && self.completed_at.get().is_none() {
            if !self.may_read_ahead() {
                break;
            }
            let mut incoming = self.incoming.borrow_mut();
            let Some(incoming) = incoming.as_mut() else { break };
            let Poll::Ready(frame) = Pin::new(&mut *incoming).poll_frame(context) else { break };
            let mut read_ahead = self.read_ahead.borrow_mut();
            match self.received(frame, incoming.is_end_stream()) {
                Ok(ReceivedChunk { data, is_last }) => {
                    read_ahead.push(data);
                    if is_last {
                        read_ahead.finish(BodyEnd::Complete);
                        return Poll::Ready(());
                    }
                }
                Err(error) => read_ahead.finish(BodyEnd::Failed(error)),
            }
        }
        Poll::Pending
    }

    /// Whether there is memory to read another chunk ahead.
    fn may_read_ahead(&self) -> bool {
        let reservations = self.reservations.borrow();
        reservations.first().is_some_and(|memory| self.read_ahead.borrow_mut().reserve_chunk(memory))
    }

    /// Since when the client that sends this body waits for its response; `None` if it is still sending.
    pub fn client_waits_since(&self, now: Instant) -> Option<Instant> {
        let mut wait = self.client_wait.get();
        let since = wait.observe(now, self.transfer_state());
        self.client_wait.set(wait);
        since
    }

    fn transfer_state(&self) -> TransferState {
        let has_arrived =
            || self.arrival_probe.as_ref().is_some_and(|ArrivalProbe(has_arrived)| has_arrived());
        if self.completed_at.get().is_some() || self.read_ahead.borrow().is_complete() || has_arrived() {
            TransferState::Arrived
        } else if self.is_awaiting_sender() {
            TransferState::AwaitingClient
        } else {
            TransferState::AwaitingEndpoint { since: self.last_taken_at.get() }
        }
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
                let error = ready!(self.poll_stalled(context));
                return Poll::Ready(Some(Err(self.fail(error))));
            };
            self.sender_wait.set(self.sender_wait.get().stopped(Instant::now()));
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
        let data = match frame {
            Some(Err(_)) => return Err(BodyError::Interrupted),
            Some(Ok(frame)) => frame.into_data().ok(),
            None => None,
        };
        let Some(data) = data else { return Ok(ReceivedChunk { data: Bytes::new(), is_last: true }) };
        self.count_read(data.len() as u64)?;
        Ok(ReceivedChunk { data, is_last: is_end_stream })
    }

    /// Becomes ready when the wait for the sender has been too long.
    fn poll_stalled(&self, context: &mut Context<'_>) -> Poll<BodyError> {
        let mut timer = self.stall_timer.borrow_mut();
        let limit = self.sender_wait_limit(Instant::now());
        let limit = limit.filter(|limit| *limit <= timer.deadline());
        if let Some(limit) = limit {
            timer.as_mut().reset(limit);
        }
        ready!(timer.as_mut().poll(context));
        Poll::Ready(if limit.is_some() { BodyError::PastDeadline } else { BodyError::Stalled })
    }

    /// Starts or continues a wait for the sender. Returns the time at which the wait must end, or `None` if
    /// it is not bounded by the deadline of the request.
    fn sender_wait_limit(&self, now: Instant) -> Option<Instant> {
        let wait = self.sender_wait.get().started(now);
        self.sender_wait.set(wait);
        let left = max_sender_wait(self.bytes_read.get())?.saturating_sub(wait.finished);
        let since = wait.since.unwrap_or(now);
        Some(self.request_deadline?.max(since + left))
    }

    /// Counts bytes that were read, and restarts the stall timeout.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] if the body exceeds its limit, [`BodyError::TooSlow`] if the transfer
    /// deadline has passed.
    fn count_read(&self, bytes: u64) -> Result<(), BodyError> {
        self.bytes_read.set(self.bytes_read.get() + bytes);
        if self.bytes_read.get() > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let now = Instant::now();
        if self.transfer_deadline.is_some_and(|deadline| deadline < now) {
            return Err(BodyError::TooSlow);
        }
        self.stall_timer.borrow_mut().as_mut().reset(now + STALL_TIMEOUT);
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
