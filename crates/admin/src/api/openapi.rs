//! The OpenAPI document, generated from the handlers.

use serde_json::Value;
use utoipa::OpenApi;

// `utoipa::path` generates an item beside each handler, which `derive(OpenApi)` needs in scope.
use super::entries::*;
use super::status::*;
use super::tenants::*;
use super::tokens::*;
use super::versions::*;

struct BearerSecurity;

impl utoipa::Modify for BearerSecurity {
    fn modify(&self, openapi: &mut utoipa::openapi::OpenApi) {
        use utoipa::openapi::security::{HttpAuthScheme, HttpBuilder, SecurityScheme};
        let scheme = HttpBuilder::new().scheme(HttpAuthScheme::Bearer).build();
        let components = openapi.components.get_or_insert_with(Default::default);
        components.add_security_scheme("token", SecurityScheme::Http(scheme));
    }
}

#[derive(OpenApi)]
#[openapi(
    info(title = "amberlever administration", description = "Tenants, their configuration and limits, status, versions, tokens."),
    paths(
        list_tenants, get_tenant, put_tenant, delete_tenant, put_limits, get_config, put_config, rollback_tenant,
        get_entry, put_entry, delete_entry, put_node_state, get_status, get_tenant_status, list_versions,
        get_version, get_diff, rollback, list_tokens, issue_token, revoke_token
    ),
    modifiers(&BearerSecurity)
)]
struct Document;

/// The OpenAPI document of the API.
#[must_use]
pub fn openapi() -> Value {
    serde_json::to_value(Document::openapi()).unwrap_or_default()
}
