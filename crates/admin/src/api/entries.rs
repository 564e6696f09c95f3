//! Handlers for the classes, pools, routes and endpoints of a tenant, by name.

use axum::extract::{Path, State};
use axum::http::header;
use axum::response::{IntoResponse, Response};
use axum::Json;
use serde::Deserialize;
use serde_json::Value;
use utoipa::ToSchema;

use super::error::{ApiResult, Problem};
use super::extract::{BodyResult, OptionsResult, PathResult, ServiceState};
use super::{change_response, ChangeResponse};
use crate::auth::Principal;
use crate::edit;
use crate::state::{etag, tenant_mut, ChangeError};

#[derive(Deserialize, ToSchema)]
#[serde(deny_unknown_fields, expecting = "struct NodeState")]
#[schema(as = NodeState)]
pub(super) struct EndpointStateRequest {
    /// `ready` or `draining`.
    state: String,
}

/// A class, pool or route of a tenant, by its name.
#[utoipa::path(get, path = "/v1/tenants/{tenant}/config/{part}/{name}", params(("tenant" = String, Path), ("part" = String, Path, description = "classes, pools or routes"), ("name" = String, Path)),
    responses((status = 200, body = Object), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn get_entry(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<(String, String, String)>,
) -> ApiResult<Response> {
    let Path((tenant, part, name)) = path?;
    principal.authorize_read(Some(&tenant))?;
    let mut document = service.document().await;
    let doc = tenant_mut(&mut document, &tenant)?;
    let section = section_key(&part)?;
    let entry = edit::entry(&doc.config, section, &name).ok_or_else(|| unknown_entry(section, &name))?;
    Ok(([(header::ETAG, etag(doc))], Json(entry.clone())).into_response())
}

fn section_key(part: &str) -> Result<&'static str, ChangeError> {
    let none = || ChangeError::NotFound(format!("there are classes, pools and routes, and no {part}"));
    edit::section_key(part).ok_or_else(none)
}

fn unknown_entry(kind: &str, name: &str) -> ChangeError {
    ChangeError::NotFound(format!("there is no {kind} `{name}`"))
}

/// Makes or changes a class, pool or route. The tenant's administrator's.
#[utoipa::path(put, path = "/v1/tenants/{tenant}/config/{part}/{name}", params(("tenant" = String, Path), ("part" = String, Path), ("name" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = Object, responses((status = 200, body = ChangeResponse), (status = 422, body = Problem)), security(("token" = [])))]
pub(super) async fn put_entry(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<(String, String, String)>,
    options: OptionsResult,
    body: BodyResult<Value>,
) -> ApiResult<Response> {
    let Path((tenant, part, name)) = path?;
    principal.authorize_write(Some(&tenant))?;
    let options = options?;
    let Json(entry) = body?;
    let section = section_key(&part)?;
    let result = service.change(&principal, &options, Some(&tenant), |document| {
        edit::put(&mut tenant_mut(document, &tenant)?.config, section, &name, entry)
            .map_err(ChangeError::Malformed)
    });
    Ok(change_response(&result.await?, &options))
}

/// Takes out a class, pool or route. The tenant's administrator's.
#[utoipa::path(delete, path = "/v1/tenants/{tenant}/config/{part}/{name}", params(("tenant" = String, Path), ("part" = String, Path), ("name" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    responses((status = 200, body = ChangeResponse), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn delete_entry(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<(String, String, String)>,
    options: OptionsResult,
) -> ApiResult<Response> {
    let Path((tenant, part, name)) = path?;
    principal.authorize_write(Some(&tenant))?;
    let options = options?;
    let section = section_key(&part)?;
    let result = service.change(&principal, &options, Some(&tenant), |document| {
        let removed = edit::remove(&mut tenant_mut(document, &tenant)?.config, section, &name);
        removed.then_some(()).ok_or_else(|| unknown_entry(section, &name))
    });
    Ok(change_response(&result.await?, &options))
}

/// Drains a node of a pool's list, or restores it. The tenant's administrator's.
#[utoipa::path(put, path = "/v1/tenants/{tenant}/pools/{pool}/nodes/{node}/state", params(("tenant" = String, Path), ("pool" = String, Path), ("node" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = EndpointStateRequest, responses((status = 200, body = ChangeResponse), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn put_node_state(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<(String, String, String)>,
    options: OptionsResult,
    body: BodyResult<EndpointStateRequest>,
) -> ApiResult<Response> {
    let Path((tenant, pool, node)) = path?;
    principal.authorize_write(Some(&tenant))?;
    let options = options?;
    let Json(EndpointStateRequest { state }) = body?;
    let result = service.change(&principal, &options, Some(&tenant), |document| {
        let set = edit::set_endpoint_state(&mut tenant_mut(document, &tenant)?.config, &pool, &node, &state);
        set.then_some(()).ok_or_else(|| unknown_entry("node", &format!("{pool}/{node}")))
    });
    Ok(change_response(&result.await?, &options))
}
