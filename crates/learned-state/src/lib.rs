//! What was learned, as it is written to disk and told to peers: a [`Snapshot`], and its bytes.
//!
//! Pure: no clock, no I/O. Ages are durations, so that no two clocks need agree. A file is a head and sections, each with
//! its length and a CRC-32C: a damaged one costs itself and no more, one of an unknown kind is passed over, and what is
//! longer than a bound is not read. Nothing in it is believed beyond that: the decisions see to it.
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
//! | kind: 1 pool, 2 nodes, 3 time | 2 |
//! | length of the content | 4 |
//! | CRC-32C of kind, length and content | 4 |
//! | content | |
//!
//! A **pool** section begins what is known of a pool; sections of nodes behind it belong to it. It holds, in
//! order: the pool's name; the classes' names; for each class a mean (what a good answer takes); a mean of all; kinds and
//! zones, each a name and a mean; how long the decisions had run (u64, microseconds); T1 a server, the cursor and the
//! baseline (f64, NaN for none). **Nodes** hold the CRC-32C
//! of their pool's name, and a list of up to 512 of: name; start time in milliseconds since 1970 or -1 (i64);
//! failures in a row (u32); how long it is left alone (u64, microseconds); cold budget (f64); for each class a mean.
//!
//! A **time** section holds when it was written, in milliseconds since 1970 (u64). A file has one at its beginning, and
//! what is told over a connection has none. Readers before it was added pass over it.
//!
//! A name is a length (u16, 256 at most) and UTF-8; a list a count (u16) and its entries; a mean is its sum and weight
//! (f64) and age (u64, microseconds).
#![warn(missing_docs)]

mod read;
mod write;

pub use read::{read, Faults, Unreadable};
pub use write::write;

/// A span of time in microseconds.
pub type Micros = u64;

/// Older than any that still says something, in microseconds: about a year.
pub const VERY_OLD: Micros = 365 * 86_400_000_000;

/// The version that [`write()`] writes.
pub const VERSION: u16 = 1;
/// The largest file that is read, in bytes.
pub const MOST_BYTES: usize = 64 << 20;
/// The longest name, in bytes.
pub const MOST_NAME: usize = 256;
/// Pools, and nodes of one, that are read.
pub const MOST_POOLS: usize = 10_000;
/// See [`MOST_POOLS`].
pub const MOST_NODES: usize = 100_000;
/// Classes, kinds and zones of a pool.
pub const MOST_LIST: usize = 1_024;

pub(crate) const MAGIC: &[u8; 8] = b"amberkno";
pub(crate) const POOL: u16 = 1;
pub(crate) const NODES: u16 = 2;
pub(crate) const TIME: u16 = 3;
/// Nodes in a section: so many are lost with one that is damaged.
pub(crate) const IN_SECTION: usize = 512;

/// All that was learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// When it was written, in milliseconds since 1970, by the clock of the machine that wrote it.
    pub written_ms: Option<u64>,
    /// By pool.
    pub pools: Vec<Pool>,
}

impl Snapshot {
    /// How old it is by a clock that reads `now_ms`. One that does not say when it was written, or that is of a time to
    /// come, is very old: one of the clocks is wrong, and nobody knows by how much.
    #[must_use]
    pub fn age(&self, now_ms: u64) -> Micros {
        let age = self.written_ms.and_then(|written| now_ms.checked_sub(written));
        age.map_or(VERY_OLD, |ms| ms.saturating_mul(1000).min(VERY_OLD))
    }
}

/// A sum over so many samples, as they stood so long ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    /// The sum.
    pub sum: f64,
    /// How many there are.
    pub weight: f64,
    /// Since the last of them.
    pub age: Micros,
}

/// What was learned of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// The names of the classes, in the order in which nodes tell of them.
    pub classes: Vec<String>,
    /// What a good answer of each takes, in microseconds.
    pub usual: Vec<Mean>,
    /// What any good answer takes.
    pub any: Mean,
    /// Time spent for each good answer against the pool's, by machine kind.
    pub kinds: Vec<(String, Mean)>,
    /// The part of the calls without an answer, by zone.
    pub zones: Vec<(String, Mean)>,
    /// How long its decisions had run.
    pub up_for: Micros,
    /// T1 for each server that is ready.
    pub threshold: Option<f64>,
    /// Where the cursor stands, as a part of the table.
    pub cursor: f64,
    /// The latency of a quiet pool, as a part of the aim.
    pub baseline: Option<f64>,
    /// The nodes.
    pub nodes: Vec<Node>,
}

/// What was learned of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Node {
    /// The name that its source gives.
    pub name: String,
    /// When it was started, in milliseconds since 1970, where that is known.
    pub started_ms: Option<u64>,
    /// Failures in a row.
    pub fails: u32,
    /// It is left alone for so much longer.
    pub out_for: Micros,
    /// What is left of its cold budget, in calls.
    pub cold_tokens: f64,
    /// Time spent for each good answer against the pool's, by class.
    pub classes: Vec<Mean>,
}
