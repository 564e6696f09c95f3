//! JSON-RPC 2.0 messages and their framing, as a proxy needs them.
//!
//! The crate does no I/O: bytes in, messages out. What a proxy forwards is not parsed: `params`, `result`, `data` and ids
//! stay the bytes that arrived ([`serde_json::value::RawValue`] borrowed from the frame), so that an id of four hundred
//! digits or a number that no double can represent is forwarded unchanged. All input is bounded by [`Limits`], and no
//! input causes a panic.
#![warn(missing_docs)]

mod encode;
mod framing;
mod message;
mod object;

pub use encode::{encode_batch, encode_error, encode_request, encode_response};
pub use framing::{encode_frame, FrameDecoder, Framing, FramingError};
pub use message::{parse, Call, InvalidMessage, Message, MessageResult, Parsed, Response};
pub use object::object_members;

/// Limits of what is read from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a message, without its line end or header.
    pub message_bytes: usize,
    /// Nesting of arrays and objects.
    pub nesting_depth: usize,
    /// Entries of a batch.
    pub batch_entries: usize,
    /// Bytes of an id as it is written.
    pub id_bytes: usize,
}

impl Default for Limits {
    /// 64 KiB as for buffered bodies over HTTP, 64 levels, 100 entries, an id of 1 KiB.
    fn default() -> Self {
        Limits { message_bytes: 64 << 10, nesting_depth: 64, batch_entries: 100, id_bytes: 1 << 10 }
    }
}

/// Error codes: those of the specification, and those that a server may define (-32099 to -32000).
pub mod code {
    /// Not JSON.
    pub const PARSE_ERROR: i64 = -32700;
    /// JSON that is not a request.
    pub const INVALID_REQUEST: i64 = -32600;
    /// No method of this name.
    pub const METHOD_NOT_FOUND: i64 = -32601;
    /// Parameters that the method does not accept.
    pub const INVALID_PARAMS: i64 = -32602;
    /// A fault in the server; the call may have been executed.
    pub const INTERNAL_ERROR: i64 = -32603;
    /// Rejected; a retry is harmless.
    pub const REJECTED: i64 = -32000;
    /// Failed; the call may have been executed.
    pub const FAILED: i64 = -32001;
    /// Timed out; the call may have been executed.
    pub const TIMED_OUT: i64 = -32002;
    /// Another call with this id or idempotency key is open, or one with this key was served and its response is no longer
    /// stored.
    pub const CONFLICT: i64 = -32003;
    /// Rejected by a server before anything was executed.
    pub const NOT_PROCESSED: i64 = -32004;
    /// Larger than a limit.
    pub const TOO_LARGE: i64 = -32005;
}
