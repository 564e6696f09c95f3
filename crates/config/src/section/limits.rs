//! Section `[limits]`: durations and bounds for all pools.

use decide::Micros;
use serde::Deserialize;
use toml::Spanned;

use crate::checker::Checker;

/// The largest body that is buffered completely, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;
/// The largest value of `body_bytes`, in bytes.
pub const MAX_BODY_BYTES: u64 = 40 << 20;

const ATTEMPTS: std::ops::RangeInclusive<usize> = 1..=10;

/// Durations and bounds for all pools. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum number of attempts of a request.
    pub max_attempts: usize,
    /// The time after which a connection that is not established has failed.
    pub connect_timeout: Micros,
    /// The duration for which endpoints keep idle connections open.
    pub keep_alive: Micros,
    /// The time after which an endpoint that was reported as draining gets no new request.
    pub drain_grace: Micros,
    /// The largest Retry-After; 0 means that none is sent.
    pub retry_after: Micros,
    /// The duration of the slow start of an endpoint.
    pub slow_start_duration: Micros,
    /// The fraction of an endpoint's capacity at the beginning of its slow start.
    pub slow_start_min_capacity: f64,
    /// The price of an attempt that crosses zones, in units of priority weight.
    pub cross_zone_price: f64,
    /// The largest body of an HTTP request or response, in bytes. Bodies above [`MAX_BUFFERED_BODY_BYTES`]
    /// are streamed, in a single attempt.
    pub body_bytes: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Limits")]
pub(crate) struct LimitsFile {
    pub attempts: Spanned<usize>,
    pub connect_timeout_ms: Spanned<u64>,
    pub keep_alive_ms: Spanned<u64>,
    pub drain_grace_ms: Spanned<u64>,
    pub retry_after_ms: Spanned<u64>,
    #[serde(rename = "cold_ms")]
    pub slow_start_duration_ms: Spanned<u64>,
    #[serde(rename = "cold_from")]
    pub slow_start_min_capacity: Spanned<f64>,
    pub cross_zone_price: Spanned<f64>,
    pub body_bytes: Option<Spanned<usize>>,
}

impl Default for LimitsFile {
    fn default() -> Self {
        let milliseconds = |value| Spanned::new(0..0, value);
        LimitsFile {
            attempts: Spanned::new(0..0, 3),
            connect_timeout_ms: milliseconds(1_000),
            keep_alive_ms: milliseconds(30_000),
            drain_grace_ms: milliseconds(1_000),
            retry_after_ms: milliseconds(2_000),
            slow_start_duration_ms: milliseconds(10_000),
            slow_start_min_capacity: Spanned::new(0..0, 0.2),
            cross_zone_price: Spanned::new(0..0, 0.05),
            body_bytes: None,
        }
    }
}

impl Checker<'_> {
    pub(crate) fn limits(&mut self, section: &LimitsFile) -> Limits {
        let body_bytes = self.body_bytes(&section.body_bytes);
        let max_attempts = *section.attempts.get_ref();
        if !ATTEMPTS.contains(&max_attempts) {
            let message = format!("`attempts`: {max_attempts} is not from 1 to 10");
            self.report(section.attempts.span(), message, None);
        }
        Limits {
            max_attempts,
            connect_timeout: self.milliseconds("connect_timeout_ms", &section.connect_timeout_ms, 1),
            keep_alive: self.milliseconds("keep_alive_ms", &section.keep_alive_ms, 100),
            drain_grace: self.milliseconds("drain_grace_ms", &section.drain_grace_ms, 200),
            retry_after: self.milliseconds("retry_after_ms", &section.retry_after_ms, 0),
            slow_start_duration: self.milliseconds("cold_ms", &section.slow_start_duration_ms, 0),
            slow_start_min_capacity: self.number("cold_from", &section.slow_start_min_capacity, 0.0..=1.0),
            cross_zone_price: self.number("cross_zone_price", &section.cross_zone_price, 0.0..=10.0),
            body_bytes,
        }
    }

    fn body_bytes(&mut self, body_bytes: &Option<Spanned<usize>>) -> u64 {
        let Some(value) = body_bytes else { return MAX_BUFFERED_BODY_BYTES };
        let bytes = *value.get_ref() as u64;
        if !(MAX_BUFFERED_BODY_BYTES..=MAX_BODY_BYTES).contains(&bytes) {
            let message =
                format!("`body_bytes`: {bytes} is not from {MAX_BUFFERED_BODY_BYTES} to {MAX_BODY_BYTES}");
            self.report(value.span(), message, None);
        }
        bytes
    }
}
