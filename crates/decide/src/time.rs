//! Time as the decisions count it: whole microseconds on one monotonic clock with an arbitrary start.

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// Times outside of this, some 35 years either way, are cut off.
pub const TIME_LIMIT: Micros = 1 << 50;
