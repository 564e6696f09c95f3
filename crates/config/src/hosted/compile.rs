//! Compiles a tenant's configuration like the file of a standalone proxy, with the operator's sections added.

use std::path::Path;
use std::sync::Arc;

use route::HostPattern;
use serde_json::{json, Map, Value};

use super::{DocumentError, SharedSettings, Tenant, TenantDocument};
use crate::load::{load_as, Loaded};
use crate::standalone::Emptiness;

const CONFIG_FILE: &str = "config";
const EXPECTATIONS_FILE: &str = "expect.toml";
/// The sections that only the operator may write.
const OPERATORS_SECTIONS: [&str; 4] = ["server", "knowledge", "operators", "bgp"];
/// The sockets of the compiled file: enough for any number of pools, because the tenant's share of the real
/// sockets is checked with all tenants together.
const UNBOUNDED_SOCKETS: usize = 1_000_000;
const MAX_NAME_BYTES: usize = 64;

/// Checks a tenant and evaluates its expectations.
pub(super) fn compile_tenant(
    shared: &SharedSettings,
    name: &str,
    document: &TenantDocument,
) -> Result<Tenant, DocumentError> {
    let error = |message: &str| DocumentError::of_tenant(name, message);
    if !is_tenant_name(name) {
        return Err(error("a tenant's name is of small letters, digits and `-`, 64 at most"));
    }
    document.limits.check().map_err(|message| error(&message))?;
    let hosts = parse_hosts(&document.hosts).map_err(|message| error(&message))?;
    let files = TenantFiles::new(shared, &document.config).map_err(|message| error(&message))?;
    let loaded = load_as(Path::new(CONFIG_FILE), &|path| files.read(path), Emptiness::Allowed);
    let loaded = loaded.map_err(|diagnostics| DocumentError::Configuration {
        tenant: name.to_owned(),
        diagnostics: diagnostics.all().to_vec(),
    })?;
    let report = loaded.evaluate_expectations();
    if !report.is_good() {
        return Err(DocumentError::Expectations { tenant: name.to_owned(), report });
    }
    let Loaded { config, endpoints, .. } = loaded;
    let config = Arc::new(config);
    Ok(Tenant { name: name.to_owned(), document: document.clone(), hosts, config, endpoints })
}

fn is_tenant_name(name: &str) -> bool {
    let is_name_byte = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_name_byte)
}

fn parse_hosts(hosts: &[String]) -> Result<Vec<HostPattern>, String> {
    let parse = |host: &String| HostPattern::parse(host).map_err(|error| format!("`hosts`: {error}"));
    hosts.iter().map(parse).collect()
}

/// The files of a tenant, in memory only.
struct TenantFiles {
    config: String,
    expectations: String,
}

impl TenantFiles {
    fn new(shared: &SharedSettings, config: &Value) -> Result<TenantFiles, String> {
        let Value::Object(mut sections) = config.clone() else {
            return Err(
                "`config` is an object with `limits`, `class`, `pool`, `route` and `expect`".to_owned()
            );
        };
        let expectations = sections.remove("expect").unwrap_or_else(|| json!([]));
        check_sections(&sections)?;
        sections.insert("server".to_owned(), server_section(shared));
        Ok(TenantFiles {
            config: to_toml(&Value::Object(sections))?,
            expectations: to_toml(&json!({ "expect": expectations }))?,
        })
    }

    fn read(&self, path: &Path) -> Result<String, String> {
        match path.to_str() {
            Some(CONFIG_FILE) => Ok(self.config.clone()),
            Some(EXPECTATIONS_FILE) => Ok(self.expectations.clone()),
            _ => Err("there are no files here".to_owned()),
        }
    }
}

/// Rejects the operator's sections, and pools with a `file`: tenants share the machine, and a tenant must not
/// make it read a file.
fn check_sections(sections: &Map<String, Value>) -> Result<(), String> {
    if let Some(section) = OPERATORS_SECTIONS.into_iter().find(|section| sections.contains_key(*section)) {
        return Err(format!("`config`: `{section}` is the operator's"));
    }
    let mut pools = sections.get("pool").and_then(Value::as_array).into_iter().flatten();
    if pools.any(|pool| pool.get("file").is_some()) {
        return Err("`config`: a tenant's pool has `nodes` or `discovery`, and no `file`".to_owned());
    }
    Ok(())
}

/// The section `server` of a compiled file. It has a listener for each zone of clients, so that routes may
/// refer to the zones.
fn server_section(shared: &SharedSettings) -> Value {
    let listener = |(index, zone): (usize, &String)| json!({ "address": format!("0.0.0.0:{}", index + 1), "zone": zone });
    let listeners: Vec<Value> = shared.zones.iter().enumerate().map(listener).collect();
    json!({
        "listen": listeners,
        "zone": shared.zone,
        "expectations": [EXPECTATIONS_FILE],
        "sockets": UNBOUNDED_SOCKETS,
        "proxies": { "count": shared.proxies.count, "rank": shared.proxies.rank },
    })
}

fn to_toml(value: &Value) -> Result<String, String> {
    toml::to_string(value).map_err(|error| format!("`config`: {error}"))
}
