//! Handlers for tenants: hosts, limits and configuration.

use axum::extract::{Path, State};
use axum::http::{header, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Json;
use config::{TenantDocument, TenantLimits};
use serde::Serialize;
use serde_json::Value;
use utoipa::ToSchema;

use super::error::{ApiError, ApiResult, Problem};
use super::extract::{BodyResult, OptionsResult, PathResult, ServiceState};
use super::{change_response, ChangeResponse};
use crate::auth::Principal;
use crate::state::{etag, tenant_mut};

#[derive(Serialize, ToSchema)]
#[schema(as = TenantHead)]
pub(super) struct TenantSummary {
    name: String,
    hosts: Vec<String>,
    etag: String,
}

/// The tenants that the token may see.
#[utoipa::path(get, path = "/v1/tenants", responses((status = 200, body = [TenantSummary])), security(("token" = [])))]
pub(super) async fn list_tenants(
    State(service): ServiceState,
    principal: Principal,
) -> Json<Vec<TenantSummary>> {
    let document = service.document().await;
    let visible = document.tenants.iter().filter(|(name, _)| principal.authorize_read(Some(name)).is_ok());
    Json(
        visible
            .map(|(name, doc)| TenantSummary {
                name: name.clone(),
                hosts: doc.hosts.clone(),
                etag: etag(doc),
            })
            .collect(),
    )
}

/// A tenant: hosts, limits and configuration.
#[utoipa::path(get, path = "/v1/tenants/{tenant}", params(("tenant" = String, Path)),
    responses((status = 200, body = TenantDocument), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn get_tenant(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<String>,
) -> ApiResult<Response> {
    let Path(tenant) = path?;
    principal.authorize_read(Some(&tenant))?;
    let mut document = service.document().await;
    let doc = tenant_mut(&mut document, &tenant)?;
    Ok(([(header::ETAG, etag(doc))], Json(doc.clone())).into_response())
}

/// Makes a tenant, or changes all of it. The operator's. What exists is changed with `If-Match` only.
#[utoipa::path(put, path = "/v1/tenants/{tenant}", params(("tenant" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = TenantDocument, responses((status = 200, body = ChangeResponse), (status = 412, body = Problem), (status = 422, body = Problem)), security(("token" = [])))]
pub(super) async fn put_tenant(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<String>,
    options: OptionsResult,
    body: BodyResult<TenantDocument>,
) -> ApiResult<Response> {
    let Path(tenant) = path?;
    principal.authorize_write(None)?;
    let options = options?;
    let Json(doc) = body?;
    let result = service.change(&principal, &options, Some(&tenant), |document| {
        document.tenants.insert(tenant.clone(), doc);
        Ok(())
    });
    Ok(change_response(&result.await?, &options))
}

/// Takes a tenant out: its requests get their answers, then its pools go. The operator's.
#[utoipa::path(delete, path = "/v1/tenants/{tenant}", params(("tenant" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    responses((status = 200, body = ChangeResponse), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn delete_tenant(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<String>,
    options: OptionsResult,
) -> ApiResult<Response> {
    let Path(tenant) = path?;
    principal.authorize_write(None)?;
    let options = options?;
    let result = service.change(&principal, &options, Some(&tenant), |document| {
        tenant_mut(document, &tenant)?;
        document.tenants.remove(&tenant);
        Ok(())
    });
    Ok(change_response(&result.await?, &options))
}

/// Changes a tenant's limits. The operator's.
#[utoipa::path(put, path = "/v1/tenants/{tenant}/limits", params(("tenant" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = TenantLimits, responses((status = 200, body = ChangeResponse), (status = 422, body = Problem)), security(("token" = [])))]
pub(super) async fn put_limits(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<String>,
    options: OptionsResult,
    body: BodyResult<TenantLimits>,
) -> ApiResult<Response> {
    let Path(tenant) = path?;
    principal.authorize_write(None)?;
    let options = options?;
    let Json(limits) = body?;
    let result = service.change(&principal, &options, Some(&tenant), |document| {
        tenant_mut(document, &tenant)?.limits = limits;
        Ok(())
    });
    Ok(change_response(&result.await?, &options))
}

/// A tenant's configuration: `limits`, `class`, `pool`, `route`, `expect`.
#[utoipa::path(get, path = "/v1/tenants/{tenant}/config", params(("tenant" = String, Path)),
    responses((status = 200, body = Object), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn get_config(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<String>,
) -> ApiResult<Response> {
    let Path(tenant) = path?;
    principal.authorize_read(Some(&tenant))?;
    let mut document = service.document().await;
    let doc = tenant_mut(&mut document, &tenant)?;
    Ok(([(header::ETAG, etag(doc))], Json(doc.config.clone())).into_response())
}

/// Changes a tenant's configuration. Its administrator's.
#[utoipa::path(put, path = "/v1/tenants/{tenant}/config", params(("tenant" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = Object, responses((status = 200, body = ChangeResponse), (status = 412, body = Problem), (status = 422, body = Problem)), security(("token" = [])))]
pub(super) async fn put_config(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<String>,
    options: OptionsResult,
    body: BodyResult<Value>,
) -> ApiResult<Response> {
    let Path(tenant) = path?;
    principal.authorize_write(Some(&tenant))?;
    let options = options?;
    let Json(config) = body?;
    let result = service.change(&principal, &options, Some(&tenant), |document| {
        tenant_mut(document, &tenant)?.config = config;
        Ok(())
    });
    Ok(change_response(&result.await?, &options))
}

/// Puts a tenant's configuration back to what it was in a version. Its administrator's.
#[utoipa::path(post, path = "/v1/tenants/{tenant}/rollback", params(("tenant" = String, Path), ("to" = u64, Query), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    responses((status = 200, body = ChangeResponse), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn rollback_tenant(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<String>,
    options: OptionsResult,
) -> ApiResult<Response> {
    let Path(tenant) = path?;
    principal.authorize_write(Some(&tenant))?;
    let options = options?;
    let version = options
        .rollback_to
        .ok_or_else(|| ApiError::new(StatusCode::BAD_REQUEST, "`to` has to name a version"))?;
    let (_, mut old) = service.version(version).await?;
    let config = tenant_mut(&mut old, &tenant)?.config.clone();
    let result = service.change(&principal, &options, Some(&tenant), |document| {
        tenant_mut(document, &tenant)?.config = config;
        Ok(())
    });
    Ok(change_response(&result.await?, &options))
}
