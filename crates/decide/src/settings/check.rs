//! What makes settings unusable.

use std::fmt;

use super::{Class, Semantics, Settings, MAX_BALANCERS};
use crate::time::{Micros, TIME_LIMIT};

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// There are no classes.
    NoClasses,
    /// The latency objective of a class is no time to answer in.
    LatencyObjective {
        /// The class, by index.
        class: usize,
        /// Its objective, in microseconds.
        objective: Micros,
    },
    /// The priority weight of a class is no number at or above 0.
    PriorityWeight {
        /// The class, by index.
        class: usize,
        /// Its weight.
        weight: f64,
    },
    /// The deduplication window of a class is negative.
    DeduplicationWindow {
        /// The class, by index.
        class: usize,
        /// Its window, in microseconds.
        window: Micros,
    },
    /// There are no balancers, or too many.
    Balancers(u32),
    /// The rank is not that of one of the balancers.
    Rank {
        /// The rank.
        rank: u32,
        /// How many balancers there are.
        balancers: u32,
    },
    /// The tier is not one of the tiers.
    Tier {
        /// The tier.
        tier: usize,
        /// How many tiers there are.
        tiers: usize,
    },
    /// A request may have no attempt.
    NoAttempts,
    /// A span of time is out of bounds.
    Span {
        /// The key of the setting.
        key: &'static str,
        /// The span, in microseconds.
        span: Micros,
    },
    /// A number is not at or above 0.
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
            SettingsError::NoClasses => f.write_str("no classes"),
            SettingsError::LatencyObjective { class, objective } => {
                write!(f, "class {class}: the aim is no time to answer in: {objective} us")
            }
            SettingsError::PriorityWeight { class, weight } => {
                write!(f, "class {class}: not a worth: {weight}")
            }
            SettingsError::DeduplicationWindow { class, window } => {
                write!(f, "class {class}: a window of less than nothing: {window} us")
            }
            SettingsError::Balancers(balancers) => write!(f, "not a number of balancers: {balancers}"),
            SettingsError::Rank { rank, balancers } => write!(f, "rank {rank} of {balancers} balancers"),
            SettingsError::Tier { tier, tiers } => write!(f, "tier {tier} of {tiers}"),
            SettingsError::NoAttempts => f.write_str("no attempt is allowed"),
            SettingsError::Span { key, span } => write!(f, "{key}: not a span of time: {span} us"),
            SettingsError::Number { key, number } => {
                write!(f, "{key}: not a number at or above 0: {number}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// The first setting found that makes no sense.
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

/// The keys are those of the settings object.
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

/// The keys are those of the settings object.
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
