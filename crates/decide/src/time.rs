//! Time in the decisions: whole microseconds on one monotonic clock with an arbitrary start.

use fastrand::Rng;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// The bound of all times in both directions, about 35 years; times beyond it are clamped.
pub const TIME_LIMIT: Micros = 1 << 50;

/// The time of an event that never happened. It is earlier than any time within [`TIME_LIMIT`]; subtracting
/// it from such a time does not overflow.
pub(crate) const DISTANT_PAST: Micros = Micros::MIN / 4;

/// The time from `from` to `to`, in microseconds.
pub(crate) fn elapsed(from: Micros, to: Micros) -> f64 {
    (to - from) as f64
}

/// A random time from `now + wait / 2` to `now + wait`, so that balancers do not act at the same time.
pub(crate) fn jittered(now: Micros, wait: Micros, rng: &mut Rng) -> Micros {
    now + wait / 2 + rng.i64(0..=wait / 2)
}

/// The recent past that measurements cover: samples decay with `time_constant`, and none is older than
/// `started_at`.
#[derive(Clone, Copy)]
pub(crate) struct ObservationWindow {
    /// The time constant of the exponential decay, in microseconds.
    pub time_constant: f64,
    /// The time of the first event of the balancer.
    pub started_at: Micros,
}

/// The lowest age that [`ObservationWindow::span`] assumes, in time constants.
const MIN_AGE: f64 = 0.01;

impl ObservationWindow {
    /// The time that the balancer has run, in microseconds.
    pub fn age(&self, now: Micros) -> f64 {
        elapsed(self.started_at, now)
    }

    /// The span that decayed counts cover, in microseconds; it grows towards one time constant.
    pub fn span(&self, now: Micros) -> f64 {
        let age = (self.age(now) / self.time_constant).max(MIN_AGE);
        self.time_constant * (1.0 - (-age).exp())
    }

    /// One time constant in whole microseconds.
    pub fn micros(&self) -> Micros {
        self.time_constant as Micros
    }
}
