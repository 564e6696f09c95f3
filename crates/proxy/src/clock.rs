//! The clock of the decisions: monotonic microseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use decide::{Micros, TIME_LIMIT};
use tokio::time::Instant;

/// The monotonic clock of the decisions, and where Unix time stands on it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

impl Clock {
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The instant at which the clock reads `at`.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.clamp(0, TIME_LIMIT) as u64)
    }

    /// What the clock read at a time in Unix milliseconds; 0 stands for no time.
    pub fn at_unix_ms(&self, ms: f64) -> Option<Micros> {
        (ms != 0.0).then(|| ((ms * 1000.0) as Micros).saturating_sub(self.unix_start))
    }

    /// Unix milliseconds at a time of the clock.
    pub fn unix_ms(&self, at: Micros) -> Option<u64> {
        u64::try_from(at.checked_add(self.unix_start)? / 1000).ok()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unix_time_stands_on_the_monotonic_clock() {
        let clock = Clock { start: Instant::now(), unix_start: 1_700_000_000_000_000 };
        assert_eq!(clock.at_unix_ms(0.0), None, "0 is long ago");
        assert_eq!(clock.at_unix_ms(1_700_000_000_250.0), Some(250_000));
        assert_eq!(clock.at_unix_ms(1_699_999_999_000.0), Some(-1_000_000), "before this proxy's start");
        assert_eq!(clock.unix_ms(-1_000_000), Some(1_699_999_999_000));
        assert_eq!((clock.unix_ms(Micros::MAX), clock.unix_ms(Micros::MIN / 2)), (None, None));
        assert_eq!(clock.instant(250_000), clock.start + Duration::from_millis(250));
    }
}
