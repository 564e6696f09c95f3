//! The JSON form of the settings object, and its conversion to [`Settings`]. The keys are those of the
//! platform. The fields here are named as in [`Settings`]. Times are in milliseconds.

use std::fmt;

use serde::Deserialize;

use super::{micros, LoadReportField, NameTable, PlatformSettings, Transport};
use crate::{Class, DeduplicationGroup, Micros, Semantics, Settings, Tenant, TIME_LIMIT};

/// The value of `discovery` if the endpoint list has to be polled.
const DISCOVERY_ON_REQUEST: &str = "on_request";

/// An unknown value, or a missing one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// A class has neither an objective nor a deadline.
    ClassWithoutTimes {
        /// The name of the class.
        class: String,
    },
    /// The semantics of a class are unknown.
    UnknownSemantics(String),
    /// The deduplication group of a class is unknown.
    UnknownGroup(String),
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentError::ClassWithoutTimes { class } => {
                write!(f, "request_classes: {class:?} has neither promise_ms nor deadline_ms")
            }
            DocumentError::UnknownSemantics(semantics) => write!(f, "unknown semantics {semantics:?}"),
            DocumentError::UnknownGroup(group) => write!(f, "unknown group {group:?}"),
        }
    }
}

impl std::error::Error for DocumentError {}

/// The settings object. The names of this type and of the types of its members occur in the texts of serde's
/// errors ("expected struct Config").
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct Config {
    balancers: u32,
    rank: u32,
    #[serde(rename = "stage")]
    tier: usize,
    #[serde(rename = "stages")]
    tiers: Vec<String>,
    #[serde(rename = "my_zone")]
    own_zone: String,
    zones: Vec<String>,
    #[serde(rename = "host_types")]
    machine_kinds: Vec<String>,
    #[serde(rename = "request_classes")]
    classes: Vec<ClassConfig>,
    tenants: Vec<TenantConfig>,
    discovery: String,
    #[serde(rename = "tick_ms")]
    timer_resolution_ms: f64,
    penalties: PenaltyConfig,
    limits: LimitConfig,
    contract: ContractConfig,
    telemetry: TelemetryConfig,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ClassConfig {
    name: String,
    #[serde(rename = "promise_ms")]
    latency_objective_ms: f64,
    deadline_ms: f64,
    semantics: String,
    group: String,
    #[serde(rename = "dedup_window_ms")]
    deduplication_window_ms: f64,
    #[serde(rename = "gain")]
    priority_weight: f64,
    #[serde(rename = "late_value")]
    late_answer_value: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TenantConfig {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct PenaltyConfig {
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LimitConfig {
    cancel: bool,
    connect_timeout_ms: f64,
    keepalive_ms: f64,
    max_attempts: usize,
    max_retry_after_ms: f64,
    #[serde(rename = "peers")]
    gossip: bool,
    #[serde(rename = "probes")]
    health_checks: bool,
    retry_after: bool,
    #[serde(rename = "second_copies")]
    hedging: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ContractConfig {
    #[serde(rename = "cold_from")]
    slow_start_min_capacity: f64,
    #[serde(rename = "cold_ms")]
    slow_start_duration_ms: f64,
    #[serde(rename = "fall_multiple")]
    overload_multiple: f64,
    #[serde(rename = "fall_ms")]
    overload_window_ms: f64,
    #[serde(rename = "must_ask_in_ms")]
    max_poll_interval_ms: f64,
    #[serde(rename = "stop_sending_within_ms")]
    drain_grace_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TelemetryConfig {
    fields: Vec<String>,
}

/// The latency objective and the deadline of a class.
struct ClassTimes {
    latency_objective: Micros,
    deadline: Micros,
}

impl Config {
    /// Converts the object to settings, without the check of [`Settings::check`].
    pub(super) fn into_settings(self) -> Result<PlatformSettings, DocumentError> {
        let transport = Transport {
            keepalive: micros(self.limits.keepalive_ms),
            connect_timeout: micros(self.limits.connect_timeout_ms),
            drain_grace: micros(self.contract.drain_grace_ms),
        };
        let classes = self.classes.iter().map(ClassConfig::to_class);
        let classes = classes.collect::<Result<Vec<Class>, DocumentError>>()?;
        let mut names = self.name_table();
        let zone = names.zone(&self.own_zone);
        Ok(PlatformSettings { settings: self.settings(classes, zone), names, transport })
    }

    fn name_table(&self) -> NameTable {
        let classes = self.classes.iter().map(|class| class.name.clone()).collect();
        let fields = self.telemetry.fields.iter();
        let mut names = NameTable::new(classes, self.zones.clone(), self.machine_kinds.clone());
        names.tenants = self.tenants.iter().map(|tenant| tenant.name.clone()).collect();
        names.fields = fields.map(|key| LoadReportField::from_key(key)).collect();
        names
    }

    fn settings(&self, classes: Vec<Class>, zone: usize) -> Settings {
        let tenants = self.tenants.iter();
        Settings {
            balancers: self.balancers,
            rank: self.rank,
            tier: self.tier,
            tiers: self.tiers.len(),
            zone,
            classes,
            tenants: tenants.map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
            cross_zone_price: self.penalties.cross_zone,
            poll_discovery: self.discovery == DISCOVERY_ON_REQUEST,
            max_poll_interval: micros(self.contract.max_poll_interval_ms),
            can_cancel: self.limits.cancel,
            hedging_allowed: self.limits.hedging,
            health_checks_allowed: self.limits.health_checks,
            gossip_allowed: self.limits.gossip,
            send_retry_after: self.limits.retry_after,
            max_retry_after: micros(self.limits.max_retry_after_ms),
            max_attempts: self.limits.max_attempts,
            timer_resolution: micros(self.timer_resolution_ms),
            slow_start_min_capacity: self.contract.slow_start_min_capacity,
            slow_start_duration: micros(self.contract.slow_start_duration_ms),
            overload_multiple: self.contract.overload_multiple,
            overload_window: micros(self.contract.overload_window_ms),
        }
    }
}

impl ClassConfig {
    fn to_class(&self) -> Result<Class, DocumentError> {
        let times = self.times()?;
        Ok(Class {
            latency_objective: times.latency_objective,
            deadline: times.deadline,
            priority_weight: self.priority_weight,
            late_answer_value: self.late_answer_value,
            semantics: self.semantics()?,
        })
    }

    /// The latency objective and the deadline; if one of them is missing it equals the other.
    fn times(&self) -> Result<ClassTimes, DocumentError> {
        let latency_objective = micros(self.latency_objective_ms).min(TIME_LIMIT);
        let deadline = micros(self.deadline_ms).min(TIME_LIMIT);
        match (latency_objective, deadline) {
            (..=0, ..=0) => Err(DocumentError::ClassWithoutTimes { class: self.name.clone() }),
            (_, ..=0) => Ok(ClassTimes { latency_objective, deadline: latency_objective }),
            (..=0, _) => Ok(ClassTimes { latency_objective: deadline, deadline }),
            _ => Ok(ClassTimes { latency_objective, deadline }),
        }
    }

    fn semantics(&self) -> Result<Semantics, DocumentError> {
        match self.semantics.as_str() {
            "idempotent" => Ok(Semantics::Idempotent),
            "at_most_once" => Ok(Semantics::AtMostOnce),
            "deduplicated" => Ok(Semantics::Deduplicated {
                group: self.deduplication_group()?,
                window: micros(self.deduplication_window_ms),
            }),
            other => Err(DocumentError::UnknownSemantics(other.to_owned())),
        }
    }

    fn deduplication_group(&self) -> Result<DeduplicationGroup, DocumentError> {
        match self.group.as_str() {
            "all" => Ok(DeduplicationGroup::All),
            "zone" => Ok(DeduplicationGroup::Zone),
            "cell" => Ok(DeduplicationGroup::Cell),
            other => Err(DocumentError::UnknownGroup(other.to_owned())),
        }
    }
}
