//! Handlers for the stored versions of the document.

use axum::extract::{Path, State};
use axum::response::Response;
use axum::Json;
use serde::Serialize;
use serde_json::Value;
use utoipa::ToSchema;

use super::error::{ApiResult, Problem};
use super::extract::{OptionsResult, PathResult, ServiceState};
use super::{change_response, ChangeResponse};
use crate::auth::Principal;
use crate::edit;
use crate::state::as_json;

const MAX_LISTED_VERSIONS: usize = 1_000;

/// A version, without what it holds.
#[derive(Serialize, ToSchema)]
#[schema(as = Version)]
pub(super) struct VersionSummary {
    number: u64,
    /// In Unix milliseconds.
    at_ms: u64,
    /// The name of the token that made it.
    #[serde(rename = "who")]
    token_name: String,
    #[serde(rename = "why")]
    reason: String,
}

/// A version with what it holds.
#[derive(Serialize, ToSchema)]
#[schema(as = WholeVersion)]
pub(super) struct VersionWithDocument {
    #[serde(flatten)]
    summary: VersionSummary,
    /// The tenants by name.
    #[schema(value_type = Object)]
    document: Value,
}

/// What differs in one place.
#[derive(Serialize, ToSchema)]
pub(super) struct Difference {
    /// The place, by names.
    path: String,
    #[schema(value_type = Option<Object>)]
    #[serde(skip_serializing_if = "Option::is_none")]
    before: Option<Value>,
    #[schema(value_type = Option<Object>)]
    #[serde(skip_serializing_if = "Option::is_none")]
    after: Option<Value>,
}

fn version_summary(record: &store::Record) -> VersionSummary {
    VersionSummary {
        number: record.number,
        at_ms: record.at_ms,
        token_name: record.who.clone(),
        reason: record.why.clone(),
    }
}

/// The versions, newest first.
#[utoipa::path(get, path = "/v1/versions", responses((status = 200, body = [VersionSummary])), security(("token" = [])))]
pub(super) async fn list_versions(
    State(service): ServiceState,
    principal: Principal,
) -> ApiResult<Json<Vec<VersionSummary>>> {
    principal.authorize_read(None)?;
    Ok(Json(service.versions(MAX_LISTED_VERSIONS).await.iter().map(version_summary).collect()))
}

/// A version and what it holds.
#[utoipa::path(get, path = "/v1/versions/{number}", params(("number" = u64, Path)),
    responses((status = 200, body = VersionWithDocument), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn get_version(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<u64>,
) -> ApiResult<Json<VersionWithDocument>> {
    principal.authorize_read(None)?;
    let Path(number) = path?;
    let (record, document) = service.version(number).await?;
    Ok(Json(VersionWithDocument { summary: version_summary(&record), document: as_json(&document) }))
}

/// What differs between two versions.
#[utoipa::path(get, path = "/v1/versions/{before}/diff/{after}", params(("before" = u64, Path), ("after" = u64, Path)),
    responses((status = 200, body = [Difference]), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn get_diff(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<(u64, u64)>,
) -> ApiResult<Json<Vec<Value>>> {
    principal.authorize_read(None)?;
    let Path((before, after)) = path?;
    let (_, before) = service.version(before).await?;
    let (_, after) = service.version(after).await?;
    Ok(Json(edit::diff(&as_json(&before), &as_json(&after))))
}

/// Makes a new version that holds what an old one did. The operator's.
#[utoipa::path(post, path = "/v1/versions/{number}/rollback", params(("number" = u64, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query)),
    responses((status = 200, body = ChangeResponse), (status = 404, body = Problem), (status = 422, body = Problem)), security(("token" = [])))]
pub(super) async fn rollback(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<u64>,
    options: OptionsResult,
) -> ApiResult<Response> {
    principal.authorize_write(None)?;
    let Path(number) = path?;
    let options = options?;
    let (_, old) = service.version(number).await?;
    let result = service.change(&principal, &options, None, |document| {
        *document = old;
        Ok(())
    });
    Ok(change_response(&result.await?, &options))
}
