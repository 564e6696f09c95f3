//! Many tenants: each with hosts, limits and a configuration of its own, compiled by itself. Nothing in one can name
//! anything of another's.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use limit::{Capacity, Limits};
use route::{HostOwners, HostPattern};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::file::{self, Word};
use crate::operators::Operators;
use crate::{check, load_as, Config, Fault, Faults, Fleet, Listener, Loaded, Reading, Report};

/// All that administrators may change: a version of it is kept for each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The tenants by name.
    pub tenants: BTreeMap<String, TenantDoc>,
}

/// A tenant as its administrators write it.
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDoc {
    /// Its hosts: `name` or `*.name`. Only the operator gives them.
    pub hosts: Vec<String>,
    /// Its limits. Only the operator gives them.
    #[serde(default)]
    pub limits: TenantLimits,
    /// `limits`, `class`, `pool`, `route` and `expect` as in the configuration file.
    #[serde(default = "empty")]
    #[cfg_attr(feature = "schema", schema(value_type = Object))]
    pub config: Value,
}

fn empty() -> Value {
    json!({})
}

/// Limits as they are written; what is left out is not bounded, but for connections and sockets to nodes, which go by
/// weight.
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Against the other tenants', from 1 to 10,000; 1 where it is left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Requests a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Requests at once after a pause; a second's worth where it is left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
    /// Requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u64>,
    /// Connections of callers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<u64>,
    /// Bytes of bodies held.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
    /// Attempts beyond the first, a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retries_per_s: Option<f64>,
}

/// What all tenants share, and administrators cannot change.
#[derive(Clone, Debug, PartialEq)]
pub struct Shared {
    /// The zone that this proxy stands in.
    pub zone: String,
    /// Proxies that share the pools, and this one's number among them.
    pub proxies: (u32, u32),
    /// Descriptors for callers and nodes.
    pub sockets: usize,
    /// What the whole program can bear.
    pub capacity: Capacity,
    /// Keys that are known at once, and bytes of their answers, of all tenants together.
    pub idempotency_keys: idempotency::TableLimits,
    /// Zones of callers, as listeners name them.
    pub zones: Vec<String>,
}

/// What a hosted service is told in its file: all that administrators cannot change.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Where callers connect.
    pub listeners: Vec<Listener>,
    /// What the tenants share.
    pub shared: Shared,
    /// Where operators call, if they do.
    pub operators: Option<Operators>,
    /// Where administrators connect.
    pub admin: SocketAddr,
    /// The folder of the state.
    pub state: PathBuf,
    /// The tokens that the file gives.
    pub tokens: Vec<Token>,
    pub(crate) seeds: Vec<Seed>,
}

pub(crate) type Seed = (Word, Vec<String>, TenantLimits, PathBuf, Word);

/// A token, by its hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Its name, which is told with each change that it made.
    pub name: String,
    /// What its bearer may do.
    pub role: Role,
    /// The SHA-256 of the token.
    pub sha256: [u8; 32],
}

/// What the bearer of a token may do.
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Everything.
    Operator,
    /// Change the configuration of one tenant, and see all that is its.
    Administrator(String),
    /// See what is one tenant's, or everything.
    Reader(Option<String>),
}

impl Setup {
    /// Reads the file of a hosted service, and the tenants that it starts with. None where it is that of a single one.
    ///
    /// # Errors
    /// All that is wrong.
    pub fn load(path: &Path, read: Reading<'_>) -> Result<Option<(Setup, Document)>, Faults> {
        let mut faults = Faults::default();
        let Some(text) = faults.read(path, read) else { return Err(faults) };
        let Some(file) = faults.parse::<file::File>(text) else { return Err(faults) };
        if file.admin.is_none() && file.tenants.is_empty() {
            return Ok(None);
        }
        let beside = |name: &str| path.parent().unwrap_or(Path::new("")).join(name);
        let setup = check::setup(file, text, &beside, &mut faults);
        let mut document = Document::default();
        for (name, hosts, limits, path, word) in setup.iter().flat_map(|s| &s.seeds) {
            let Some(own) = faults.read(path, read) else {
                faults.blame_last(text, word.span());
                continue;
            };
            if let Some(config) = faults.parse::<Value>(own) {
                let doc = TenantDoc { hosts: hosts.clone(), limits: limits.clone(), config };
                document.tenants.insert(name.get_ref().clone(), doc);
            }
        }
        match setup {
            Some(setup) if faults.is_empty() => Ok(Some((setup, document))),
            None if faults.is_empty() => {
                faults.at(
                    text,
                    0..0,
                    "there are tenants and no [admin]",
                    Some("add [admin] with listen and state".to_owned()),
                );
                Err(faults)
            }
            _ => Err(faults),
        }
    }
}

/// A tenant that has been checked.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// As it was written.
    pub doc: TenantDoc,
    /// Its hosts.
    pub hosts: Vec<HostPattern>,
    /// Its configuration.
    pub config: Arc<Config>,
    /// What is known of its nodes.
    pub fleet: Fleet,
}

/// All tenants, checked one by one and together.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    /// By name.
    pub all: BTreeMap<String, Arc<Tenant>>,
    /// Whose a host is.
    pub hosts: HostOwners<String>,
}

/// Why a document cannot serve.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Refused {
    /// A tenant's configuration cannot be used.
    Configuration {
        /// The tenant.
        tenant: String,
        /// What is wrong.
        faults: Vec<Fault>,
    },
    /// A tenant's configuration fails its expectations.
    Expectations {
        /// The tenant.
        tenant: String,
        /// What failed.
        report: Report,
    },
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::Configuration { tenant, faults } => {
                let first = faults.first().map(ToString::to_string).unwrap_or_default();
                write!(f, "tenant `{tenant}`: {first}")
            }
            Refused::Expectations { tenant, report } => write!(f, "tenant `{tenant}`: {}", report.summary()),
        }
    }
}

/// Sockets to nodes of a tenant with one pool, at least.
const LEAST_PER_POOL: usize = 4;
/// Connections that a tenant may have at least.
const LEAST_CONNECTIONS: u64 = 16;

impl TenantLimits {
    fn weight(&self) -> u32 {
        self.weight.unwrap_or(1)
    }

    /// What is wrong with them.
    fn check(&self) -> Result<(), String> {
        let rate = |name: &str, x: Option<f64>| match x {
            Some(x) if !(x.is_finite() && (0.001..=1e9).contains(&x)) => {
                Err(format!("`{name}`: {x} is not from 0.001 to 1000000000"))
            }
            _ => Ok(()),
        };
        rate("requests_per_s", self.requests_per_s)?;
        rate("burst", self.burst)?;
        rate("retries_per_s", self.retries_per_s)?;
        match self.weight {
            Some(weight) if !(1..=10_000).contains(&weight) => {
                Err(format!("`weight`: {weight} is not from 1 to 10000"))
            }
            _ => Ok(()),
        }
    }
}

impl Tenants {
    /// Checks a document. Tenants that are the same as `before` are taken over as they are.
    ///
    /// # Errors
    /// The first tenant that cannot serve, and why.
    pub fn compile(shared: &Shared, document: &Document, before: &Tenants) -> Result<Tenants, Refused> {
        let mut tenants = Tenants::default();
        for (name, doc) in &document.tenants {
            let kept = before.all.get(name).filter(|t| t.doc == *doc).cloned();
            let tenant = match kept {
                Some(tenant) => tenant,
                None => Arc::new(compile(shared, name, doc)?),
            };
            for (pattern, host) in tenant.hosts.iter().zip(&doc.hosts) {
                if let Err(other) = tenants.hosts.insert(pattern, name.clone()) {
                    let words = format!("host {host:?} reaches into what tenant `{other}` has");
                    return Err(refused(name, &words));
                }
            }
            tenants.all.insert(name.clone(), tenant);
        }
        for (name, tenant) in &tenants.all {
            if tenants.sockets(shared, tenant) < LEAST_PER_POOL * tenant.config.pools.len() {
                let words = format!(
                    "`server.sockets`: {} are too few for all tenants; its {} pools need more",
                    shared.sockets,
                    tenant.config.pools.len()
                );
                return Err(refused(name, &words));
            }
        }
        Ok(tenants)
    }

    fn weights(&self) -> u64 {
        self.all.values().map(|t| u64::from(t.doc.limits.weight())).sum::<u64>().max(1)
    }

    /// The sockets that a tenant's pools have together: its part by weight.
    #[must_use]
    pub fn sockets(&self, shared: &Shared, tenant: &Tenant) -> usize {
        let (_, nodes) = crate::split_sockets(shared.sockets).unwrap_or((0, 0));
        (nodes as u64 * u64::from(tenant.doc.limits.weight()) / self.weights()) as usize
    }

    /// A tenant's part of the table of keys, by weight.
    #[must_use]
    pub fn keys(&self, shared: &Shared, tenant: &Tenant) -> idempotency::TableLimits {
        let (weight, all) = (u64::from(tenant.doc.limits.weight()), self.weights());
        let part = |whole: usize| (whole as u64 / all).saturating_mul(weight).max(1) as usize;
        idempotency::TableLimits {
            max_keys: part(shared.idempotency_keys.max_keys),
            max_response_bytes: part(shared.idempotency_keys.max_response_bytes),
        }
    }

    /// A tenant's limits.
    #[must_use]
    pub fn limits(&self, shared: &Shared, tenant: &Tenant) -> Limits {
        let written = &tenant.doc.limits;
        let (callers, _) = crate::split_sockets(shared.sockets).unwrap_or((0, 0));
        let own = callers as u64 * u64::from(written.weight()) / self.weights();
        let requests_per_s = written.requests_per_s.unwrap_or(f64::INFINITY);
        Limits {
            weight: written.weight(),
            requests_per_s,
            burst: written.burst.unwrap_or(requests_per_s.max(1.0)),
            in_flight: written.in_flight.unwrap_or(u64::MAX),
            connections: written.connections.unwrap_or(own.max(LEAST_CONNECTIONS)),
            body_bytes: written.body_bytes.unwrap_or(u64::MAX),
            retries_per_s: written.retries_per_s.unwrap_or(f64::INFINITY),
        }
    }
}

fn refused(tenant: &str, words: &str) -> Refused {
    Refused::Configuration { tenant: tenant.to_owned(), faults: vec![Fault::plain(words)] }
}

fn compile(shared: &Shared, name: &str, doc: &TenantDoc) -> Result<Tenant, Refused> {
    let fault = |words: &str| refused(name, words);
    let is_name = (1..=64).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    if !is_name {
        return Err(fault("a tenant's name is of small letters, digits and `-`, 64 at most"));
    }
    doc.limits.check().map_err(|words| fault(&words))?;
    let mut hosts = Vec::new();
    for host in &doc.hosts {
        hosts.push(HostPattern::parse(host).map_err(|e| fault(&format!("`hosts`: {e}")))?);
    }
    let Value::Object(mut parts) = doc.config.clone() else {
        return Err(fault("`config` is an object with `limits`, `class`, `pool`, `route` and `expect`"));
    };
    let expect = parts.remove("expect").unwrap_or_else(|| json!([]));
    if let Some(operators) =
        ["server", "knowledge", "operators", "bgp"].into_iter().find(|key| parts.contains_key(*key))
    {
        return Err(fault(&format!("`config`: `{operators}` is the operator's")));
    }
    // Tenants share the machine, and none may make it read a file.
    let files = parts.get("pool").and_then(Value::as_array).into_iter().flatten();
    if files.clone().any(|pool| pool.get("file").is_some()) {
        return Err(fault("`config`: a tenant's pool has `nodes` or `discovery`, and no `file`"));
    }
    let listen: Vec<Value> = shared
        .zones
        .iter()
        .enumerate()
        .map(|(i, z)| json!({ "address": format!("0.0.0.0:{}", i + 1), "zone": z }))
        .collect();
    let (count, rank) = shared.proxies;
    parts.insert(
        "server".to_owned(),
        json!({
            "listen": listen, "zone": shared.zone, "expectations": ["expect.toml"],
            "sockets": 1_000_000, "proxies": { "count": count, "rank": rank },
        }),
    );
    let text = |value: &Value| toml::to_string(value).map_err(|e| fault(&format!("`config`: {e}")));
    let (config, expect) = (text(&Value::Object(parts))?, text(&json!({ "expect": expect }))?);
    let read = |path: &Path| match path.to_str() {
        Some("config") => Ok(config.clone()),
        Some("expect.toml") => Ok(expect.clone()),
        _ => Err("there are no files here".to_owned()),
    };
    let loaded: Loaded = load_as(Path::new("config"), &read, true).map_err(|faults| {
        Refused::Configuration { tenant: name.to_owned(), faults: faults.all().to_vec() }
    })?;
    let report = loaded.play();
    if !report.is_good() {
        return Err(Refused::Expectations { tenant: name.to_owned(), report });
    }
    let Loaded { config, fleet, .. } = loaded;
    Ok(Tenant { name: name.to_owned(), doc: doc.clone(), hosts, config: Arc::new(config), fleet })
}
