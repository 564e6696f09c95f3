//! A token bucket.

use crate::Micros;

/// The maximum wait that is returned for a rate above 0, in microseconds: about 30 years, exact as an `f64`.
const MAX_WAIT_MICROS: f64 = 1e15;
/// The wait that is returned for a rate of 0, in microseconds. Its sum with a time of the clock does not
/// overflow.
const NEVER: Micros = Micros::MAX / 4;

/// A token bucket: tokens are refilled at a steady rate, up to a depth.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket of this depth.
    #[must_use]
    pub fn full(now: Micros, depth: f64) -> TokenBucket {
        TokenBucket { tokens: depth, refilled_at: now }
    }

    /// Refills the bucket at `rate` tokens per second up to `depth`, and returns the available tokens. The
    /// result is negative if more tokens were taken than were available.
    pub fn refill(&mut self, now: Micros, rate: f64, depth: f64) -> f64 {
        let seconds = (now - self.refilled_at).max(0) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + seconds * rate).min(depth);
        self.tokens
    }

    /// Takes tokens, whether or not they are available.
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Returns the time until the given number of tokens is available at `rate` tokens per second, in
    /// microseconds. At a rate of 0 it is a time that is never reached.
    #[must_use]
    pub fn time_until(&self, tokens: f64, rate: f64) -> Micros {
        let missing = (tokens - self.tokens).max(0.0);
        if rate > 0.0 {
            (missing / rate * 1e6).ceil().min(MAX_WAIT_MICROS) as Micros
        } else {
            NEVER
        }
    }
}
