//! What a route asks of host and path.

mod host;
mod path;

pub use self::host::HostPattern;
pub use self::path::PathPattern;
pub(crate) use self::path::{Segment, SegmentRank};

use std::fmt;

/// Why a pattern is invalid, in words that say what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatternError(String);

impl fmt::Display for PatternError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PatternError {}
