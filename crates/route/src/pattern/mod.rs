//! Patterns of hosts and paths.

mod host;
mod path;

pub use self::host::HostPattern;
pub use self::path::PathPattern;
pub(crate) use self::path::{Segment, SegmentRank};

use std::fmt;

/// An error in a pattern. The message states the fault and, if known, the correct form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatternError(String);

impl fmt::Display for PatternError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PatternError {}
