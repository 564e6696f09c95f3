//! Message bodies: buffered and replayable, or streamed from one connection to another.
//!
//! A streamed body has a single reader. While it is streamed, it is buffered only as far as hyper reads
//! ahead, and a request body as far as `read_ahead` allows while its endpoint is slower than its client; beyond
//! that, the flow control of the two connections stops the sender. Each transfer has a stall
//! timeout and a maximum size in bytes. In addition, a request body has a minimum rate, and the pauses in a
//! response body of unknown length are shorter once the deadline of its request has passed.

mod buffering;
mod client_wait;
mod read_ahead;
mod sender_pause;
mod streaming;

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::memory::MemoryReservation;

pub use buffering::{buffer, BufferOutcome};
pub use client_wait::Arrival;
pub use streaming::{discard_rest, ArrivalProbe, StreamingBody};

/// The largest body that is streamed in the platform mode, in bytes.
pub const MAX_STREAMED_BODY_BYTES: u64 = config::MAX_BODY_BYTES;
/// The minimum rate of a transfer in bytes per second; a slower transfer is aborted. This is half of the rate
/// that clients are promised.
const MIN_BYTES_PER_SECOND: u64 = 32 << 10;
/// The time that each transfer is allowed in addition to that at the minimum rate, for its start and for
/// pauses.
const TRANSFER_GRACE: Duration = Duration::from_secs(3);
/// The time after which a transfer is considered stalled if the peer sends or reads nothing of the body.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest body, in bytes, that must be complete by the deadline of its request. Of a larger body, only
/// the first bytes must have arrived by then.
const MAX_BODY_WITHIN_DEADLINE_BYTES: u64 = config::MAX_BUFFERED_BODY_BYTES;

/// The maximum duration of the transfer of a body of this size.
pub fn max_transfer_time(bytes: u64) -> Duration {
    TRANSFER_GRACE + Duration::from_millis(bytes.saturating_mul(1000) / MIN_BYTES_PER_SECOND)
}

/// Whether a body is known to be so small that it must be complete by the deadline of its request, so that
/// streaming it has no benefit. See `MAX_BODY_WITHIN_DEADLINE_BYTES`.
pub fn must_complete_within_deadline(body: &Incoming) -> bool {
    body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_BODY_WITHIN_DEADLINE_BYTES)
}

/// The maximum size in bytes of a response body that is streamed. An extension of a request whose response
/// may be streamed.
#[derive(Clone, Copy, Debug)]
pub struct StreamedResponseLimit(pub u64);

/// The reason why a body is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The sender ended the body early.
    Interrupted,
    /// The sender sent nothing for [`STALL_TIMEOUT`].
    Stalled,
    /// The sender of a response of unknown length paused for too long after the deadline of the request.
    PausedPastDeadline,
    /// The whole transfer was slower than the minimum rate.
    TooSlow,
    /// The body is larger than its limit.
    TooLarge,
    /// The client's time was over before the endpoint had taken the whole body.
    NotTaken,
}

impl BodyError {
    /// The value of the label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            BodyError::Interrupted => "interrupted",
            BodyError::Stalled => "sender_stalled",
            BodyError::PausedPastDeadline => "paused_past_deadline",
            BodyError::TooSlow => "too_slow",
            BodyError::TooLarge => "too_large",
            BodyError::NotTaken => "not_taken",
        }
    }
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::Interrupted => "the body ended early",
            BodyError::Stalled => "the sender of the body has sent nothing for too long",
            BodyError::PausedPastDeadline => "the sender of the body paused for too long after the deadline",
            BodyError::TooSlow => "the transfer of the body was too slow",
            BodyError::TooLarge => "the body is larger than its limit",
            BodyError::NotTaken => "the endpoint took the body too slowly for the client's time",
        })
    }
}

impl std::error::Error for BodyError {}

/// The body of a request or a response. Clones of a streamed body share the stream, which the first reader
/// consumes.
#[derive(Clone)]
pub enum MessageBody {
    /// The whole body in memory; `None` if it is empty or has been read.
    Buffered(Option<Bytes>),
    /// A body that is still arriving.
    Streaming(Rc<StreamingBody>),
}

impl Default for MessageBody {
    fn default() -> Self {
        MessageBody::Buffered(None)
    }
}

impl From<Bytes> for MessageBody {
    fn from(body: Bytes) -> Self {
        MessageBody::Buffered(Some(body).filter(|body| !body.is_empty()))
    }
}

impl MessageBody {
    /// The bytes of a buffered body; `None` if the body is streamed.
    pub fn buffered(&self) -> Option<Bytes> {
        match self {
            MessageBody::Buffered(body) => Some(body.clone().unwrap_or_default()),
            MessageBody::Streaming(_) => None,
        }
    }

    /// Keeps a reservation for as long as the body is in memory.
    #[must_use]
    pub fn with_reservation(self, reservation: MemoryReservation) -> MessageBody {
        match self {
            MessageBody::Buffered(body) => MessageBody::Buffered(body.map(|bytes| reservation.tie_to(bytes))),
            MessageBody::Streaming(stream) => {
                stream.hold(reservation);
                MessageBody::Streaming(stream)
            }
        }
    }

    /// The stream of a streamed body; `None` if the body is buffered.
    pub fn streaming(&self) -> Option<&Rc<StreamingBody>> {
        match self {
            MessageBody::Buffered(_) => None,
            MessageBody::Streaming(stream) => Some(stream),
        }
    }
}

impl std::fmt::Debug for MessageBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MessageBody::Buffered(body) => {
                f.debug_tuple("Buffered").field(&body.as_ref().map(Bytes::len)).finish()
            }
            MessageBody::Streaming(_) => f.write_str("Streaming"),
        }
    }
}

impl Body for MessageBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            MessageBody::Buffered(body) => Poll::Ready(body.take().map(|bytes| Ok(Frame::data(bytes)))),
            MessageBody::Streaming(stream) => stream.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            MessageBody::Buffered(body) => body.is_none(),
            MessageBody::Streaming(stream) => stream.completed_at().is_some(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            MessageBody::Buffered(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            MessageBody::Streaming(stream) => stream.size_hint(),
        }
    }
}
