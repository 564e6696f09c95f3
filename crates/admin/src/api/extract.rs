//! Extractors of request data for handlers: the principal, path parameters, change options and bodies.

use std::net::IpAddr;
use std::sync::Arc;

use axum::extract::rejection::{JsonRejection, PathRejection};
use axum::extract::{FromRequestParts, Path, Query, State};
use axum::http::request::Parts;
use axum::http::{header, StatusCode};
use axum::Json;
use serde::Deserialize;

use super::error::{ApiError, ApiResult};
use crate::auth::Principal;
use crate::state::{ChangeOptions, Service};

/// The maximum length of the reason for a change, in bytes.
const MAX_REASON_BYTES: usize = 1_000;

/// The address of the client, which the listener adds to each request.
#[derive(Clone, Copy)]
pub(crate) struct ClientAddress(pub(crate) IpAddr);

pub(super) type ServiceState = State<Arc<Service>>;
pub(super) type BodyResult<T> = Result<Json<T>, JsonRejection>;
pub(super) type PathResult<T> = Result<Path<T>, PathRejection>;
/// A result rather than a value, so that handlers check the permission before they report invalid options.
pub(super) type OptionsResult = ApiResult<ChangeOptions>;

#[derive(Deserialize)]
struct ChangeQuery {
    #[serde(default)]
    dry_run: bool,
    #[serde(default, rename = "why")]
    reason: String,
    #[serde(default, rename = "to")]
    rollback_to: Option<u64>,
}

impl FromRequestParts<Arc<Service>> for Principal {
    type Rejection = ApiError;

    async fn from_request_parts(parts: &mut Parts, service: &Arc<Service>) -> ApiResult<Principal> {
        let unknown_address = ClientAddress(IpAddr::from([0, 0, 0, 0]));
        let ClientAddress(client) = parts.extensions.get().copied().unwrap_or(unknown_address);
        let authorization = parts.headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        Ok(service.authenticator().authenticate(client, authorization)?)
    }
}

impl FromRequestParts<Arc<Service>> for ChangeOptions {
    type Rejection = ApiError;

    async fn from_request_parts(parts: &mut Parts, service: &Arc<Service>) -> ApiResult<ChangeOptions> {
        let Query(query) = Query::<ChangeQuery>::from_request_parts(parts, service).await?;
        if query.reason.len() > MAX_REASON_BYTES {
            let message = format!("`why` has more than {MAX_REASON_BYTES} bytes");
            return Err(ApiError::new(StatusCode::BAD_REQUEST, message));
        }
        let if_match = parts.headers.get(header::IF_MATCH).and_then(|value| value.to_str().ok());
        Ok(ChangeOptions {
            dry_run: query.dry_run,
            reason: query.reason,
            rollback_to: query.rollback_to,
            if_match: if_match.map(str::to_owned),
        })
    }
}
