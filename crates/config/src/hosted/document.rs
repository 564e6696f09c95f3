//! The document of tenants, which administrators may change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::diagnostics::Diagnostic;
use crate::evaluation::Report;
use crate::tenant_limits::TenantLimits;

/// The document that administrators may change. Each change is stored as a version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The tenants by name.
    pub tenants: BTreeMap<String, TenantDocument>,
}

/// A tenant as its administrators write it.
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema), schema(as = TenantDoc))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct TenantDoc")]
pub struct TenantDocument {
    /// Its hosts: `name` or `*.name`. Only the operator gives them.
    pub hosts: Vec<String>,
    /// Its limits. Only the operator gives them.
    #[serde(default)]
    pub limits: TenantLimits,
    /// `limits`, `class`, `pool`, `route` and `expect` as in the configuration file.
    #[serde(default = "empty_object")]
    #[cfg_attr(feature = "schema", schema(value_type = Object))]
    pub config: Value,
}

fn empty_object() -> Value {
    json!({})
}

/// The reason why a document is rejected.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum DocumentError {
    /// The configuration of a tenant is invalid.
    Configuration {
        /// The tenant.
        tenant: String,
        /// The problems.
        #[serde(rename = "faults")]
        diagnostics: Vec<Diagnostic>,
    },
    /// The configuration of a tenant does not meet its expectations.
    Expectations {
        /// The tenant.
        tenant: String,
        /// The results of the expectations.
        report: Report,
    },
}

impl DocumentError {
    /// A problem of a tenant without a position in a file.
    pub(crate) fn of_tenant(tenant: &str, message: &str) -> DocumentError {
        let diagnostics = vec![Diagnostic::without_position(message)];
        DocumentError::Configuration { tenant: tenant.to_owned(), diagnostics }
    }
}

impl std::error::Error for DocumentError {}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DocumentError::Configuration { tenant, diagnostics } => {
                let first = diagnostics.first().map(ToString::to_string).unwrap_or_default();
                write!(f, "tenant `{tenant}`: {first}")
            }
            DocumentError::Expectations { tenant, report } => {
                write!(f, "tenant `{tenant}`: {}", report.summary())
            }
        }
    }
}
