//! The clock of the proxy: monotonic microseconds since the clock's creation, with conversion from and to
//! Unix time.

#[cfg(test)]
mod tests;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use decide::{Micros, TIME_LIMIT};
use tokio::time::Instant;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// A monotonic clock in microseconds, and the Unix time of its start.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_micros_at_start: Micros,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_micros_at_start: unix_time.as_micros() as Micros }
    }

    /// Microseconds since the clock's start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The instant at which the clock reads `at`.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.clamp(0, TIME_LIMIT) as u64)
    }

    /// The reading of the clock at a time in Unix milliseconds: negative before the clock's start, `None` for
    /// 0, which stands for no time.
    pub fn at_unix_ms(&self, unix_ms: f64) -> Option<Micros> {
        let unix_micros = (unix_ms * MICROS_PER_MILLISECOND as f64) as Micros;
        (unix_ms != 0.0).then(|| unix_micros.saturating_sub(self.unix_micros_at_start))
    }

    /// Unix milliseconds at a reading of the clock; `None` before 1970 or if the sum overflows.
    pub fn unix_ms(&self, at: Micros) -> Option<u64> {
        let unix_micros = at.checked_add(self.unix_micros_at_start)?;
        u64::try_from(unix_micros / MICROS_PER_MILLISECOND).ok()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
