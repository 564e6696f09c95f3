//! The paths of the API, and the OpenAPI document that is made from them.

use std::net::IpAddr;
use std::sync::Arc;

use axum::extract::rejection::{JsonRejection, PathRejection, QueryRejection};
use axum::extract::{DefaultBodyLimit, FromRequestParts, Path, Query, State};
use axum::http::request::Parts;
use axum::http::{header, HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use config::{Role, TenantDocument, TenantLimits};
use limit::RejectReason;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use utoipa::{OpenApi, ToSchema};

use crate::auth::{Denied, Who};
use crate::edit;
use crate::state::{as_json, tag, tenant_mut, Made, Manner, Rejected, Service, TenantStatus};

/// The largest body of a request.
const MOST_BODY: usize = 4 << 20;
/// Versions that a list tells.
const MOST_VERSIONS: usize = 1_000;
const MOST_WHY: usize = 1_000;

/// Where a request came from.
#[derive(Clone, Copy)]
pub(crate) struct From(pub IpAddr);

type Shared = State<Arc<Service>>;

// ---- What goes in and out ----

/// Why a request was not done.
#[derive(Serialize, ToSchema)]
struct Problem {
    /// In a line.
    error: String,
    /// The faults of a configuration, or the expectations that fail.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<Object>)]
    detail: Option<Value>,
}

/// A change that was made; with `dry_run`, one that could be made.
#[derive(Serialize, ToSchema)]
struct Change {
    /// The version that serves now.
    version: u64,
    dry_run: bool,
}

#[derive(Serialize, ToSchema)]
struct TenantHead {
    name: String,
    hosts: Vec<String>,
    etag: String,
}

/// A version, without what it holds.
#[derive(Serialize, ToSchema)]
struct Version {
    number: u64,
    /// In Unix milliseconds.
    at_ms: u64,
    /// The name of the token that made it.
    who: String,
    why: String,
}

/// A version with what it holds.
#[derive(Serialize, ToSchema)]
struct WholeVersion {
    #[serde(flatten)]
    head: Version,
    /// The tenants by name.
    #[schema(value_type = Object)]
    document: Value,
}

/// What differs in one place.
#[derive(Serialize, ToSchema)]
struct Difference {
    /// The place, by names.
    path: String,
    #[schema(value_type = Option<Object>)]
    #[serde(skip_serializing_if = "Option::is_none")]
    before: Option<Value>,
    #[schema(value_type = Option<Object>)]
    #[serde(skip_serializing_if = "Option::is_none")]
    after: Option<Value>,
}

/// What a tenant uses; counts are since its start in this process.
#[derive(Serialize, ToSchema)]
struct Status {
    tenant: String,
    /// The version under which its requests are taken.
    version: u64,
    /// Its pools run; those of a tenant that is silent do not.
    started: bool,
    admitted: u64,
    /// Refusals by cause.
    refused: std::collections::BTreeMap<String, u64>,
    /// Attempts beyond the first.
    retries: u64,
    in_flight: u64,
    connections: u64,
    body_bytes: u64,
}

#[derive(Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
struct NodeState {
    /// `ready` or `draining`.
    state: String,
}

#[derive(Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
struct NewToken {
    name: String,
    role: Role,
}

#[derive(Serialize, ToSchema)]
struct TokenHead {
    name: String,
    role: Role,
}

/// A token, told this once.
#[derive(Serialize, ToSchema)]
struct Issued {
    name: String,
    token: String,
}

#[derive(Deserialize)]
struct Asked {
    #[serde(default)]
    dry_run: bool,
    #[serde(default)]
    why: String,
    #[serde(default)]
    to: Option<u64>,
}

// ---- Refusals ----

/// An answer that says why not.
struct Refusal(StatusCode, Problem);

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let mut response = (self.0, Json(self.1)).into_response();
        if self.0 == StatusCode::UNAUTHORIZED {
            let scheme = header::HeaderValue::from_static("Bearer");
            response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}

fn refusal(status: StatusCode, error: impl Into<String>) -> Refusal {
    Refusal(status, Problem { error: error.into(), detail: None })
}

impl std::convert::From<Denied> for Refusal {
    fn from(denied: Denied) -> Self {
        match denied {
            Denied::Unknown => refusal(StatusCode::UNAUTHORIZED, "no token that is known"),
            Denied::TooMany => refusal(StatusCode::TOO_MANY_REQUESTS, "too many failed tries"),
            Denied::Forbidden => refusal(StatusCode::FORBIDDEN, "this token may not do that"),
        }
    }
}

impl std::convert::From<Rejected> for Refusal {
    fn from(rejected: Rejected) -> Self {
        match rejected {
            Rejected::Denied(denied) => denied.into(),
            Rejected::NotFound(words) => refusal(StatusCode::NOT_FOUND, words),
            Rejected::Stale => refusal(
                StatusCode::PRECONDITION_FAILED,
                "somebody has changed it since it was read; read it again",
            ),
            Rejected::NoMatch => refusal(
                StatusCode::PRECONDITION_REQUIRED,
                "If-Match has to say which state is to be changed, by the ETag of a read",
            ),
            Rejected::Malformed(words) => refusal(StatusCode::BAD_REQUEST, words),
            Rejected::Refused(refused) => Refusal(
                StatusCode::UNPROCESSABLE_ENTITY,
                Problem { error: refused.to_string(), detail: serde_json::to_value(&*refused).ok() },
            ),
            Rejected::Store(e) => refusal(
                StatusCode::INSUFFICIENT_STORAGE,
                format!("it could not be kept, and nothing has changed: {e}"),
            ),
        }
    }
}

macro_rules! from_rejection {
    ($($rejection:ty),*) => {
        $(impl std::convert::From<$rejection> for Refusal {
            fn from(rejection: $rejection) -> Self {
                refusal(rejection.status(), rejection.body_text())
            }
        })*
    };
}
from_rejection!(JsonRejection, QueryRejection, PathRejection);

type Answer<T> = Result<T, Refusal>;
type Body<T> = Result<Json<T>, JsonRejection>;
type Q = Result<Query<Asked>, QueryRejection>;
type P<T> = Result<Path<T>, PathRejection>;

impl FromRequestParts<Arc<Service>> for Who {
    type Rejection = Response;

    async fn from_request_parts(parts: &mut Parts, service: &Arc<Service>) -> Result<Who, Response> {
        let from = parts.extensions.get::<From>().map_or(IpAddr::from([0, 0, 0, 0]), |f| f.0);
        let said = parts.headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
        let mut doorman = service.doorman.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        doorman.who(from, said).map_err(|denied| Refusal::from(denied).into_response())
    }
}

fn manner(headers: &HeaderMap, query: Q) -> Answer<(Manner, Option<u64>)> {
    let Query(Asked { dry_run, why, to }) = query?;
    if why.len() > MOST_WHY {
        return Err(refusal(StatusCode::BAD_REQUEST, format!("`why` has more than {MOST_WHY} bytes")));
    }
    let matches = headers.get(header::IF_MATCH).and_then(|v| v.to_str().ok()).map(str::to_owned);
    Ok((Manner { dry_run, why, matches }, to))
}

fn made(made: &Made, manner: &Manner) -> Response {
    let body = Json(Change { version: made.number, dry_run: manner.dry_run });
    match &made.tag {
        Some(tag) => ([(header::ETAG, tag.clone())], body).into_response(),
        None => body.into_response(),
    }
}

// ---- Tenants ----

/// The tenants that the token may see.
#[utoipa::path(get, path = "/v1/tenants", responses((status = 200, body = [TenantHead])), security(("token" = [])))]
async fn list_tenants(State(service): Shared, who: Who) -> Json<Vec<TenantHead>> {
    let document = service.document().await;
    let seen = document.tenants.iter().filter(|(name, _)| who.reads(Some(name)).is_ok());
    Json(
        seen.map(|(name, doc)| TenantHead { name: name.clone(), hosts: doc.hosts.clone(), etag: tag(doc) })
            .collect(),
    )
}

/// A tenant: hosts, limits and configuration.
#[utoipa::path(get, path = "/v1/tenants/{tenant}", params(("tenant" = String, Path)),
    responses((status = 200, body = TenantDocument), (status = 404, body = Problem)), security(("token" = [])))]
async fn get_tenant(State(service): Shared, who: Who, path: P<String>) -> Answer<Response> {
    let Path(tenant) = path?;
    who.reads(Some(&tenant))?;
    let mut document = service.document().await;
    let doc = tenant_mut(&mut document, &tenant)?;
    Ok(([(header::ETAG, tag(doc))], Json(doc.clone())).into_response())
}

/// Makes a tenant, or changes all of it. The operator's. What exists is changed with `If-Match` only.
#[utoipa::path(put, path = "/v1/tenants/{tenant}", params(("tenant" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = TenantDocument, responses((status = 200, body = Change), (status = 412, body = Problem), (status = 422, body = Problem)), security(("token" = [])))]
async fn put_tenant(
    State(service): Shared,
    who: Who,
    path: P<String>,
    headers: HeaderMap,
    query: Q,
    body: Body<TenantDocument>,
) -> Answer<Response> {
    let Path(tenant) = path?;
    who.writes(None)?;
    let ((manner, _), Json(doc)) = (manner(&headers, query)?, body?);
    let done = service.change(&who, &manner, Some(&tenant), |document| {
        document.tenants.insert(tenant.clone(), doc);
        Ok(())
    });
    Ok(made(&done.await?, &manner))
}

/// Takes a tenant out: its requests get their answers, then its pools go. The operator's.
#[utoipa::path(delete, path = "/v1/tenants/{tenant}", params(("tenant" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    responses((status = 200, body = Change), (status = 404, body = Problem)), security(("token" = [])))]
async fn delete_tenant(
    State(service): Shared,
    who: Who,
    path: P<String>,
    headers: HeaderMap,
    query: Q,
) -> Answer<Response> {
    let Path(tenant) = path?;
    who.writes(None)?;
    let (manner, _) = manner(&headers, query)?;
    let done = service.change(&who, &manner, Some(&tenant), |document| {
        tenant_mut(document, &tenant)?;
        document.tenants.remove(&tenant);
        Ok(())
    });
    Ok(made(&done.await?, &manner))
}

/// Changes a tenant's limits. The operator's.
#[utoipa::path(put, path = "/v1/tenants/{tenant}/limits", params(("tenant" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = TenantLimits, responses((status = 200, body = Change), (status = 422, body = Problem)), security(("token" = [])))]
async fn put_limits(
    State(service): Shared,
    who: Who,
    path: P<String>,
    headers: HeaderMap,
    query: Q,
    body: Body<TenantLimits>,
) -> Answer<Response> {
    let Path(tenant) = path?;
    who.writes(None)?;
    let ((manner, _), Json(limits)) = (manner(&headers, query)?, body?);
    let done = service.change(&who, &manner, Some(&tenant), |document| {
        tenant_mut(document, &tenant)?.limits = limits;
        Ok(())
    });
    Ok(made(&done.await?, &manner))
}

/// A tenant's configuration: `limits`, `class`, `pool`, `route`, `expect`.
#[utoipa::path(get, path = "/v1/tenants/{tenant}/config", params(("tenant" = String, Path)),
    responses((status = 200, body = Object), (status = 404, body = Problem)), security(("token" = [])))]
async fn get_config(State(service): Shared, who: Who, path: P<String>) -> Answer<Response> {
    let Path(tenant) = path?;
    who.reads(Some(&tenant))?;
    let mut document = service.document().await;
    let doc = tenant_mut(&mut document, &tenant)?;
    Ok(([(header::ETAG, tag(doc))], Json(doc.config.clone())).into_response())
}

/// Changes a tenant's configuration. Its administrator's.
#[utoipa::path(put, path = "/v1/tenants/{tenant}/config", params(("tenant" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = Object, responses((status = 200, body = Change), (status = 412, body = Problem), (status = 422, body = Problem)), security(("token" = [])))]
async fn put_config(
    State(service): Shared,
    who: Who,
    path: P<String>,
    headers: HeaderMap,
    query: Q,
    body: Body<Value>,
) -> Answer<Response> {
    let Path(tenant) = path?;
    who.writes(Some(&tenant))?;
    let ((manner, _), Json(config)) = (manner(&headers, query)?, body?);
    let done = service.change(&who, &manner, Some(&tenant), |document| {
        tenant_mut(document, &tenant)?.config = config;
        Ok(())
    });
    Ok(made(&done.await?, &manner))
}

/// Puts a tenant's configuration back to what it was in a version. Its administrator's.
#[utoipa::path(post, path = "/v1/tenants/{tenant}/rollback", params(("tenant" = String, Path), ("to" = u64, Query), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    responses((status = 200, body = Change), (status = 404, body = Problem)), security(("token" = [])))]
async fn rollback_tenant(
    State(service): Shared,
    who: Who,
    path: P<String>,
    headers: HeaderMap,
    query: Q,
) -> Answer<Response> {
    let Path(tenant) = path?;
    who.writes(Some(&tenant))?;
    let (manner, to) = manner(&headers, query)?;
    let to = to.ok_or_else(|| refusal(StatusCode::BAD_REQUEST, "`to` has to name a version"))?;
    let (_, mut old) = service.version(to).await?;
    let config = tenant_mut(&mut old, &tenant)?.config.clone();
    let done = service.change(&who, &manner, Some(&tenant), |document| {
        tenant_mut(document, &tenant)?.config = config;
        Ok(())
    });
    Ok(made(&done.await?, &manner))
}

/// A class, pool or route of a tenant, by its name.
#[utoipa::path(get, path = "/v1/tenants/{tenant}/config/{part}/{name}", params(("tenant" = String, Path), ("part" = String, Path, description = "classes, pools or routes"), ("name" = String, Path)),
    responses((status = 200, body = Object), (status = 404, body = Problem)), security(("token" = [])))]
async fn get_entry(State(service): Shared, who: Who, path: P<(String, String, String)>) -> Answer<Response> {
    let Path((tenant, part, name)) = path?;
    who.reads(Some(&tenant))?;
    let mut document = service.document().await;
    let doc = tenant_mut(&mut document, &tenant)?;
    let part = named_part(&part)?;
    let entry = edit::entry(&doc.config, part, &name).ok_or_else(|| no_entry(part, &name))?;
    Ok(([(header::ETAG, tag(doc))], Json(entry.clone())).into_response())
}

fn named_part(part: &str) -> Result<&'static str, Rejected> {
    let none = || Rejected::NotFound(format!("there are classes, pools and routes, and no {part}"));
    edit::part(part).ok_or_else(none)
}

fn no_entry(part: &str, name: &str) -> Rejected {
    Rejected::NotFound(format!("there is no {part} `{name}`"))
}

/// Makes or changes a class, pool or route. The tenant's administrator's.
#[utoipa::path(put, path = "/v1/tenants/{tenant}/config/{part}/{name}", params(("tenant" = String, Path), ("part" = String, Path), ("name" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = Object, responses((status = 200, body = Change), (status = 422, body = Problem)), security(("token" = [])))]
async fn put_entry(
    State(service): Shared,
    who: Who,
    path: P<(String, String, String)>,
    headers: HeaderMap,
    query: Q,
    body: Body<Value>,
) -> Answer<Response> {
    let Path((tenant, part, name)) = path?;
    who.writes(Some(&tenant))?;
    let ((manner, _), Json(entry)) = (manner(&headers, query)?, body?);
    let part = named_part(&part)?;
    let done = service.change(&who, &manner, Some(&tenant), |document| {
        edit::put(&mut tenant_mut(document, &tenant)?.config, part, &name, entry).map_err(Rejected::Malformed)
    });
    Ok(made(&done.await?, &manner))
}

/// Takes out a class, pool or route. The tenant's administrator's.
#[utoipa::path(delete, path = "/v1/tenants/{tenant}/config/{part}/{name}", params(("tenant" = String, Path), ("part" = String, Path), ("name" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    responses((status = 200, body = Change), (status = 404, body = Problem)), security(("token" = [])))]
async fn delete_entry(
    State(service): Shared,
    who: Who,
    path: P<(String, String, String)>,
    headers: HeaderMap,
    query: Q,
) -> Answer<Response> {
    let Path((tenant, part, name)) = path?;
    who.writes(Some(&tenant))?;
    let (manner, _) = manner(&headers, query)?;
    let part = named_part(&part)?;
    let done = service.change(&who, &manner, Some(&tenant), |document| {
        let removed = edit::remove(&mut tenant_mut(document, &tenant)?.config, part, &name);
        removed.then_some(()).ok_or_else(|| no_entry(part, &name))
    });
    Ok(made(&done.await?, &manner))
}

/// Drains a node of a pool's list, or restores it. The tenant's administrator's.
#[utoipa::path(put, path = "/v1/tenants/{tenant}/pools/{pool}/nodes/{node}/state", params(("tenant" = String, Path), ("pool" = String, Path), ("node" = String, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query), ("If-Match" = Option<String>, Header)),
    request_body = NodeState, responses((status = 200, body = Change), (status = 404, body = Problem)), security(("token" = [])))]
async fn put_node_state(
    State(service): Shared,
    who: Who,
    path: P<(String, String, String)>,
    headers: HeaderMap,
    query: Q,
    body: Body<NodeState>,
) -> Answer<Response> {
    let Path((tenant, pool, node)) = path?;
    who.writes(Some(&tenant))?;
    let ((manner, _), Json(NodeState { state })) = (manner(&headers, query)?, body?);
    let done = service.change(&who, &manner, Some(&tenant), |document| {
        let set = edit::set_state(&mut tenant_mut(document, &tenant)?.config, &pool, &node, &state);
        set.then_some(()).ok_or_else(|| no_entry("node", &format!("{pool}/{node}")))
    });
    Ok(made(&done.await?, &manner))
}

// ---- Status ----

fn status(tenant: String, status: &TenantStatus) -> Status {
    let usage = status.usage;
    let refused =
        RejectReason::ALL.iter().map(|reason| (reason.name().to_owned(), usage.rejected[*reason])).collect();
    Status {
        tenant,
        version: status.version,
        started: status.started,
        admitted: usage.admitted,
        refused,
        retries: usage.retries,
        in_flight: usage.in_flight,
        connections: usage.connections,
        body_bytes: usage.body_bytes,
    }
}

/// What each tenant that the token may see uses.
#[utoipa::path(get, path = "/v1/status", responses((status = 200, body = [Status])), security(("token" = [])))]
async fn get_status(State(service): Shared, who: Who) -> Json<Vec<Status>> {
    let all = service.status().await;
    let seen = all.iter().filter(|(name, _)| who.reads(Some(name)).is_ok());
    Json(seen.map(|(name, s)| status(name.clone(), s)).collect())
}

/// What a tenant uses.
#[utoipa::path(get, path = "/v1/tenants/{tenant}/status", params(("tenant" = String, Path)),
    responses((status = 200, body = Status), (status = 404, body = Problem)), security(("token" = [])))]
async fn get_tenant_status(State(service): Shared, who: Who, path: P<String>) -> Answer<Json<Status>> {
    let Path(tenant) = path?;
    who.reads(Some(&tenant))?;
    let all = service.status().await;
    let found =
        all.get(&tenant).ok_or_else(|| Rejected::NotFound(format!("there is no tenant `{tenant}`")))?;
    Ok(Json(status(tenant, found)))
}

// ---- Versions ----

fn version(record: &store::Record) -> Version {
    let store::Record { number, at_ms, who, why, .. } = record.clone();
    Version { number, at_ms, who, why }
}

/// The versions, newest first.
#[utoipa::path(get, path = "/v1/versions", responses((status = 200, body = [Version])), security(("token" = [])))]
async fn list_versions(State(service): Shared, who: Who) -> Answer<Json<Vec<Version>>> {
    who.reads(None)?;
    Ok(Json(service.versions(MOST_VERSIONS).await.iter().map(version).collect()))
}

/// A version and what it holds.
#[utoipa::path(get, path = "/v1/versions/{number}", params(("number" = u64, Path)),
    responses((status = 200, body = WholeVersion), (status = 404, body = Problem)), security(("token" = [])))]
async fn get_version(State(service): Shared, who: Who, path: P<u64>) -> Answer<Json<WholeVersion>> {
    who.reads(None)?;
    let Path(number) = path?;
    let (record, document) = service.version(number).await?;
    Ok(Json(WholeVersion { head: version(&record), document: as_json(&document) }))
}

/// What differs between two versions.
#[utoipa::path(get, path = "/v1/versions/{before}/diff/{after}", params(("before" = u64, Path), ("after" = u64, Path)),
    responses((status = 200, body = [Difference]), (status = 404, body = Problem)), security(("token" = [])))]
async fn get_diff(State(service): Shared, who: Who, path: P<(u64, u64)>) -> Answer<Json<Vec<Value>>> {
    who.reads(None)?;
    let Path((before, after)) = path?;
    let ((_, before), (_, after)) = (service.version(before).await?, service.version(after).await?);
    Ok(Json(edit::diff(&as_json(&before), &as_json(&after))))
}

/// Makes a new version that holds what an old one did. The operator's.
#[utoipa::path(post, path = "/v1/versions/{number}/rollback", params(("number" = u64, Path), ("dry_run" = Option<bool>, Query), ("why" = Option<String>, Query)),
    responses((status = 200, body = Change), (status = 404, body = Problem), (status = 422, body = Problem)), security(("token" = [])))]
async fn rollback(
    State(service): Shared,
    who: Who,
    path: P<u64>,
    headers: HeaderMap,
    query: Q,
) -> Answer<Response> {
    who.writes(None)?;
    let (Path(number), (manner, _)) = (path?, manner(&headers, query)?);
    let (_, old) = service.version(number).await?;
    let done = service.change(&who, &manner, None, |document| {
        *document = old;
        Ok(())
    });
    Ok(made(&done.await?, &manner))
}

// ---- Tokens ----

/// The tokens by name and role; never what they are.
#[utoipa::path(get, path = "/v1/tokens", responses((status = 200, body = [TokenHead])), security(("token" = [])))]
async fn list_tokens(State(service): Shared, who: Who) -> Answer<Json<Vec<TokenHead>>> {
    who.writes(None)?;
    Ok(Json(service.tokens().into_iter().map(|(name, role)| TokenHead { name, role }).collect()))
}

/// Issues a token; it is told this once. The operator's.
#[utoipa::path(post, path = "/v1/tokens", request_body = NewToken,
    responses((status = 200, body = Issued), (status = 400, body = Problem)), security(("token" = [])))]
async fn issue_token(State(service): Shared, who: Who, body: Body<NewToken>) -> Answer<Json<Issued>> {
    who.writes(None)?;
    let Json(NewToken { name, role }) = body?;
    let token = service.issue(&name, role).await?;
    Ok(Json(Issued { name, token }))
}

/// Revokes a token that was issued here, at once. The operator's.
#[utoipa::path(delete, path = "/v1/tokens/{name}", params(("name" = String, Path)),
    responses((status = 204), (status = 404, body = Problem)), security(("token" = [])))]
async fn revoke_token(State(service): Shared, who: Who, path: P<String>) -> Answer<StatusCode> {
    who.writes(None)?;
    let Path(name) = path?;
    service.revoke(&name).await?;
    Ok(StatusCode::NO_CONTENT)
}

struct Security;

impl utoipa::Modify for Security {
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
    modifiers(&Security)
)]
struct Document;

/// The OpenAPI document of the API.
#[must_use]
pub fn openapi() -> Value {
    serde_json::to_value(Document::openapi()).unwrap_or_default()
}

async fn no_path() -> Refusal {
    refusal(StatusCode::NOT_FOUND, "no such path; /v1/openapi.json tells all there are")
}

/// All paths.
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
        .fallback(no_path)
        .method_not_allowed_fallback(|| async {
            refusal(StatusCode::METHOD_NOT_ALLOWED, "not with this method")
        })
        .layer(DefaultBodyLimit::max(MOST_BODY))
        .with_state(service)
}
