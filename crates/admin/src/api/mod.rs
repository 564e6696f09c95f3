//! The handlers of the API, with a module for each resource, and its router.

mod entries;
mod error;
mod extract;
mod openapi;
mod status;
mod tenants;
mod tokens;
mod versions;

use std::sync::Arc;

use axum::extract::DefaultBodyLimit;
use axum::http::{header, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use serde::Serialize;
use utoipa::ToSchema;

use self::entries::{delete_entry, get_entry, put_entry, put_node_state};
use self::error::ApiError;
pub(crate) use self::extract::ClientAddress;
pub use self::openapi::openapi;
use self::status::{get_status, get_tenant_status};
use self::tenants::{
    delete_tenant, get_config, get_tenant, list_tenants, put_config, put_limits, put_tenant, rollback_tenant,
};
use self::tokens::{issue_token, list_tokens, revoke_token};
use self::versions::{get_diff, get_version, list_versions, rollback};
use crate::state::{ChangeOptions, ChangeResult, Service};

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A change that was made; with `dry_run`, one that could be made.
#[derive(Serialize, ToSchema)]
#[schema(as = Change)]
struct ChangeResponse {
    /// The version that serves now.
    version: u64,
    dry_run: bool,
}

fn change_response(result: &ChangeResult, options: &ChangeOptions) -> Response {
    let body = Json(ChangeResponse { version: result.version, dry_run: options.dry_run });
    match &result.etag {
        Some(etag) => ([(header::ETAG, etag.clone())], body).into_response(),
        None => body.into_response(),
    }
}

async fn unknown_path() -> ApiError {
    ApiError::new(StatusCode::NOT_FOUND, "no such path; /v1/openapi.json tells all there are")
}

/// Routes the paths of the API to their handlers.
pub(crate) fn router(service: Arc<Service>) -> Router {
    let entry = get(get_entry).put(put_entry).delete(delete_entry);
    Router::new()
        .route("/v1/openapi.json", get(|| async { Json(openapi()) }))
        .route("/v1/tenants", get(list_tenants))
        .route("/v1/tenants/{tenant}", get(get_tenant).put(put_tenant).delete(delete_tenant))
        .route("/v1/tenants/{tenant}/limits", put(put_limits))
        .route("/v1/tenants/{tenant}/config", get(get_config).put(put_config))
        .route("/v1/tenants/{tenant}/rollback", post(rollback_tenant))
        .route("/v1/tenants/{tenant}/config/{part}/{name}", entry)
        .route("/v1/tenants/{tenant}/pools/{pool}/nodes/{node}/state", put(put_node_state))
        .route("/v1/tenants/{tenant}/status", get(get_tenant_status))
        .route("/v1/status", get(get_status))
        .route("/v1/versions", get(list_versions))
        .route("/v1/versions/{number}", get(get_version))
        .route("/v1/versions/{before}/diff/{after}", get(get_diff))
        .route("/v1/versions/{number}/rollback", post(rollback))
        .route("/v1/tokens", get(list_tokens).post(issue_token))
        .route("/v1/tokens/{name}", axum::routing::delete(revoke_token))
        .fallback(unknown_path)
        .method_not_allowed_fallback(|| async {
            ApiError::new(StatusCode::METHOD_NOT_ALLOWED, "not with this method")
        })
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(service)
}
