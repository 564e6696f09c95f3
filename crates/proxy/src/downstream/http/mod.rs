//! HTTP/1.1 client connections, which carry one request at a time.

mod response;

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use self::response::{empty_response, error_response, served_response, ClientResponse};
use super::connection::{ClosePhase, DownstreamConnection};
use super::cut_off::RequestId;
use super::dispatch::dispatch;
use super::error::{into_result, RequestError};
use super::request::{AcceptOutcome, ReadRequest, RequestReader};
use super::ListenerState;
use crate::exchange::{UpstreamResponse, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};
use crate::metrics::{RequestOutcome, RequestRecorder};
use crate::panic_guard::catch_panic;
use crate::socket::Socket;

/// The path at which load balancers in front of this proxy check whether it accepts requests.
const HEALTH_PATH: &str = "/healthz";

/// Serves a connection until it ends.
pub async fn serve(listener: &ListenerState, connection: &Rc<DownstreamConnection>, socket: Socket) {
    // Boxed, because hyper reserves the memory of the future for as long as the connection is open.
    let service = service_fn(|request: Request<Incoming>| {
        Box::pin(async move { Ok::<_, Infallible>(respond(listener, connection, request).await) })
    });
    let io = TokioIo::new(socket);
    let mut http = pin!(http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service));
    // An error means that the client disconnected, or that its head was malformed, which hyper answered with
    // 400.
    tokio::select! {
        biased;
        _ = http.as_mut() => return,
        () = connection.aborted() => return,
        () = connection.close_phase_reached(ClosePhase::WhenIdle) => {}
    }
    // hyper's graceful shutdown would drop a request that has arrived only in part. The response to such a
    // request closes the connection instead, with `Connection: close`.
    if connection.is_busy() || !connection.has_partial_request() {
        http.as_mut().graceful_shutdown();
    }
    tokio::select! {
        biased;
        _ = http => {}
        () = connection.aborted() => {}
    }
}

/// Handles a request and decides whether its connection closes after the response.
async fn respond(
    listener: &ListenerState,
    connection: &Rc<DownstreamConnection>,
    request: Request<Incoming>,
) -> ClientResponse {
    connection.set_busy(true);
    connection.on_request_received();
    // It is not known whether further bytes follow a chunked or large body, so the connection closes after
    // such a request.
    let is_end_uncertain = request.headers().contains_key(header::TRANSFER_ENCODING)
        || request.body().size_hint().lower() > MAX_BUFFERED_BODY_BYTES as u64;
    let has_body = !request.body().is_end_stream();
    let handled = catch_panic(handle(listener, connection, request)).await;
    let mut response = match handled.unwrap_or(Err(RequestError::Internal)) {
        Ok(response) => response,
        Err(error) => error_response(&error, listener.frontend.router.retry_after_in_whole_seconds()),
    };
    let must_close = is_end_uncertain
        || closes_after_status(response.status(), has_body)
        || listener.drain.is_accept_time_over()
        || connection.is_closing();
    if must_close {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if !response.body().is_streaming() {
        connection.finish_request();
    }
    response
}

/// Whether the connection closes after a response with this status: after 4xx and 501, because the request's
/// body may not have been read, except after 429 to a request without a body.
fn closes_after_status(status: StatusCode, has_body: bool) -> bool {
    match status {
        StatusCode::TOO_MANY_REQUESTS => has_body,
        status => status.is_client_error() || status == StatusCode::NOT_IMPLEMENTED,
    }
}

async fn handle(
    listener: &ListenerState,
    connection: &Rc<DownstreamConnection>,
    request: Request<Incoming>,
) -> Result<ClientResponse, RequestError> {
    if request.uri().path() == HEALTH_PATH {
        let is_ready = listener.is_ready();
        return Ok(empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
    }
    let recorder = Rc::<RequestRecorder>::default();
    let request_id = RequestId::of(request.headers());
    match proxy_request(listener, connection, request, &recorder).await {
        Ok(response) => {
            // The outcome of a streamed response is recorded when the response ends.
            if response.body.streaming().is_none() {
                recorder.record(RequestOutcome::Served);
            }
            Ok(served_response(connection, &recorder, &listener.frontend.cut_offs, request_id, response))
        }
        Err(error) => {
            recorder.record(error.outcome());
            Err(error)
        }
    }
}

/// Reads a request, submits it and returns the response of an endpoint.
async fn proxy_request(
    listener: &ListenerState,
    connection: &DownstreamConnection,
    request: Request<Incoming>,
    recorder: &Rc<RequestRecorder>,
) -> Result<UpstreamResponse, RequestError> {
    let reader = RequestReader {
        router: &*listener.frontend.router,
        open_ids: &listener.frontend.ids,
        socket: &connection.socket,
        router_state: &connection.router_state,
        memory: &listener.frontend.memory,
    };
    let ReadRequest { outcome, memory } = reader.read(request, recorder).await?;
    let response = match outcome {
        AcceptOutcome::Accepted(accepted) => {
            // The request's time counts from its last byte; for a streamed request, from now plus the time
            // that the rest of its body may take.
            let received_at = Instant::now();
            dispatch(listener, *accepted, &connection.disconnect_probe(), received_at).await
        }
        AcceptOutcome::Replayed(response) => response,
    };
    let UpstreamResponse { headers, body } = into_result(response)?;
    Ok(UpstreamResponse { headers, body: body.with_reservation(memory) })
}
