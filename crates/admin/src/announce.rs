//! The API by which operators inspect the addresses that a standalone proxy announces by BGP, and withdraw
//! them until they are released. It listens on loopback and has no tokens: whoever can connect to it has all
//! permissions.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use axum::extract::rejection::JsonRejection;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{json, Value};

/// The interface to the announcement of addresses.
pub trait AnnouncementControl: Send + Sync {
    /// The status of addresses and peers, as JSON.
    fn status(&self) -> Pin<Box<dyn Future<Output = Value> + Send>>;

    /// Withdraws a prefix until it is released, or releases it. Fails with a message of one line if the
    /// prefix is invalid or not announced by this process.
    fn hold(&self, prefix: &str, held: bool) -> Pin<Box<dyn Future<Output = Result<(), String>> + Send>>;
}

type ControlState = State<Arc<dyn AnnouncementControl>>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Named")]
struct PrefixRequest {
    prefix: String,
}

/// Routes `GET /v1/bgp`, and `POST /v1/bgp/hold` and `POST /v1/bgp/release` with a body of `{"prefix": "…"}`.
pub fn router(control: Arc<dyn AnnouncementControl>) -> Router {
    Router::new()
        .route("/v1/bgp", get(status))
        .route("/v1/bgp/hold", post(hold))
        .route("/v1/bgp/release", post(release))
        .with_state(control)
}

async fn status(State(control): ControlState) -> Json<Value> {
    Json(control.status().await)
}

async fn hold(control: ControlState, body: Result<Json<PrefixRequest>, JsonRejection>) -> Response {
    set_held(control, body, true).await
}

async fn release(control: ControlState, body: Result<Json<PrefixRequest>, JsonRejection>) -> Response {
    set_held(control, body, false).await
}

async fn set_held(
    State(control): ControlState,
    body: Result<Json<PrefixRequest>, JsonRejection>,
    held: bool,
) -> Response {
    // A body without a JSON content type is rejected: a web page of another origin cannot send that type, and
    // so cannot change announcements through an operator's browser.
    let Json(PrefixRequest { prefix }) = match body {
        Ok(body) => body,
        Err(rejection) => return problem(rejection.status(), &rejection.body_text()),
    };
    match control.hold(&prefix, held).await {
        Ok(()) => Json(json!({ "prefix": prefix, "held": held })).into_response(),
        Err(error) => problem(StatusCode::NOT_FOUND, &error),
    }
}

fn problem(status: StatusCode, error: &str) -> Response {
    (status, Json(json!({ "error": error }))).into_response()
}
