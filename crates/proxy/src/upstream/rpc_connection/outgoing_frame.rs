//! A frame that waits to be written to a JSON-RPC endpoint.

use bytes::Bytes;
use jsonrpc::{encode_frame, Framing};

use super::call::CallBytesWritten;
use crate::upstream::attempt_error::NotSentReason;

/// Encodes a call from its id, or says why it may no longer be sent.
type EncodeCall = Box<dyn Fn(&str) -> Result<Vec<u8>, NotSentReason>>;

/// A frame to write.
pub struct OutgoingFrame {
    content: FrameContent,
    /// The number of bytes of the frame that were written.
    progress: CallBytesWritten,
}

enum FrameContent {
    /// A call of which nothing is written. It is encoded as late as possible, because it contains the time that
    /// its client has left, and may only be sent for a limited time.
    UnwrittenCall { id: String, encode: EncodeCall },
    /// A call of which a part is written, or a notification.
    Encoded(Bytes),
}

impl OutgoingFrame {
    /// Creates the frame of a call.
    pub fn call(
        id: String,
        encode: impl Fn(&str) -> Result<Vec<u8>, NotSentReason> + 'static,
        progress: CallBytesWritten,
    ) -> OutgoingFrame {
        OutgoingFrame { content: FrameContent::UnwrittenCall { id, encode: Box::new(encode) }, progress }
    }

    /// Creates the frame of a notification.
    pub fn notification(frame: Bytes) -> OutgoingFrame {
        OutgoingFrame { content: FrameContent::Encoded(frame), progress: CallBytesWritten::default() }
    }

    /// The id of the call, if nothing of it is written.
    pub fn unwritten_call(&self) -> Option<&str> {
        match &self.content {
            FrameContent::UnwrittenCall { id, .. } => Some(id),
            FrameContent::Encoded(_) => None,
        }
    }

    /// The whole encoded frame. A call of which nothing is written is encoded anew.
    ///
    /// # Errors
    /// Returns the reason if the call may no longer be sent.
    pub fn encode(&self, framing: Framing) -> Result<Bytes, NotSentReason> {
        match &self.content {
            FrameContent::UnwrittenCall { id, encode } => {
                let message = encode(&format!("\"{id}\""))?;
                Ok(encode_frame(framing, &message).into())
            }
            FrameContent::Encoded(frame) => Ok(frame.clone()),
        }
    }

    /// The number of bytes that were written.
    pub fn written(&self) -> usize {
        self.progress.bytes()
    }

    /// Records that `bytes` more of the encoded `frame` were written. Returns whether it is complete.
    pub fn on_written(&mut self, frame: Bytes, bytes: usize) -> bool {
        self.progress.add(bytes);
        let is_complete = self.progress.bytes() == frame.len();
        self.content = FrameContent::Encoded(frame);
        is_complete
    }
}
