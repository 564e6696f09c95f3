//! Learned state as it is stored on disk and sent to peers: a [`LearnedSnapshot`], and its binary form.
//!
//! The crate does no I/O and reads no clock. Ages are durations, so that the clocks of two machines need not
//! be synchronised. A file is a head and a sequence of sections, each with a length and a CRC-32C. A section
//! that is damaged or of an unknown kind is skipped, and the other sections are still read. Data beyond a
//! bound is not read. The contents are not validated further; the balancer validates them on import.
//!
//! # The format, version 1
//!
//! All numbers are little-endian. A file consists of the head and of sections up to the end of the file.
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
//! A **pool** section begins the state of a pool; the endpoints sections after it belong to that pool. It
//! holds, in order: the name of the pool; the list of the names of the classes; for each class a mean (the
//! latency of a good response); a mean over all classes; the lists of machine kinds and of zones, each entry
//! a name and a mean; the uptime of the balancer (u64, microseconds); the threshold per endpoint, the cursor
//! position and the baseline latency (f64, NaN for none).
//!
//! An **endpoints** section holds the CRC-32C of the name of the pool, and a list of up to 512 endpoints,
//! each with: name; start time in milliseconds since 1970, or -1 if unknown (i64); consecutive failures
//! (u32); remaining time of ejection (u64, microseconds); slow start tokens (f64); a mean for each class.
//!
//! A **time** section holds the time of writing in milliseconds since 1970 (u64). A file has one at its
//! beginning; a snapshot that is sent over a connection has none. Readers that predate this section skip it.
//!
//! A name is a length (u16, at most 256) and UTF-8; a list is a count (u16) and its entries; a mean is a sum
//! and a weight (f64) and an age (u64, microseconds).
#![warn(missing_docs)]

mod decode;
mod encode;
mod format;
mod snapshot;

pub use decode::{decode, DecodeError, SkippedSections};
pub use encode::encode;
pub use format::{MAX_FILE_BYTES, VERSION};
pub use snapshot::{LearnedSnapshot, Micros, NamedMean, PoolRecord, StoredEndpoint, StoredMean, MAX_AGE};
