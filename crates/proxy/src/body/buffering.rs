//! Reads a body into memory, up to a maximum size and a deadline.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{timeout_at, Instant};

use super::BodyError;

/// The largest chunk that hyper passes on, in bytes. The last chunk may exceed the limit by as much.
pub(super) const MAX_CHUNK_BYTES: usize = 16 << 10;

/// The part of a body that was buffered.
pub enum BufferOutcome {
    /// The body was buffered in full.
    Complete(Bytes),
    /// The body is larger than the limit, or the deadline passed.
    Partial {
        /// The bytes that were read.
        prefix: Bytes,
        /// The part of the body that is still to be read.
        rest: Incoming,
    },
}

/// Buffers a body up to `max_bytes` and until `deadline`.
///
/// # Errors
/// [`BodyError::Interrupted`] if the sender ended the body early.
pub async fn buffer(
    mut body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<BufferOutcome, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Ok(BufferOutcome::Partial { prefix: Bytes::new(), rest: body });
    }
    let expected_len = body.size_hint().upper().map_or(max_bytes + MAX_CHUNK_BYTES, |bytes| bytes as usize);
    let mut buffer = Buffer::new(expected_len);
    while buffer.len() <= max_bytes {
        let Ok(frame) = timeout_at(deadline, body.frame()).await else { break };
        let Some(frame) = frame else { return Ok(BufferOutcome::Complete(buffer.into_bytes())) };
        let frame = frame.map_err(|_| BodyError::Interrupted)?;
        if let Ok(data) = frame.into_data() {
            buffer.append(data);
        }
    }
    Ok(BufferOutcome::Partial { prefix: buffer.into_bytes(), rest: body })
}

/// The chunks of a body. Most bodies are a single chunk, which is not copied.
struct Buffer {
    first: Bytes,
    /// The concatenation of all chunks; empty while there is at most one.
    joined: Vec<u8>,
    /// The largest expected length, for which memory is allocated once: a buffer that doubles uses more than
    /// twice its length while it grows.
    expected_len: usize,
}

impl Buffer {
    fn new(expected_len: usize) -> Buffer {
        Buffer { first: Bytes::new(), joined: Vec::new(), expected_len }
    }

    fn len(&self) -> usize {
        self.first.len().max(self.joined.len())
    }

    fn append(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.first = data;
            return;
        }
        if self.joined.is_empty() {
            self.joined.reserve_exact(self.expected_len.max(self.first.len() + data.len()));
            self.joined.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.joined.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() {
            self.first
        } else {
            self.joined.into()
        }
    }
}
