//! JSON-RPC 2.0 messages and their framing, for a proxy.
//!
//! The crate does no I/O. Values that a proxy forwards are not parsed: `params`, `result`, `data` and ids
//! remain the bytes that arrived ([`serde_json::value::RawValue`] borrowed from the frame), so that an id of
//! four hundred digits or a number that no double can represent is forwarded unchanged. All input is bounded
//! by [`Limits`], and no input causes a panic.
#![warn(missing_docs)]

mod encode;
mod framing;
mod message;
mod object;

pub use encode::{encode_batch, encode_error, encode_request, encode_response};
pub use framing::{encode_frame, FrameDecoder, Framing, FramingError};
pub use message::{parse, Call, InvalidMessage, Message, MessageResult, Parsed, Response};
pub use object::object_members;

/// Limits on the messages of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum length of a message in bytes, without its line end or header.
    pub message_bytes: usize,
    /// The maximum nesting depth of arrays and objects.
    pub nesting_depth: usize,
    /// The maximum number of entries of a batch.
    pub batch_entries: usize,
    /// The maximum length of an id in bytes, as it is written.
    pub id_bytes: usize,
}

impl Default for Limits {
    /// 64 KiB per message, the same as for buffered bodies over HTTP, 64 levels, 100 entries, and 1 KiB per
    /// id.
    fn default() -> Self {
        Limits { message_bytes: 64 << 10, nesting_depth: 64, batch_entries: 100, id_bytes: 1 << 10 }
    }
}

/// Error codes: those of the specification, and those that a server may define (-32099 to -32000).
pub mod code {
    /// The message is not JSON.
    pub const PARSE_ERROR: i64 = -32700;
    /// The message is JSON, but not a request.
    pub const INVALID_REQUEST: i64 = -32600;
    /// There is no method of this name.
    pub const METHOD_NOT_FOUND: i64 = -32601;
    /// The method does not accept the parameters.
    pub const INVALID_PARAMS: i64 = -32602;
    /// The server has failed; the call may have been executed.
    pub const INTERNAL_ERROR: i64 = -32603;
    /// The call was rejected; a retry is safe.
    pub const REJECTED: i64 = -32000;
    /// The call failed; it may have been executed.
    pub const FAILED: i64 = -32001;
    /// The call timed out; it may have been executed.
    pub const TIMED_OUT: i64 = -32002;
    /// Another call with the same id or idempotency key is open, or a call with the same key was served and
    /// its response is no longer stored.
    pub const CONFLICT: i64 = -32003;
    /// An endpoint rejected the call before executing any of it.
    pub const NOT_PROCESSED: i64 = -32004;
    /// A message is too long, or a batch has too many entries.
    pub const TOO_LARGE: i64 = -32005;
}
