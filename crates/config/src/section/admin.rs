//! Sections `[admin]` and `[[tenant]]`, and the key `server.capacity`, which are for hosted services only.

use limit::Capacity;
use serde::{Deserialize, Serialize};
use toml::Spanned;

use crate::checker::{Checker, SpannedString};
use crate::tenant_limits::TenantLimits;

const SHA256_BYTES: usize = 32;
const DEFAULT_CAPACITY_IN_FLIGHT: u64 = 10_000;
const DEFAULT_CAPACITY_BODY_BYTES: u64 = 64 << 20;

/// A token for the API. Only its hash is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The name, which is recorded with each change made with the token.
    pub name: String,
    /// The permissions of its bearer.
    pub role: Role,
    /// The SHA-256 of the token.
    pub sha256: [u8; SHA256_BYTES],
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Admin")]
pub(crate) struct AdminFile {
    pub listen: SpannedString,
    pub state: SpannedString,
    #[serde(default, rename = "token")]
    pub tokens: Vec<TokenFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Token")]
pub(crate) struct TokenFile {
    pub name: SpannedString,
    pub role: SpannedString,
    pub tenant: Option<SpannedString>,
    pub sha256: SpannedString,
}

/// A tenant of the first version, which is used if no version is stored yet.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Seed")]
pub(crate) struct InitialTenantFile {
    pub name: SpannedString,
    pub hosts: Vec<String>,
    #[serde(default)]
    pub limits: TenantLimits,
    pub file: SpannedString,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Capacity")]
pub(crate) struct CapacityFile {
    pub requests_per_s: Option<f64>,
    pub in_flight: Option<u64>,
    pub body_bytes: Option<u64>,
}

impl From<&CapacityFile> for Capacity {
    fn from(file: &CapacityFile) -> Self {
        Capacity {
            requests_per_s: file.requests_per_s.filter(|rate| *rate > 0.0).unwrap_or(f64::INFINITY),
            in_flight: file.in_flight.unwrap_or(DEFAULT_CAPACITY_IN_FLIGHT).max(1),
            body_bytes: file.body_bytes.unwrap_or(DEFAULT_CAPACITY_BODY_BYTES).max(1),
        }
    }
}

impl Checker<'_> {
    /// Checks a token. Returns `None` if its role or its hash is invalid.
    pub(crate) fn token(&mut self, section: &TokenFile) -> Option<Token> {
        let sha256 = parse_sha256(section.sha256.get_ref());
        if sha256.is_none() {
            let help = "`amberlever token` makes a token and prints its hash".to_owned();
            self.report(section.sha256.span(), "`sha256`: not 64 hex digits", Some(help));
        }
        let role = self.role(&section.role, section.tenant.as_ref())?;
        Some(Token { name: section.name.get_ref().clone(), role, sha256: sha256? })
    }

    fn role(&mut self, role: &SpannedString, tenant: Option<&SpannedString>) -> Option<Role> {
        let tenant = tenant.map(Spanned::get_ref).cloned();
        match (role.get_ref().as_str(), tenant) {
            ("operator", None) => Some(Role::Operator),
            ("administrator", Some(tenant)) => Some(Role::Administrator(tenant)),
            ("reader", tenant) => Some(Role::Reader(tenant)),
            (other, _) => {
                let help = "write role = \"operator\", or \"administrator\" with a tenant, or \"reader\"";
                self.report(
                    role.span(),
                    format!("`role`: {other:?} is unknown or does not fit `tenant`"),
                    Some(help.to_owned()),
                );
                None
            }
        }
    }
}

fn parse_sha256(hex: &str) -> Option<[u8; SHA256_BYTES]> {
    let byte = |start: usize| u8::from_str_radix(hex.get(start..start + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..hex.len()).step_by(2).map(byte).collect();
    bytes?.try_into().ok()
}
