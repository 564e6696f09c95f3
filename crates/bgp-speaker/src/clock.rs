//! The monotonic clock of the speaker: converts between `Instant` and the microseconds that the `bgp` crate
//! takes.

use std::time::Duration;

use bgp::Micros;
use tokio::time::Instant;

/// A clock that counts microseconds from its creation.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the microseconds since the start.
    pub fn now(self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Returns the instant of a time in microseconds since the start.
    pub fn instant_at(self, time: Micros) -> Instant {
        self.start + duration(time)
    }
}

/// Converts microseconds to a `Duration`; negative values become zero.
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}
