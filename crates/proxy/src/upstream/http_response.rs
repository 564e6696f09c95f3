//! Reads the response to an HTTP attempt and classifies its outcome.

use std::rc::Rc;
use std::time::Duration;

use decide::{LoadReport, Outcome};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::attempt_error::AttemptError;
use super::http_connection::HttpConnection;
use super::{AttemptEnd, AttemptRequest, UpstreamPool, LOAD_HEADER};
use crate::body::{self, BodyError, BufferOutcome, MessageBody, StreamedResponseLimit, StreamingBody};
use crate::exchange::{remove_hop_by_hop, AttemptResult, UpstreamResponse, MAX_BUFFERED_BODY_BYTES};

/// The response header with which an endpoint declares that it has not processed the request; its value is
/// `1`.
const NOT_PROCESSED_HEADER: &str = "x-not-processed";
/// The time for which a response that may be streamed is buffered first. An attempt whose connection closes
/// within this time can still be retried.
const RESPONSE_BUFFER_TIME: Duration = Duration::from_millis(100);
/// The time that is left before the deadline to start streaming.
const STREAM_START_TIME: Duration = Duration::from_millis(10);

/// Reads a response: in full, or up to the point from which it is streamed.
pub async fn read(
    pool: &Rc<UpstreamPool>,
    request: &AttemptRequest,
    response: Response<Incoming>,
    connection: HttpConnection,
) -> AttemptEnd {
    let (head, body) = response.into_parts();
    let load_report = load_report(pool, &head.headers);
    let max_streamed_bytes = max_streamed_bytes(request, head.status, &body);
    let stream_from = max_streamed_bytes.map(|_| stream_from(request));
    let (body, reusable_connection) = match buffer(body, stream_from).await {
        Ok(BufferOutcome::Complete(body)) => (Some(body.into()), Some(connection)),
        Ok(BufferOutcome::Partial { prefix, rest }) => {
            let max_bytes = max_streamed_bytes.unwrap_or_default();
            let deadline = request.response_deadline();
            let stream = Rc::new(StreamingBody::for_response(rest, prefix, max_bytes, deadline));
            reuse_at_end(pool, request, &stream, connection);
            (Some(MessageBody::Streaming(stream)), None)
        }
        Err(_) => (None, None),
    };
    let response = classify(head, body);
    AttemptEnd { result: attempt_result(response, load_report), reusable_connection }
}

fn load_report(pool: &UpstreamPool, headers: &HeaderMap) -> Option<LoadReport> {
    let mut values = headers.get_all(LOAD_HEADER).iter();
    values.find_map(|value| pool.load_reports.parse(value.as_bytes()))
}

/// The maximum size of the response body in bytes, or `None` if the response may not be streamed. Small
/// responses are buffered so that their attempts can be retried.
fn max_streamed_bytes(request: &AttemptRequest, status: StatusCode, body: &Incoming) -> Option<u64> {
    let StreamedResponseLimit(max_bytes) = request.message.extensions().get()?;
    let is_streamed = status == StatusCode::OK && !body::must_complete_within_deadline(body);
    is_streamed.then_some(*max_bytes)
}

/// Until when a response that may be streamed is buffered. A response that begins in time is streamed before its
/// attempt times out.
fn stream_from(request: &AttemptRequest) -> Instant {
    let deadline = request.response_deadline();
    let last_start = deadline.checked_sub(STREAM_START_TIME).unwrap_or(deadline);
    last_start.min(Instant::now() + RESPONSE_BUFFER_TIME)
}

/// Reads the body in full. If it may be streamed, reads only what arrives until `stream_from` and fits the buffer.
async fn buffer(body: Incoming, stream_from: Option<Instant>) -> Result<BufferOutcome, BodyError> {
    if let Some(stream_from) = stream_from {
        return body::buffer(body, MAX_BUFFERED_BODY_BYTES, stream_from).await;
    }
    let body = Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect().await;
    body.map(|body| BufferOutcome::Complete(body.to_bytes())).map_err(|_| BodyError::Interrupted)
}

/// Keeps the connection open until the last byte of the body, and then for the next request. If the body is
/// dropped before its end, the connection is closed.
fn reuse_at_end(
    pool: &Rc<UpstreamPool>,
    request: &AttemptRequest,
    stream: &StreamingBody,
    connection: HttpConnection,
) {
    let pool = Rc::clone(pool);
    let endpoint = request.endpoint;
    stream.on_complete(move || {
        spawn_local(async move { pool.reuse(endpoint, Some(connection)).await });
    });
}

/// Classifies a response. `body` is `None` if the connection closed before its end.
fn classify(head: Parts, body: Option<MessageBody>) -> Result<UpstreamResponse, AttemptError> {
    match head.status {
        StatusCode::OK => {
            let body = body.ok_or(AttemptError::IncompleteResponse)?;
            Ok(UpstreamResponse { headers: forwarded_headers(head.headers), body })
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_not_processed(&head.headers) => {
            Err(AttemptError::Rejected)
        }
        status => Err(AttemptError::Status(status)),
    }
}

fn is_not_processed(headers: &HeaderMap) -> bool {
    headers.get(NOT_PROCESSED_HEADER).is_some_and(|value| value == "1")
}

fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    headers.remove(LOAD_HEADER);
    headers
}

fn attempt_result(
    response: Result<UpstreamResponse, AttemptError>,
    load_report: Option<LoadReport>,
) -> AttemptResult {
    match response {
        Ok(response) => AttemptResult { outcome: Outcome::Ok, load_report, response: Some(response) },
        Err(error) => AttemptResult { load_report, ..error.into() },
    }
}
