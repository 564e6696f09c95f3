//! Handlers for the status of tenants.

use std::collections::BTreeMap;

use axum::extract::{Path, State};
use axum::Json;
use limit::RejectReason;
use serde::Serialize;
use utoipa::ToSchema;

use super::error::{ApiResult, Problem};
use super::extract::{PathResult, ServiceState};
use crate::auth::Principal;
use crate::state::{unknown_tenant, TenantStatus};

/// What a tenant uses; counts are since its start in this process.
#[derive(Serialize, ToSchema)]
#[schema(as = Status)]
pub(super) struct UsageStatus {
    tenant: String,
    /// The version under which its requests are taken.
    version: u64,
    /// Its pools run; those of a tenant that is silent do not.
    started: bool,
    admitted: u64,
    /// Refusals by cause.
    #[serde(rename = "refused")]
    rejected: BTreeMap<String, u64>,
    /// Attempts beyond the first.
    retries: u64,
    in_flight: u64,
    connections: u64,
    body_bytes: u64,
}

fn usage_status(tenant: String, status: &TenantStatus) -> UsageStatus {
    let usage = status.usage;
    let rejected =
        RejectReason::ALL.iter().map(|reason| (reason.name().to_owned(), usage.rejected[*reason])).collect();
    UsageStatus {
        tenant,
        version: status.version,
        started: status.started,
        admitted: usage.admitted,
        rejected,
        retries: usage.retries,
        in_flight: usage.in_flight,
        connections: usage.connections,
        body_bytes: usage.body_bytes,
    }
}

/// What each tenant that the token may see uses.
#[utoipa::path(get, path = "/v1/status", responses((status = 200, body = [UsageStatus])), security(("token" = [])))]
pub(super) async fn get_status(State(service): ServiceState, principal: Principal) -> Json<Vec<UsageStatus>> {
    let all = service.status().await;
    let visible = all.iter().filter(|(name, _)| principal.authorize_read(Some(name)).is_ok());
    Json(visible.map(|(name, status)| usage_status(name.clone(), status)).collect())
}

/// What a tenant uses.
#[utoipa::path(get, path = "/v1/tenants/{tenant}/status", params(("tenant" = String, Path)),
    responses((status = 200, body = UsageStatus), (status = 404, body = Problem)), security(("token" = [])))]
pub(super) async fn get_tenant_status(
    State(service): ServiceState,
    principal: Principal,
    path: PathResult<String>,
) -> ApiResult<Json<UsageStatus>> {
    let Path(tenant) = path?;
    principal.authorize_read(Some(&tenant))?;
    let all = service.status().await;
    let found = all.get(&tenant).ok_or_else(|| unknown_tenant(&tenant))?;
    Ok(Json(usage_status(tenant, found)))
}
