//! The health check of an endpoint: requests its load over HTTP on a separate connection.

use std::time::Duration;

use decide::{EndpointId, LoadReport, Outcome};
use http_body_util::{BodyExt, Limited};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::{timeout_at, Instant};

use super::attempt_error::{AttemptError, NotSentReason};
use super::connect::connect_http;
use super::http_connection::HttpConnection;
use super::{UpstreamPool, LOAD_HEADER};
use crate::body::MessageBody;
use crate::exchange::{AttemptResult, UpstreamRequest, MAX_BUFFERED_BODY_BYTES};

/// The timeout of a health check, counted from when its connection is established.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks the health of an endpoint. The outcome is [`Outcome::NotSent`] over JSON-RPC, which has no health
/// check.
pub async fn run(pool: &UpstreamPool, endpoint: EndpointId) -> AttemptResult {
    if pool.rpc.is_some() {
        return AttemptError::NotSent(NotSentReason::Unsupported).into();
    }
    let mut connection = match connect_http(pool, endpoint).await {
        Ok(connection) => connection,
        Err(error) => return AttemptError::from(error).into(),
    };
    let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
    let checked = timeout_at(deadline, exchange(pool, &mut connection)).await;
    match checked.unwrap_or(Err(AttemptError::Timeout)) {
        Ok(health) => health.into(),
        Err(error) => error.into(),
    }
}

/// The response to a health check.
struct Health {
    status: StatusCode,
    load_report: Option<LoadReport>,
}

/// Classifies the status of a health check. A 503 is a rejection by itself, whereas the response to an
/// attempt also needs the header `x-not-processed`.
impl From<Health> for AttemptResult {
    fn from(health: Health) -> Self {
        let outcome = match health.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE => AttemptError::Rejected.outcome(),
            status => AttemptError::Status(status).outcome(),
        };
        AttemptResult { outcome, load_report: health.load_report, response: None }
    }
}

async fn exchange(pool: &UpstreamPool, connection: &mut HttpConnection) -> Result<Health, AttemptError> {
    let response = connection.sender.send_request(load_request()).await;
    let response = response.map_err(|_| AttemptError::ConnectionLost)?;
    let status = response.status();
    let header = response.headers().get(LOAD_HEADER).cloned();
    let body = Limited::new(response.into_body(), MAX_BUFFERED_BODY_BYTES).collect().await;
    let body = body.map_err(|_| AttemptError::IncompleteResponse)?.to_bytes();
    let report = header.as_ref().map_or(&body[..], HeaderValue::as_bytes);
    Ok(Health { status, load_report: pool.load_reports.parse(report) })
}

fn load_request() -> UpstreamRequest {
    let mut request = Request::new(MessageBody::default());
    *request.method_mut() = Method::GET;
    *request.uri_mut() = Uri::from_static("/load");
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("backend"));
    request
}
