//! An attempt over HTTP.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::Response;
use tokio::time::timeout_at;

use super::attempt_error::{AttemptError, NotSentReason};
use super::connect::acquire_http;
use super::http_connection::HttpConnection;
use super::send_checks::{check_before_connect, check_before_write};
use super::{http_response, AttemptEnd, AttemptRequest, UpstreamPool};
use crate::body::BodyError;
use crate::exchange::{UpstreamRequest, TIMEOUT_HEADER};

/// Runs an attempt within its deadline and the timeout of its client.
pub async fn run(pool: &Rc<UpstreamPool>, request: &AttemptRequest) -> AttemptEnd {
    let end = tokio::select! {
        end = timeout_at(request.deadline, exchange(pool, request)) => end.ok(),
        () = client_timeout(request) => None,
    };
    end.unwrap_or_else(|| timeout_error(request).into())
}

/// Waits until the client of a streamed request stops waiting for the response. Never returns if the request
/// is not streamed or has no client timeout, because then only the deadline applies.
async fn client_timeout(request: &AttemptRequest) {
    match (request.message.body().streaming(), request.client_timeout) {
        (Some(body), Some(timeout)) => body.client_timed_out(timeout).await,
        _ => pending().await,
    }
}

/// The error of an attempt that timed out.
fn timeout_error(request: &AttemptRequest) -> AttemptError {
    if !request.write_started.get() {
        // The time was spent on connecting.
        return NotSentReason::DeadlineExceeded.into();
    }
    match request.message.body().streaming() {
        Some(body) if body.is_awaiting_sender() => AttemptError::IncompleteRequest,
        Some(body) if body.completed_at().is_none() => {
            body.fail(BodyError::NotTaken);
            AttemptError::RequestNotTaken
        }
        _ => AttemptError::Timeout,
    }
}

/// Whether the body is streamed and its last byte has not been read for sending. An endpoint executes nothing
/// before it has received that byte.
fn is_body_incomplete(message: &UpstreamRequest) -> bool {
    message.body().streaming().is_some_and(|body| body.completed_at().is_none())
}

/// Connects, sends the request and reads the response. If a reused connection has closed before anything was
/// written, tries another one.
async fn exchange(pool: &Rc<UpstreamPool>, request: &AttemptRequest) -> AttemptEnd {
    loop {
        if let Err(reason) = check_before_connect(pool, request) {
            return AttemptError::from(reason).into();
        }
        let acquired = match acquire_http(pool, request.endpoint).await {
            Ok(acquired) => acquired,
            Err(error) => return AttemptError::from(error).into(),
        };
        let mut connection = acquired.connection;
        let time_left = match check_before_write(pool, request) {
            Ok(time_left) => time_left,
            Err(reason) => {
                let result = AttemptError::from(reason).into();
                return AttemptEnd { result, reusable_connection: Some(connection) };
            }
        };
        match send(pool, request, &mut connection, time_left).await {
            Ok(response) => return http_response::read(pool, request, response, connection).await,
            Err(AttemptError::ClosedBeforeWrite) if acquired.is_reused => {}
            Err(error) => return error.into(),
        }
    }
}

/// Sends the request and waits for the head of the response.
async fn send(
    pool: &UpstreamPool,
    request: &AttemptRequest,
    connection: &mut HttpConnection,
    time_left: Duration,
) -> Result<Response<Incoming>, AttemptError> {
    let message = with_timeout_header(&request.message, time_left);
    request.start_write();
    if request.message.body().streaming().is_some() {
        connection.socket.limit_unsent_bytes();
    }
    let written_before = connection.socket.bytes_written();
    count_when_written(pool, request, connection);
    let error = match connection.sender.try_send_request(message).await {
        Ok(response) => return Ok(response),
        Err(error) => error,
    };
    connection.socket.write_counter().cancel();
    let is_written = connection.socket.bytes_written() > written_before;
    let failure = classify_send_error(request, error, is_written);
    if matches!(failure, AttemptError::ClosedBeforeWrite) {
        request.write_started.set(false);
    }
    Err(failure)
}

fn with_timeout_header(message: &UpstreamRequest, time_left: Duration) -> UpstreamRequest {
    let mut message = message.clone();
    let milliseconds = time_left.as_millis().max(1) as u64;
    message.headers_mut().insert(TIMEOUT_HEADER, HeaderValue::from(milliseconds));
    message
}

/// Counts the attempt at the first write of a buffered request, or at the first write after the end of a
/// streamed body.
fn count_when_written(pool: &UpstreamPool, request: &AttemptRequest, connection: &HttpConnection) {
    match request.message.body().streaming() {
        None => connection.socket.write_counter().count_next_write(&pool.attempts_written),
        Some(body) => {
            let socket = connection.socket.clone();
            let counter = pool.attempts_written.clone();
            body.on_complete(move || socket.write_counter().count_next_write(&counter));
        }
    }
}

/// The error of an attempt whose connection closed without a response. `is_written` is whether the kernel has
/// accepted a byte of the request.
fn classify_send_error(
    request: &AttemptRequest,
    mut error: hyper::client::conn::TrySendError<UpstreamRequest>,
    is_written: bool,
) -> AttemptError {
    if request.message.body().streaming().is_some_and(|body| body.is_read_started()) {
        // The part of the body that was read is consumed, so it cannot be sent on another connection.
        return if is_body_incomplete(&request.message) {
            AttemptError::IncompleteRequest
        } else {
            AttemptError::ConnectionLost
        };
    }
    let is_returned = error.take_message().is_some();
    if is_returned || !is_written {
        AttemptError::ClosedBeforeWrite
    } else {
        AttemptError::ConnectionLost
    }
}
