//! Handlers for tokens.

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::Json;
use config::Role;
use serde::{Deserialize, Serialize};
use utoipa::ToSchema;

use super::error::{ApiResult, Problem};
use super::extract::{BodyResult, PathResult, ServiceState};
use crate::auth::Principal;

#[derive(Deserialize, ToSchema)]
#[serde(deny_unknown_fields, expecting = "struct NewToken")]
#[schema(as = NewToken)]
pub(super) struct NewTokenRequest {
    name: String,
    role: Role,
}

#[derive(Serialize, ToSchema)]
#[schema(as = TokenHead)]
pub(super) struct TokenSummary {
    name: String,
    role: Role,
}

/// A token, told this once.
#[derive(Serialize, ToSchema)]
#[schema(as = Issued)]
pub(super) struct IssuedToken {
    name: String,
    token: String,
}

/// The tokens by name and role; never what they are.
#[utoipa::path(get, path = "/v1/tokens", responses((status = 200, body = [TokenSummary])), security(("token" = [])))]
pub(super) async fn list_tokens(
    State(service): ServiceState,
    principal: Principal,
) -> ApiResult<Json<Vec<TokenSummary>>> {
    principal.authorize_write(None)?;
    Ok(Json(service.tokens().into_iter().map(|(name, role)| TokenSummary { name, role }).collect()))
}

/// Issues a token; it is told this once. The operator's.
#[utoipa::path(post, path = "/v1/tokens", request_body = NewTokenRequest,
    responses((status = 200, body = IssuedToken), (status = 400, body = Problem)), security(("token" = [])))]
pub(super) async fn issue_token(
    State(service): ServiceState,
    principal: Principal,
    body: BodyResult<NewTokenRequest>,
) -> ApiResult<Json<IssuedToken>> {
    principal.authorize_write(None)?;
    let Json(NewTokenRequest { name, role }) = body?;
    let token = service.issue(&name, role).await?;
    Ok(Json(IssuedToken { name, token }))
}

/// Revokes a token that was issued here, at once. The operator's.
#[utoipa::path(delete, path = "/v1/tokens/{name}", params(("name" = String, Path)),
    responses((status = 204), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn revoke_token(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<String>,
) -> ApiResult<StatusCode> {
    principal.authorize_write(None)?;
    let Path(name) = path?;
    service.revoke(&name).await?;
    Ok(StatusCode::NO_CONTENT)
}
