//! The check for unusable settings.

use std::fmt;

use super::{Class, Semantics, Settings, MAX_BALANCERS};
use crate::time::{Micros, TIME_LIMIT};

/// The reason why settings cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// There are no classes.
    NoClasses,
    /// The latency objective of a class is out of bounds.
    LatencyObjective {
        /// The class, by index.
        class: usize,
        /// The objective, in microseconds.
        objective: Micros,
    },
    /// The priority weight of a class is negative or not finite.
    PriorityWeight {
        /// The class, by index.
        class: usize,
        /// The weight.
        weight: f64,
    },
    /// The deduplication window of a class is negative.
    DeduplicationWindow {
        /// The class, by index.
        class: usize,
        /// The window, in microseconds.
        window: Micros,
    },
    /// The number of balancers is out of bounds.
    Balancers(u32),
    /// The rank is not below the number of balancers.
    Rank {
        /// The rank.
        rank: u32,
        /// The number of balancers.
        balancers: u32,
    },
    /// The tier is not below the number of tiers.
    Tier {
        /// The tier.
        tier: usize,
        /// The number of tiers.
        tiers: usize,
    },
    /// No attempt is allowed.
    NoAttempts,
    /// A duration is out of bounds.
    Span {
        /// The key of the setting.
        key: &'static str,
        /// The duration, in microseconds.
        span: Micros,
    },
    /// A number is negative or not finite.
    Number {
        /// The key of the setting.
        key: &'static str,
        /// The number.
        number: f64,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => f.write_str("no classes: at least one is required"),
            SettingsError::LatencyObjective { class, objective } => {
                write!(
                    f,
                    "class {class}: latency objective {objective} us, must be from 1 to {TIME_LIMIT} us"
                )
            }
            SettingsError::PriorityWeight { class, weight } => {
                write!(f, "class {class}: priority weight {weight}, must be a finite number of at least 0")
            }
            SettingsError::DeduplicationWindow { class, window } => {
                write!(f, "class {class}: deduplication window {window} us, must be at least 0 us")
            }
            SettingsError::Balancers(balancers) => {
                write!(f, "balancers: {balancers}, must be from 1 to {MAX_BALANCERS}")
            }
            SettingsError::Rank { rank, balancers } => {
                write!(f, "rank: {rank}, must be below the number of balancers, {balancers}")
            }
            SettingsError::Tier { tier, tiers } => {
                write!(f, "tier: {tier}, must be below the number of tiers, {tiers}")
            }
            SettingsError::NoAttempts => f.write_str("max_attempts: 0, must be at least 1"),
            SettingsError::Span { key, span } => {
                write!(f, "{key}: {span} us, must be from 0 to {TIME_LIMIT} us")
            }
            SettingsError::Number { key, number } => {
                write!(f, "{key}: {number}, must be a finite number of at least 0")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Returns the first unusable setting found as an error.
pub(super) fn check(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    for (index, class) in settings.classes.iter().enumerate() {
        check_class(index, class)?;
    }
    check_fleet(settings)?;
    if settings.max_attempts == 0 {
        return Err(SettingsError::NoAttempts);
    }
    check_spans(settings)?;
    check_numbers(settings)
}

fn check_class(index: usize, class: &Class) -> Result<(), SettingsError> {
    if !(1..=TIME_LIMIT).contains(&class.latency_objective) {
        return Err(SettingsError::LatencyObjective { class: index, objective: class.latency_objective });
    }
    if !class.priority_weight.is_finite() || class.priority_weight < 0.0 {
        return Err(SettingsError::PriorityWeight { class: index, weight: class.priority_weight });
    }
    match class.semantics {
        Semantics::Deduplicated { window, .. } if window < 0 => {
            Err(SettingsError::DeduplicationWindow { class: index, window })
        }
        _ => Ok(()),
    }
}

fn check_fleet(settings: &Settings) -> Result<(), SettingsError> {
    let Settings { balancers, rank, tier, tiers, .. } = *settings;
    if !(1..=MAX_BALANCERS).contains(&balancers) {
        return Err(SettingsError::Balancers(balancers));
    }
    if rank >= balancers {
        return Err(SettingsError::Rank { rank, balancers });
    }
    if tiers == 0 || tier >= tiers {
        return Err(SettingsError::Tier { tier, tiers });
    }
    Ok(())
}

/// Checks the durations. The keys in errors are those of the settings object without the unit; `cold_time`
/// and `fall_time` stand for `cold_ms` and `fall_ms`.
fn check_spans(settings: &Settings) -> Result<(), SettingsError> {
    let spans = [
        ("must_ask_in", settings.max_poll_interval),
        ("max_retry_after", settings.max_retry_after),
        ("tick", settings.timer_resolution),
        ("cold_time", settings.slow_start_duration),
        ("fall_time", settings.overload_window),
    ];
    match spans.into_iter().find(|(_, span)| !(0..=TIME_LIMIT).contains(span)) {
        Some((key, span)) => Err(SettingsError::Span { key, span }),
        None => Ok(()),
    }
}

/// Checks the numbers. The keys in errors are those of the settings object; `cross_zone_price` stands for
/// `cross_zone` in `penalties`.
fn check_numbers(settings: &Settings) -> Result<(), SettingsError> {
    let numbers = [
        ("cross_zone_price", settings.cross_zone_price),
        ("cold_from", settings.slow_start_min_capacity),
        ("fall_multiple", settings.overload_multiple),
    ];
    match numbers.into_iter().find(|(_, number)| !number.is_finite() || *number < 0.0) {
        Some((key, number)) => Err(SettingsError::Number { key, number }),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
