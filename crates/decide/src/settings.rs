//! The settings object as a deployment writes it, and the names that it introduces.
//!
//! The simulator's bridge and the real proxy are given the same JSON object. The decisions take only indexes
//! and figures ([`Settings`]); the names stay here, and what only a real proxy needs is in [`Transport`].
//! Unknown keys are passed over.

use serde::Deserialize;

use crate::interface::*;

/// A settings object, read and checked.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the decisions are told.
    pub settings: Settings,
    /// The names behind the indexes.
    pub names: Names,
    /// What the sockets need.
    pub transport: Transport,
}

/// The names behind the indexes of a [`Site`]'s settings and events.
#[derive(Clone, Debug)]
pub struct Names {
    /// The classes, by index.
    pub classes: Vec<String>,
    /// The tenants, by index.
    pub tenants: Vec<String>,
    /// The values of a load report, in the order in which the simulator writes them.
    pub fields: Vec<Field>,
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
pub enum Field {
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

impl Field {
    /// The field that the settings call so.
    #[must_use]
    pub fn named(name: &str) -> Field {
        match name {
            "concurrent" => Field::Inflight,
            "depth" => Field::Queue,
            "load_share" => Field::Utilisation,
            "mean_ms" => Field::Service,
            "tps" => Field::Rate,
            "err_ps" => Field::Errors,
            _ => Field::Unknown,
        }
    }

    /// Puts a value into its place in a report.
    pub fn store(self, report: &mut Report, value: f64) {
        let place = match self {
            Field::Inflight => &mut report.inflight,
            Field::Queue => &mut report.queue,
            Field::Utilisation => &mut report.utilisation,
            Field::Service => &mut report.service_ms,
            Field::Rate => &mut report.rate,
            Field::Errors => &mut report.errors,
            Field::Unknown => return,
        };
        *place = Some(value);
    }
}

impl Names {
    /// Names of classes, zones and machine kinds, by index.
    #[must_use]
    pub fn new(classes: Vec<String>, zones: Vec<String>, kinds: Vec<String>) -> Names {
        Names { classes, tenants: Vec::new(), fields: Vec::new(), zones, kinds }
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
pub fn parse(json: &str) -> Result<Site, String> {
    let c: Config = serde_json::from_str(json).map_err(|e| format!("bad settings: {e}"))?;
    let mut zones = c.zones;
    let classes = c.request_classes.iter().map(|k| {
        let (aim, deadline) = times(k)?;
        Ok(Class { aim, deadline, gain: k.gain, late_value: k.late_value, semantics: semantics(k)? })
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
        ask_discovery: c.discovery == "on_request",
        must_ask_in: micros(c.contract.must_ask_in_ms),
        can_cancel: c.limits.cancel,
        second_copies: c.limits.second_copies,
        can_probe: c.limits.probes,
        peers: c.limits.peers,
        retry_after: c.limits.retry_after,
        max_retry_after: micros(c.limits.max_retry_after_ms),
        max_attempts: c.limits.max_attempts,
        tick: micros(c.tick_ms),
        cold_from: c.contract.cold_from,
        cold_time: micros(c.contract.cold_ms),
        fall_multiple: c.contract.fall_multiple,
        fall_time: micros(c.contract.fall_ms),
    };
    settings.check().map_err(|e| format!("unusable settings: {e}"))?;
    Ok(Site {
        settings,
        names: Names {
            classes: c.request_classes.into_iter().map(|k| k.name).collect(),
            tenants: c.tenants.into_iter().map(|t| t.name).collect(),
            fields: c.telemetry.fields.iter().map(|f| Field::named(f)).collect(),
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
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
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
