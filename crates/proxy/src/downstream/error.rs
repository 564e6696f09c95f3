//! Errors that replace an endpoint's response: the side that caused the error, the HTTP status it maps to,
//! and the outcome under which the request is counted. A [`Rejection`] carries its own status.

use decide::Micros;
use hyper::StatusCode;

use super::request::HeadError;
use crate::exchange::{FinalResponse, UpstreamResponse};
use crate::memory::MEMORY_CAUSE;
use crate::metrics::RequestOutcome;
use crate::router::{Rejection, NO_RETRY_AFTER};

/// The error that replaces an endpoint's response, by the side that caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// Caused by the client, its request or its limits; nothing was sent upstream.
    Downstream(DownstreamError),
    /// Caused by the endpoints or their load.
    Upstream(UpstreamError),
    /// Caused by a panic in this proxy.
    Internal,
}

/// An error that the client caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownstreamError {
    /// The request is invalid.
    Invalid(InvalidRequest),
    /// Routing, a limit or an idempotency key rejects it.
    Rejected(Rejection),
}

/// An error that the endpoints caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// The request was shed because of load; a retry is safe.
    Shed {
        /// Time to wait before a retry in microseconds, or [`NO_RETRY_AFTER`].
        retry_after: Micros,
    },
    /// All attempts failed; the request may have been executed.
    Failed,
    /// The request timed out; it may have been executed.
    TimedOut,
}

/// The reason that a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The head is malformed or ambiguous.
    MalformedHead,
    /// The request has a transfer coding other than `chunked`.
    UnsupportedTransferCoding,
    /// A header with a single value is repeated or not text.
    AmbiguousHeader,
    /// The request id is missing or malformed.
    MalformedRequestId,
    /// The idempotency key is missing or malformed.
    MalformedIdempotencyKey,
    /// The client timeout is not a number of milliseconds from 1 to a day.
    TimeoutOutOfRange,
    /// The request has a body although its method allows none.
    UnexpectedBody,
    /// The body ended early.
    IncompleteBody,
    /// The body did not arrive in time.
    SlowBody,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// More bytes arrived with the request than it announces.
    TrailingBytes,
    /// Another open request has the same id.
    DuplicateRequestId,
    /// The route that a JSON-RPC call matches belongs to another class than its method.
    MethodClassMismatch,
}

impl InvalidRequest {
    fn status(self) -> StatusCode {
        match self {
            InvalidRequest::MalformedHead
            | InvalidRequest::AmbiguousHeader
            | InvalidRequest::MalformedRequestId
            | InvalidRequest::MalformedIdempotencyKey
            | InvalidRequest::TimeoutOutOfRange
            | InvalidRequest::UnexpectedBody
            | InvalidRequest::IncompleteBody
            | InvalidRequest::TrailingBytes => StatusCode::BAD_REQUEST,
            InvalidRequest::UnsupportedTransferCoding => StatusCode::NOT_IMPLEMENTED,
            InvalidRequest::SlowBody => StatusCode::REQUEST_TIMEOUT,
            InvalidRequest::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            InvalidRequest::DuplicateRequestId => StatusCode::CONFLICT,
            InvalidRequest::MethodClassMismatch => StatusCode::NOT_FOUND,
        }
    }
}

impl DownstreamError {
    /// The HTTP status that the error maps to.
    pub fn status(&self) -> StatusCode {
        match self {
            DownstreamError::Invalid(invalid) => invalid.status(),
            DownstreamError::Rejected(rejection) => rejection.status,
        }
    }

    /// The limit, or the state of the idempotency key, because of which the request is rejected; `None` if
    /// there is no such cause.
    pub fn cause(&self) -> Option<&'static str> {
        match self {
            DownstreamError::Invalid(_) => None,
            DownstreamError::Rejected(rejection) => rejection.cause,
        }
    }

    /// Time to wait before a retry in microseconds, or [`NO_RETRY_AFTER`].
    pub fn retry_after(&self) -> Micros {
        match self {
            DownstreamError::Invalid(_) => NO_RETRY_AFTER,
            DownstreamError::Rejected(rejection) => rejection.retry_after,
        }
    }
}

impl RequestError {
    /// The HTTP status that the error maps to.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::Downstream(error) => error.status(),
            RequestError::Upstream(UpstreamError::Shed { .. }) => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::Upstream(UpstreamError::Failed) => StatusCode::BAD_GATEWAY,
            RequestError::Upstream(UpstreamError::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
            RequestError::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// The limit, or the state of the idempotency key, because of which the request is rejected; `None` if
    /// there is no such cause.
    pub fn cause(&self) -> Option<&'static str> {
        match self {
            RequestError::Downstream(error) => error.cause(),
            _ => None,
        }
    }

    /// Time to wait before a retry in microseconds, or [`NO_RETRY_AFTER`].
    pub fn retry_after(&self) -> Micros {
        match self {
            RequestError::Downstream(error) => error.retry_after(),
            RequestError::Upstream(UpstreamError::Shed { retry_after }) => *retry_after,
            _ => NO_RETRY_AFTER,
        }
    }

    /// Whether the limit on connections rejects the request, which closes its connection.
    pub fn is_connection_limit(&self) -> bool {
        self.cause() == Some(limit::RejectReason::Connections.name())
    }

    /// Whether the response to the request closes its connection: at the limit on connections, and for lack of
    /// memory, because the connection uses some and the body may not have been read.
    pub fn closes_connection(&self) -> bool {
        self.is_connection_limit() || self.cause() == Some(MEMORY_CAUSE)
    }

    /// The outcome under which the request is counted.
    pub fn outcome(&self) -> RequestOutcome {
        match self {
            RequestError::Downstream(DownstreamError::Rejected(rejection)) => rejection.request_outcome(),
            RequestError::Upstream(UpstreamError::Shed { .. }) => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        }
    }
}

/// Converts a final response into an endpoint's response or the error that replaces it.
pub fn into_result(response: FinalResponse) -> Result<UpstreamResponse, RequestError> {
    let error = match response {
        FinalResponse::Served(response) => return Ok(response),
        FinalResponse::Rejected { retry_after, .. } => UpstreamError::Shed { retry_after },
        FinalResponse::Failed => UpstreamError::Failed,
        FinalResponse::TimedOut => UpstreamError::TimedOut,
    };
    Err(RequestError::Upstream(error))
}

impl From<InvalidRequest> for RequestError {
    fn from(invalid: InvalidRequest) -> Self {
        RequestError::Downstream(DownstreamError::Invalid(invalid))
    }
}

impl From<Rejection> for RequestError {
    fn from(rejection: Rejection) -> Self {
        RequestError::Downstream(DownstreamError::Rejected(rejection))
    }
}

impl From<HeadError> for RequestError {
    fn from(error: HeadError) -> Self {
        match error {
            HeadError::Malformed => InvalidRequest::MalformedHead.into(),
            HeadError::UnsupportedTransferCoding => InvalidRequest::UnsupportedTransferCoding.into(),
        }
    }
}

#[cfg(test)]
mod tests;
