//! The queue of messages to write to a JSON-RPC client.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;

use bytes::{Buf, Bytes};
use tokio::io::AsyncWrite;

use crate::socket::Socket;

/// The maximum number of messages per write.
const MAX_MESSAGES_PER_WRITE: usize = 16;

/// Messages in the order in which they are written.
#[derive(Default)]
pub struct OutputQueue {
    messages: VecDeque<OutputMessage>,
}

struct OutputMessage {
    /// The bytes that are not written yet.
    bytes: Bytes,
    /// The number of calls that the message answers.
    calls: usize,
}

impl OutputQueue {
    /// Whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Adds a framed message that answers `calls` calls.
    pub fn push(&mut self, frame: Bytes, calls: usize) {
        self.messages.push_back(OutputMessage { bytes: frame, calls });
    }

    /// Writes as much as the socket accepts and returns the number of bytes.
    pub async fn write_to(&self, socket: &mut Socket) -> io::Result<usize> {
        poll_fn(|context| {
            let next = self.messages.iter().take(MAX_MESSAGES_PER_WRITE);
            let slices: Vec<io::IoSlice<'_>> = next.map(|message| io::IoSlice::new(&message.bytes)).collect();
            Pin::new(&mut *socket).poll_write_vectored(context, &slices)
        })
        .await
    }

    /// Removes written bytes from the queue and returns the number of calls whose responses are now
    /// completely written.
    pub fn remove_written(&mut self, mut bytes: usize) -> usize {
        let mut completed_calls = 0;
        while let Some(message) = self.messages.front_mut() {
            let written = bytes.min(message.bytes.len());
            message.bytes.advance(written);
            bytes -= written;
            if !message.bytes.is_empty() {
                break;
            }
            completed_calls += message.calls;
            self.messages.pop_front();
        }
        completed_calls
    }
}

#[cfg(test)]
mod tests;
