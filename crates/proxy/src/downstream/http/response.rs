//! Responses to HTTP clients, and the recording of a streamed response's outcome.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use decide::{Micros, TIME_LIMIT};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::body::{BodyError, MessageBody, StreamingBody};
use crate::downstream::connection::DownstreamConnection;
use crate::downstream::cut_off::{CutOffLog, CutOffReason, CutOffStream, RequestId};
use crate::downstream::error::RequestError;
use crate::exchange::UpstreamResponse;
use crate::metrics::{RequestOutcome, RequestRecorder};
use crate::router::NO_RETRY_AFTER;

/// The header with the cause of a rejection: a limit, or the state of the idempotency key.
const REJECTION_CAUSE_HEADER: &str = "x-refusal-cause";
const MICROS_PER_SECOND: Micros = 1_000_000;

/// A response to a client.
pub type ClientResponse = Response<ResponseBody>;

/// The body of a response to a client.
pub struct ResponseBody {
    content: MessageBody,
    /// Set if the body is streamed.
    stream_guard: Option<StreamGuard>,
}

impl ResponseBody {
    /// Whether the body is streamed, so that the request ends only when the body does.
    pub fn is_streaming(&self) -> bool {
        self.stream_guard.is_some()
    }
}

/// Finishes a request with a streamed response when hyper drops the response.
struct StreamGuard {
    connection: Rc<DownstreamConnection>,
    recorder: Rc<RequestRecorder>,
    content: MessageBody,
    cut_offs: Rc<CutOffLog>,
    request_id: RequestId,
}

impl StreamGuard {
    /// Why a response ends before its last byte.
    fn cut_off_reason(&self, stream: &StreamingBody) -> CutOffReason {
        let reason = stream.failure().map(CutOffReason::Body);
        reason.or(self.connection.abort_reason()).unwrap_or(CutOffReason::ClientDisconnected)
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let incomplete = self.content.streaming().filter(|stream| stream.completed_at().is_none());
        if let Some(stream) = incomplete {
            let reason = self.cut_off_reason(stream);
            self.cut_offs.record(CutOffStream::Response, reason, &self.request_id, stream.bytes_read());
        }
        let is_complete = incomplete.is_none();
        self.recorder.record(if is_complete { RequestOutcome::Served } else { RequestOutcome::Failed });
        self.connection.finish_request();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.content).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

/// Builds the response to a client from an endpoint's response. `request_id` is for the log.
pub fn served_response(
    connection: &Rc<DownstreamConnection>,
    recorder: &Rc<RequestRecorder>,
    cut_offs: &Rc<CutOffLog>,
    request_id: RequestId,
    upstream: UpstreamResponse,
) -> ClientResponse {
    let UpstreamResponse { headers, body } = upstream;
    let stream_guard = body.streaming().is_some().then(|| StreamGuard {
        connection: Rc::clone(connection),
        recorder: Rc::clone(recorder),
        content: body.clone(),
        cut_offs: Rc::clone(cut_offs),
        request_id,
    });
    if let Some(stream) = body.streaming() {
        connection.on_response_start(Rc::clone(stream));
    }
    let mut response = Response::new(ResponseBody { content: body, stream_guard });
    *response.headers_mut() = headers;
    response
}

/// Builds the response for an error. `Retry-After` is in whole seconds if `in_whole_seconds`, otherwise in
/// seconds with three decimals.
pub fn error_response(error: &RequestError, in_whole_seconds: bool) -> ClientResponse {
    let mut response = empty_response(error.status());
    let headers = response.headers_mut();
    if let Some(cause) = error.cause() {
        headers.insert(REJECTION_CAUSE_HEADER, HeaderValue::from_static(cause));
    }
    if error.closes_connection() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if error.retry_after() > NO_RETRY_AFTER {
        headers.insert(header::RETRY_AFTER, retry_after_value(error.retry_after(), in_whole_seconds));
    }
    response
}

/// Builds a response without a body.
pub fn empty_response(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(ResponseBody { content: MessageBody::default(), stream_guard: None });
    *response.status_mut() = status;
    response
}

/// The value of `Retry-After`: whole seconds rounded up, as standard clients expect, or seconds with three
/// decimals.
fn retry_after_value(retry_after: Micros, in_whole_seconds: bool) -> HeaderValue {
    if in_whole_seconds {
        let rounded_up = retry_after.saturating_add(MICROS_PER_SECOND - 1).min(TIME_LIMIT);
        return HeaderValue::from(rounded_up / MICROS_PER_SECOND);
    }
    let seconds = retry_after as f64 / MICROS_PER_SECOND as f64;
    HeaderValue::from_str(&format!("{seconds:.3}")).expect("a decimal number is a valid header value")
}
