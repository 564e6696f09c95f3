//! Units of time.

/// Microseconds on a monotonic clock.
pub type Micros = i64;

/// A millisecond.
pub(crate) const MS: Micros = 1_000;
/// A second.
pub(crate) const S: Micros = 1_000 * MS;
