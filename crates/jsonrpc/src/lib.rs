//! JSON-RPC 2.0 messages and their framing, as a proxy needs them.
//!
//! Pure: bytes in, messages out. What a proxy passes on it does not read: `params`, `result`, `data` and ids stay the
//! bytes that came ([`serde_json::value::RawValue`] borrowed from the frame), so that an id of four hundred digits or
//! a number that no double holds goes on as it was. Everything is bounded ([`Bounds`]), and no bytes cause a panic.
#![warn(missing_docs)]

mod framing;
mod message;
mod write;

pub use framing::{frame, Framer, Framing, Unframed};
pub use message::{members, parse, Body, Call, Entry, Invalid, Parsed, Response};
pub use write::{batch, error, request, response};

/// Bounds of what is read from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of a message, its line end or head not counted.
    pub bytes: usize,
    /// Arrays and objects within one another.
    pub depth: usize,
    /// Entries of a batch.
    pub entries: usize,
    /// Bytes of an id as it is written.
    pub id: usize,
}

impl Default for Bounds {
    /// 64 KiB, as for bodies over HTTP; 64 deep; 100 entries; an id of 1 KiB.
    fn default() -> Self {
        Bounds { bytes: 64 << 10, depth: 64, entries: 100, id: 1 << 10 }
    }
}

/// Error codes: those of the specification, and those that a server may define (-32099 to -32000).
pub mod code {
    /// Not JSON.
    pub const PARSE: i64 = -32700;
    /// JSON, and no request.
    pub const INVALID_REQUEST: i64 = -32600;
    /// No method of this name.
    pub const NO_METHOD: i64 = -32601;
    /// Parameters that the method does not take.
    pub const INVALID_PARAMS: i64 = -32602;
    /// A fault in the server: it may have run.
    pub const INTERNAL: i64 = -32603;
    /// Refused: trying again is harmless.
    pub const REFUSED: i64 = -32000;
    /// Failed: it may have run.
    pub const FAILED: i64 = -32001;
    /// Out of time: it may have run.
    pub const TIMED_OUT: i64 = -32002;
    /// The id or the key of a request that is open.
    pub const OPEN: i64 = -32003;
    /// Turned away by a server before anything ran.
    pub const NOT_PROCESSED: i64 = -32004;
    /// Larger than is taken.
    pub const TOO_LARGE: i64 = -32005;
}
