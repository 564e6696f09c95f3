//! Message bodies: buffered and replayable, or streamed from one connection to another.
//!
//! A streamed body holds no more than what hyper reads ahead and has a single reader; flow control of the two connections
//! is its only buffer bound. Sizes are in bytes. Each transfer has a stall timeout and a maximum size; a request
//! body has a minimum rate as well, a response of unknown length a bounded wait past its deadline.

mod buffering;
mod streaming;

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

pub use buffering::{buffer, BufferOutcome};
pub use streaming::StreamingBody;

/// The largest body that is streamed on the platform, in bytes.
pub const MAX_STREAMED_BODY_BYTES: u64 = config::MAX_BODY_BYTES;
/// The slowest transfer that is not cut off, in bytes a second: half of what clients are promised.
const MIN_BYTES_PER_SECOND: u64 = 32 << 10;
/// Time that each transfer has in addition, for its start and for pauses.
const TRANSFER_GRACE: Duration = Duration::from_secs(3);
/// A peer that sends or reads nothing of a body for this long has stalled.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Bodies up to this size have to be complete by the deadline of their request; of larger ones the first bytes have to
/// be there.
const MAX_BODY_WITHIN_DEADLINE_BYTES: u64 = config::MAX_BUFFERED_BODY_BYTES;

/// The longest time that the transfer of a body of `bytes` may take.
pub fn max_transfer_time(bytes: u64) -> Duration {
    TRANSFER_GRACE + Duration::from_millis(bytes.saturating_mul(1000) / MIN_BYTES_PER_SECOND)
}

/// Whether this body is known to have to be complete by the deadline of its request, so that streaming it gains nothing.
pub fn must_complete_within_deadline(body: &Incoming) -> bool {
    body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_BODY_WITHIN_DEADLINE_BYTES)
}

/// Marks a request whose response may be streamed, with the largest response body in bytes.
#[derive(Clone, Copy, Debug)]
pub struct StreamedResponseLimit(pub u64);

/// Why a body is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The sender ended it early.
    Interrupted,
    /// The transfer was too slow or stalled.
    TimedOut,
    /// It is larger than its limit.
    TooLarge,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::Interrupted => "the body broke off",
            BodyError::TimedOut => "the body came too slowly",
            BodyError::TooLarge => "the body is too large",
        })
    }
}

impl std::error::Error for BodyError {}

/// The body of a request or a response. Clones of a streamed one share it: the first reader consumes it.
#[derive(Clone)]
pub enum MessageBody {
    /// All of it, in memory; None where it is empty or was read.
    Buffered(Option<Bytes>),
    /// Still arriving.
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
    /// All of its bytes; None where it is streamed.
    pub fn buffered(&self) -> Option<Bytes> {
        match self {
            MessageBody::Buffered(body) => Some(body.clone().unwrap_or_default()),
            MessageBody::Streaming(_) => None,
        }
    }

    /// The stream; None where it is buffered.
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
