//! Units of time.

/// Microseconds on a monotonic clock.
pub type Micros = i64;

/// One millisecond.
pub(crate) const MILLISECOND: Micros = 1_000;
/// One second.
pub(crate) const SECOND: Micros = 1_000 * MILLISECOND;
