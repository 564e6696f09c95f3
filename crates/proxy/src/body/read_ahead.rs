//! The part of a body that was read before its reader asked for it.
//!
//! The end of a body is only seen when it is read. While an endpoint takes a request body more slowly than its
//! client sends it, flow control would keep the end in the buffers of the two kernels, and the client would wait
//! for its response without this process knowing. Reading ahead shows the end. It is bounded by
//! [`MAX_READ_AHEAD_BYTES`] and by the memory for requests in flight; beyond that, flow control stops the client.

use std::collections::VecDeque;

use bytes::Bytes;

use super::buffering::MAX_CHUNK_BYTES;
use super::client_wait::MAX_CLIENT_BUFFER_BYTES;
use super::BodyError;
use crate::memory::MemoryReservation;

/// The largest part of a body that is read ahead, in bytes: as many as the kernel of a client may hold, so that a
/// client that is that far ahead of the endpoint is seen to be sending.
const MAX_READ_AHEAD_BYTES: usize = MAX_CLIENT_BUFFER_BYTES as usize;

/// How the sender ended a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// With its last byte.
    Complete,
    /// With an error.
    Failed(BodyError),
}

/// Chunks that were read ahead, and how the body ended.
#[derive(Default)]
pub struct ReadAhead {
    chunks: VecDeque<Bytes>,
    bytes: usize,
    reservation: Option<MemoryReservation>,
    end: Option<BodyEnd>,
}

impl ReadAhead {
    /// Whether nothing is read ahead, not even the end.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty() && self.end.is_none()
    }

    /// Whether another chunk may be read ahead: reserves memory for it from the budget of `memory`.
    pub fn reserve_chunk(&mut self, memory: &MemoryReservation) -> bool {
        if self.end.is_some() || self.bytes >= MAX_READ_AHEAD_BYTES {
            return false;
        }
        let reservation = self.reservation.get_or_insert_with(|| memory.another());
        reservation.raise_optionally(self.bytes + MAX_CHUNK_BYTES)
    }

    /// Whether the last byte of the body was read.
    pub fn is_complete(&self) -> bool {
        self.end == Some(BodyEnd::Complete)
    }

    /// Adds a chunk, for which memory was reserved.
    pub fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.bytes += chunk.len();
            self.chunks.push_back(chunk);
        }
    }

    /// Records how the body ended.
    pub fn finish(&mut self, end: BodyEnd) {
        self.end = Some(end);
    }

    /// Whether the reader has taken the last byte.
    pub fn is_taken_whole(&self) -> bool {
        self.is_complete() && self.chunks.is_empty()
    }

    /// Takes the next chunk; once there is none, how the body ended. To be called only if something was read
    /// ahead.
    ///
    /// # Errors
    /// Returns how the body ended.
    pub fn take(&mut self) -> Result<Bytes, BodyEnd> {
        let end = self.end.unwrap_or(BodyEnd::Complete);
        let chunk = self.chunks.pop_front().ok_or(end)?;
        self.bytes -= chunk.len();
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink_to(self.bytes);
        }
        Ok(chunk)
    }
}
