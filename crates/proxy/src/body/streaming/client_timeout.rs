//! How long the client that sends a body waits for its response, and the reading ahead that shows the end of the body.
//!
//! `client_wait` decides; this module observes the transfer for it.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Body;
use tokio::time::{sleep_until, Instant};

use super::{ReceivedChunk, StreamingBody};
use crate::body::client_wait::{Arrival, TransferState};
use crate::body::read_ahead::BodyEnd;
use crate::body::sender_pause::MAX_ENDPOINT_PAUSE;

/// The interval at which it is checked whether the last byte of a request has arrived.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The time within which the HTTP implementation has decoded what it has read from the socket. Before it is over,
/// a body that has nothing to read may have arrived all the same.
const DECODE_TIME: Duration = Duration::from_millis(5);

/// Reports how much of a request is on this machine, read or not.
pub struct ArrivalProbe(Box<dyn Fn() -> Arrival>);

impl ArrivalProbe {
    /// Creates a probe that calls `arrival`.
    pub fn new(arrival: impl Fn() -> Arrival + 'static) -> ArrivalProbe {
        ArrivalProbe(Box::new(arrival))
    }

    fn arrival(&self) -> Arrival {
        self.0()
    }
}

impl StreamingBody {
    /// Waits until the client that sends this body has waited for its response for `timeout`, or the endpoint
    /// has taken nothing for too long. See `client_wait` for when the wait of the client begins.
    pub async fn client_timed_out(&self, timeout: Duration) {
        loop {
            let now = Instant::now();
            let client_expiry = self.client_expiry(now, timeout);
            let expires_at = client_expiry.into_iter().chain(self.endpoint_expiry(timeout)).min();
            if expires_at.is_some_and(|expires_at| expires_at <= now) {
                return;
            }
            let next_check = now + ARRIVAL_CHECK_INTERVAL;
            let wake_at = expires_at.map_or(next_check, |expires_at| expires_at.min(next_check));
            tokio::select! {
                () = sleep_until(wake_at) => {}
                () = poll_fn(|context| self.poll_read_ahead(context)) => {}
            }
        }
    }

    /// When the client may have waited for its response for `timeout`; `None` if it is still sending. If it has
    /// more to send than its kernel can hold, it is still sending although the endpoint is the slower side, and
    /// the endpoint may pause.
    fn client_expiry(&self, now: Instant, timeout: Duration) -> Option<Instant> {
        let since = self.client_waits_since(now)?;
        let is_sending = self.arrival().lacks_more_than_client_buffer();
        Some(since + if is_sending { timeout.max(MAX_ENDPOINT_PAUSE) } else { timeout })
    }

    /// When the endpoint has paused for too long, although the client is still sending; `None` if the endpoint
    /// waits for the client.
    fn endpoint_expiry(&self, timeout: Duration) -> Option<Instant> {
        let is_endpoint_awaited = !self.is_awaiting_sender();
        is_endpoint_awaited.then(|| self.last_taken_at.get() + timeout.max(MAX_ENDPOINT_PAUSE))
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
            let Poll::Ready(frame) = Pin::new(&mut *incoming).poll_frame(context) else {
                self.note_nothing_to_read();
                break;
            };
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

    /// Since when the client that sends this body may wait for its response; `None` if it is still sending.
    pub fn client_waits_since(&self, now: Instant) -> Option<Instant> {
        let arrival = self.arrival();
        self.client_wait.borrow_mut().observe(now, self.transfer_state(now, arrival), arrival)
    }

    fn arrival(&self) -> Arrival {
        self.arrival_probe.as_ref().map(ArrivalProbe::arrival).unwrap_or_default()
    }

    fn has_nothing_to_read(&self, now: Instant) -> bool {
        self.nothing_to_read_since.get().is_some_and(|since| now - since >= DECODE_TIME)
    }

    fn transfer_state(&self, now: Instant, arrival: Arrival) -> TransferState {
        let is_read = self.completed_at.get().is_some() || self.read_ahead.borrow().is_complete();
        if is_read || arrival.is_complete() {
            TransferState::Arrived
        } else if arrival.unread == 0 && self.has_nothing_to_read(now) {
            TransferState::AwaitingClient
        } else {
            TransferState::AwaitingEndpoint
        }
    }

    /// Records that there is nothing to read for now.
    pub(super) fn note_nothing_to_read(&self) {
        let since = self.nothing_to_read_since.get().unwrap_or_else(Instant::now);
        self.nothing_to_read_since.set(Some(since));
    }

    /// Records that something was read. If there was nothing for a while, the client has just sent it.
    pub(super) fn note_read(&self) {
        let now = Instant::now();
        let since = self.nothing_to_read_since.take();
        if since.is_some_and(|since| now - since >= DECODE_TIME) {
            self.client_wait.borrow_mut().on_caught_up(now);
        }
    }
}
