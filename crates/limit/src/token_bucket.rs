//! A token bucket.

use crate::Micros;

/// The longest wait that is stated for a rate above 0, in microseconds: some 30 years, exact as an `f64`.
const MAX_WAIT_MICROS: f64 = 1e15;
/// The wait where no token is ever refilled, in microseconds; sums with times of the clock stay in range.
const NEVER: Micros = Micros::MAX / 4;

/// Tokens that are refilled at a steady rate, up to a depth.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A full bucket of this depth.
    #[must_use]
    pub fn full(now: Micros, depth: f64) -> TokenBucket {
        TokenBucket { tokens: depth, refilled_at: now }
    }

    /// Refills at `rate` tokens a second up to `depth` and returns the tokens available; negative after more were taken
    /// than there were.
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

    /// The time in microseconds until this many tokens are available at `rate` tokens a second; one that never comes at 0.
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
