//! Why a request has no response of an endpoint: the side that caused the error, the HTTP status that it maps to, and the
//! outcome that it is counted under. Maps invalid requests and upstream failures to statuses; a [`Rejection`] brings its own.

use decide::Micros;
use hyper::StatusCode;

use super::request::HeadError;
use crate::exchange::{FinalResponse, UpstreamResponse};
use crate::metrics::RequestOutcome;
use crate::router::Rejection;

/// Why a request has no response of an endpoint, by the side that caused the error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The client, its request or its limits; nothing was sent upstream.
    Downstream(DownstreamError),
    /// The endpoints, or their load.
    Upstream(UpstreamError),
    /// A panic in this proxy.
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
    /// Shed for load; a retry is harmless.
    Shed {
        /// When to retry, in microseconds from now; 0 states no time.
        retry_after: Micros,
    },
    /// All attempts failed; the request may have been executed.
    Failed,
    /// The time ran out; the request may have been executed.
    TimedOut,
}

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// Its head is malformed or ambiguous.
    MalformedHead,
    /// It has a transfer coding other than `chunked`.
    UnsupportedTransferCoding,
    /// A header that has one value is repeated, or is not text.
    AmbiguousHeader,
    /// Its id is missing or malformed.
    MalformedRequestId,
    /// Its idempotency key is missing or malformed.
    MalformedIdempotencyKey,
    /// Its client timeout is no number of milliseconds up to a day.
    TimeoutOutOfRange,
    /// It has a body where its method has none.
    UnexpectedBody,
    /// Its body ended early.
    IncompleteBody,
    /// Its body did not arrive in time.
    SlowBody,
    /// Its body is larger than its limit.
    BodyTooLarge,
    /// More bytes arrived with it than it announces.
    TrailingBytes,
    /// An open request has its id.
    DuplicateRequestId,
    /// The route that a JSON-RPC call matches belongs to another class than its method.
    MethodNotRouted,
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
            InvalidRequest::MethodNotRouted => StatusCode::NOT_FOUND,
        }
    }
}

impl DownstreamError {
    /// The HTTP status that it maps to.
    pub fn status(&self) -> StatusCode {
        match self {
            DownstreamError::Invalid(invalid) => invalid.status(),
            DownstreamError::Rejected(rejection) => rejection.status,
        }
    }

    /// The limit or key that rejects the request.
    pub fn cause(&self) -> Option<&'static str> {
        match self {
            DownstreamError::Invalid(_) => None,
            DownstreamError::Rejected(rejection) => rejection.cause,
        }
    }

    /// When to retry, in microseconds from now; 0 states no time.
    pub fn retry_after(&self) -> Micros {
        match self {
            DownstreamError::Invalid(_) => 0,
            DownstreamError::Rejected(rejection) => rejection.retry_after,
        }
    }
}

impl RequestError {
    /// The HTTP status that it maps to.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::Downstream(error) => error.status(),
            RequestError::Upstream(UpstreamError::Shed { .. }) => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::Upstream(UpstreamError::Failed) => StatusCode::BAD_GATEWAY,
            RequestError::Upstream(UpstreamError::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
            RequestError::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// The limit or key that rejects the request.
    pub fn cause(&self) -> Option<&'static str> {
        match self {
            RequestError::Downstream(error) => error.cause(),
            _ => None,
        }
    }

    /// When to retry, in microseconds from now; 0 states no time.
    pub fn retry_after(&self) -> Micros {
        match self {
            RequestError::Downstream(error) => error.retry_after(),
            RequestError::Upstream(UpstreamError::Shed { retry_after }) => *retry_after,
            _ => 0,
        }
    }

    /// Whether the limit on connections rejects the request, so that its connection is to be closed.
    pub fn is_connection_limit(&self) -> bool {
        self.cause() == Some(limit::RejectReason::Connections.name())
    }

    /// The outcome that the request is counted under.
    pub fn outcome(&self) -> RequestOutcome {
        match self {
            RequestError::Downstream(DownstreamError::Rejected(rejection)) => rejection.request_outcome(),
            RequestError::Upstream(UpstreamError::Shed { .. }) => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        }
    }
}

/// The response of an endpoint, or the error in its place.
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
