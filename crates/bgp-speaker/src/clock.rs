//! The monotonic clock of the speaker: converts between `Instant` and the microseconds that the `bgp` crate
//! takes.

use std::time::Duration;

use bgp::Micros;
use tokio::time::Instant;

/// Counts microseconds from its creation.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts at zero now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Microseconds since the start.
    pub fn now(self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The instant of a time in microseconds since the start.
    pub fn instant_at(self, time: Micros) -> Instant {
        self.start + duration(time)
    }
}

/// A span in microseconds as a `Duration`; a negative one is zero.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.max(0) as u64)
}
