//! What operators ask of whoever announces addresses, in a process of one configuration. It stands on loopback and knows
//! no tokens: who may open a connection there may do all this.

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

/// Whoever announces addresses.
pub trait AnnouncementControl: Send + Sync {
    /// What it does.
    fn status(&self) -> Pin<Box<dyn Future<Output = Value> + Send>>;

    /// Holds a prefix down, or lets go of it; or why not, in a line.
    fn hold(&self, prefix: &str, held: bool) -> Pin<Box<dyn Future<Output = Result<(), String>> + Send>>;
}

type Shared = State<Arc<dyn AnnouncementControl>>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Named {
    prefix: String,
}

/// The paths: `GET /v1/bgp`, `POST /v1/bgp/hold` and `POST /v1/bgp/release`, the last two with `{"prefix": "…"}`.
pub fn router(announcing: Arc<dyn AnnouncementControl>) -> Router {
    Router::new()
        .route("/v1/bgp", get(status))
        .route("/v1/bgp/hold", post(hold))
        .route("/v1/bgp/release", post(release))
        .with_state(announcing)
}

async fn status(State(announcing): Shared) -> Json<Value> {
    Json(announcing.status().await)
}

async fn hold(announcing: Shared, body: Result<Json<Named>, JsonRejection>) -> Response {
    change(announcing, body, true).await
}

async fn release(announcing: Shared, body: Result<Json<Named>, JsonRejection>) -> Response {
    change(announcing, body, false).await
}

async fn change(State(announcing): Shared, body: Result<Json<Named>, JsonRejection>, held: bool) -> Response {
    // A body that is not said to be JSON is refused: a page in somebody's browser cannot send one that is.
    let Json(Named { prefix }) = match body {
        Ok(body) => body,
        Err(refused) => return problem(refused.status(), &refused.body_text()),
    };
    match announcing.hold(&prefix, held).await {
        Ok(()) => Json(json!({ "prefix": prefix, "held": held })).into_response(),
        Err(why) => problem(StatusCode::NOT_FOUND, &why),
    }
}

fn problem(status: StatusCode, error: &str) -> Response {
    (status, Json(json!({ "error": error }))).into_response()
}
