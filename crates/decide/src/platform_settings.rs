//! The settings object as a deployment writes it, and the names that it introduces.
//!
//! The simulator's bridge and the real proxy are given the same JSON object. The decisions take only indexes
//! and figures ([`Settings`]); the names stay here, and what only a real proxy needs is in [`Transport`].
//! Unknown keys are passed over.

use serde::Deserialize;

use crate::{Class, DeduplicationGroup, LoadReport, Micros, Semantics, Settings, Tenant, TIME_LIMIT};

/// A settings object, read and checked.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// What the decisions are told.
    pub settings: Settings,
    /// The names behind the indexes.
    pub names: NameTable,
    /// What the sockets need.
    pub transport: Transport,
}

/// The names behind the indexes of a [`PlatformSettings`]'s settings and events.
#[derive(Clone, Debug)]
pub struct NameTable {
    /// The classes, by index.
    pub classes: Vec<String>,
    /// The tenants, by index.
    pub tenants: Vec<String>,
    /// The values of a load report, in the order in which the simulator writes them.
    pub fields: Vec<LoadReportField>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

/// What only a real proxy needs to know.
#[derive(Clone, Debug)]
pub struct Transport {
    /// A backend closes a connection that has been idle for this long.
    pub keepalive: Micros,
    /// A connection not made by then has failed.
    pub connect_timeout: Micros,
    /// Nothing new may go to a backend later than this after it was said to drain or to be gone.
    pub drain_grace: Micros,
}

/// A value that a load report may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Requests in hand.
    Inflight,
    /// Requests waiting.
    Queue,
    /// Part of the processors in use.
    Utilisation,
    /// Recent service time in milliseconds.
    Service,
    /// Requests served a second.
    Rate,
    /// Errors a second.
    Errors,
    /// A name that this version does not know.
    Unknown,
}

impl LoadReportField {
    /// The field that the settings call so.
    #[must_use]
    pub fn named(name: &str) -> LoadReportField {
        match name {
            "concurrent" => LoadReportField::Inflight,
            "depth" => LoadReportField::Queue,
            "load_share" => LoadReportField::Utilisation,
            "mean_ms" => LoadReportField::Service,
            "tps" => LoadReportField::Rate,
            "err_ps" => LoadReportField::Errors,
            _ => LoadReportField::Unknown,
        }
    }

    /// Puts a value into its place in a report.
    pub fn store(self, report: &mut LoadReport, value: f64) {
        let place = match self {
            LoadReportField::Inflight => &mut report.in_flight,
            LoadReportField::Queue => &mut report.queued,
            LoadReportField::Utilisation => &mut report.utilisation,
            LoadReportField::Service => &mut report.service_ms,
            LoadReportField::Rate => &mut report.requests_per_s,
            LoadReportField::Errors => &mut report.errors_per_s,
            LoadReportField::Unknown => return,
        };
        *place = Some(value);
    }
}

impl NameTable {
    /// NameTable of classes, zones and machine kinds, by index.
    #[must_use]
    pub fn new(classes: Vec<String>, zones: Vec<String>, kinds: Vec<String>) -> NameTable {
        NameTable { classes, tenants: Vec::new(), fields: Vec::new(), zones, kinds }
    }

    /// The index of a zone; one that the settings left out gets the next.
    pub fn zone(&mut self, name: &str) -> usize {
        intern(&mut self.zones, name)
    }

    /// The index of a machine kind; one that the settings left out gets the next.
    pub fn kind(&mut self, name: &str) -> usize {
        intern(&mut self.kinds, name)
    }

    /// What a zone is called.
    #[must_use]
    pub fn zone_name(&self, index: usize) -> Option<&str> {
        self.zones.get(index).map(String::as_str)
    }

    /// What a machine kind is called.
    #[must_use]
    pub fn kind_name(&self, index: usize) -> Option<&str> {
        self.kinds.get(index).map(String::as_str)
    }

    /// The index of a zone that has one.
    #[must_use]
    pub fn find_zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|z| z == name)
    }

    /// The index of a machine kind that has one.
    #[must_use]
    pub fn find_kind(&self, name: &str) -> Option<usize> {
        self.kinds.iter().position(|k| k == name)
    }

    /// The index of a class.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c == name)
    }

    /// The index of a tenant.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|t| t == name)
    }
}

/// Milliseconds, as the settings and the wire count, in whole microseconds.
#[must_use]
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// The index of a name; a name not seen before gets the next one.
fn intern(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

/// Reads a settings object.
///
/// # Errors
/// What in it cannot be read or used, in a line.
pub fn parse(json: &str) -> Result<PlatformSettings, String> {
    let c: Config = serde_json::from_str(json).map_err(|e| format!("bad settings: {e}"))?;
    let mut zones = c.zones;
    let classes = c.request_classes.iter().map(|k| {
        let (aim, deadline) = times(k)?;
        Ok(Class {
            latency_objective: aim,
            deadline,
            priority_weight: k.gain,
            late_answer_value: k.late_value,
            semantics: semantics(k)?,
        })
    });
    let settings = Settings {
        balancers: c.balancers,
        rank: c.rank,
        tier: c.stage,
        tiers: c.stages.len(),
        zone: intern(&mut zones, &c.my_zone),
        classes: classes.collect::<Result<_, String>>()?,
        tenants: c.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        cross_zone_price: c.penalties.cross_zone,
        poll_discovery: c.discovery == "on_request",
        max_poll_interval: micros(c.contract.must_ask_in_ms),
        can_cancel: c.limits.cancel,
        hedging_allowed: c.limits.second_copies,
        health_checks_allowed: c.limits.probes,
        gossip_allowed: c.limits.peers,
        send_retry_after: c.limits.retry_after,
        max_retry_after: micros(c.limits.max_retry_after_ms),
        max_attempts: c.limits.max_attempts,
        timer_resolution: micros(c.tick_ms),
        slow_start_min_capacity: c.contract.cold_from,
        slow_start_duration: micros(c.contract.cold_ms),
        overload_multiple: c.contract.fall_multiple,
        overload_window: micros(c.contract.fall_ms),
    };
    settings.check().map_err(|e| format!("unusable settings: {e}"))?;
    Ok(PlatformSettings {
        settings,
        names: NameTable {
            classes: c.request_classes.into_iter().map(|k| k.name).collect(),
            tenants: c.tenants.into_iter().map(|t| t.name).collect(),
            fields: c.telemetry.fields.iter().map(|f| LoadReportField::named(f)).collect(),
            zones,
            kinds: c.host_types,
        },
        transport: Transport {
            keepalive: micros(c.limits.keepalive_ms),
            connect_timeout: micros(c.limits.connect_timeout_ms),
            drain_grace: micros(c.contract.stop_sending_within_ms),
        },
    })
}

/// A class's aim and deadline. Where one of them is left out it is the other.
fn times(class: &ClassConfig) -> Result<(Micros, Micros), String> {
    let time = |ms: f64| micros(ms).min(TIME_LIMIT);
    match (time(class.promise_ms), time(class.deadline_ms)) {
        (..=0, ..=0) => {
            Err(format!("request_classes: {:?} has neither promise_ms nor deadline_ms", class.name))
        }
        (aim, ..=0) => Ok((aim, aim)),
        (..=0, deadline) => Ok((deadline, deadline)),
        both => Ok(both),
    }
}

fn semantics(class: &ClassConfig) -> Result<Semantics, String> {
    Ok(match class.semantics.as_str() {
        "idempotent" => Semantics::Idempotent,
        "at_most_once" => Semantics::AtMostOnce,
        "deduplicated" => Semantics::Deduplicated {
            group: match class.group.as_str() {
                "all" => DeduplicationGroup::All,
                "zone" => DeduplicationGroup::Zone,
                "cell" => DeduplicationGroup::Cell,
                other => return Err(format!("unknown group {other:?}")),
            },
            window: micros(class.dedup_window_ms),
        },
        other => return Err(format!("unknown semantics {other:?}")),
    })
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Config {
    balancers: u32,
    rank: u32,
    stage: usize,
    stages: Vec<String>,
    my_zone: String,
    zones: Vec<String>,
    host_types: Vec<String>,
    request_classes: Vec<ClassConfig>,
    tenants: Vec<TenantConfig>,
    discovery: String,
    tick_ms: f64,
    penalties: PenaltyConfig,
    limits: LimitConfig,
    contract: ContractConfig,
    telemetry: TelemetryConfig,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ClassConfig {
    name: String,
    promise_ms: f64,
    deadline_ms: f64,
    semantics: String,
    group: String,
    dedup_window_ms: f64,
    gain: f64,
    late_value: f64,
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
    peers: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ContractConfig {
    cold_from: f64,
    cold_ms: f64,
    fall_multiple: f64,
    fall_ms: f64,
    must_ask_in_ms: f64,
    stop_sending_within_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TelemetryConfig {
    fields: Vec<String>,
}
