//! Learned state as it is stored on disk and sent to peers: a [`LearnedSnapshot`], and its binary form.
//!
//! Pure: no clock, no I/O. Ages are durations, so that clocks need not agree. A file is a head and sections, each with its length
//! and a CRC-32C: a damaged section is skipped alone, one of an unknown kind is skipped, and what exceeds a bound is not read. The
//! contents are not validated beyond that; the balancer does so when it imports them.
//!
//! # The format, version 1
//!
//! All numbers are little-endian. A file is the head, and then sections to its end.
//!
//! | head | bytes |
//! | --- | --- |
//! | `amberkno` | 8 |
//! | version, 1 | 2 |
//! | oldest version whose readers can read it, 1 | 2 |
//! | CRC-32C of the 12 bytes before | 4 |
//!
//! | section | bytes |
//! | --- | --- |
//! | kind: 1 pool, 2 endpoints, 3 time | 2 |
//! | length of the content | 4 |
//! | CRC-32C of kind, length and content | 4 |
//! | content | |
//!
//! A **pool** section begins the state of a pool; the sections of endpoints behind it belong to it. It holds, in order: the pool's
//! name; the classes' names; for each class a mean (the latency of a good response); a mean over all classes; machine kinds and
//! zones, each a name and a mean; how long the balancer had run (u64, microseconds); the threshold per endpoint, the cursor
//! position and the baseline latency (f64, NaN for none). An **endpoints** section holds the CRC-32C of its pool's name, and a list
//! of up to 512 of: name; start time in milliseconds since 1970 or -1 (i64); consecutive failures (u32); for how long it is still
//! ejected (u64, microseconds); slow start tokens (f64); for each class a mean.
//!
//! A **time** section holds when the snapshot was written, in milliseconds since 1970 (u64). A file has one at its beginning, and a
//! snapshot that is sent over a connection has none. Readers before it was added skip it.
//!
//! A name is a length (u16, 256 at most) and UTF-8; a list a count (u16) and its entries; a mean is its sum and weight (f64) and
//! age (u64, microseconds).
#![warn(missing_docs)]

mod decode;
mod encode;
mod format;
mod snapshot;

pub use decode::{decode, DecodeError, SkippedSections};
pub use encode::encode;
pub use format::{MAX_FILE_BYTES, VERSION};
pub use snapshot::{LearnedSnapshot, Micros, NamedMean, PoolRecord, StoredEndpoint, StoredMean, MAX_AGE};
