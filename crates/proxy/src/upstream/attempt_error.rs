//! The reasons why an attempt got no response, and the outcome that each of them is reported as.

use decide::Outcome;
use hyper::StatusCode;

use super::connect::ConnectError;
use crate::exchange::AttemptResult;

/// The reason why an attempt or a health check got no usable response.
#[derive(Debug)]
pub enum AttemptError {
    /// The attempt was given up before anything was written.
    NotSent(NotSentReason),
    /// No connection could be obtained.
    Connect(ConnectError),
    /// The connection closed before the first byte of an HTTP request, or the last byte of a JSON-RPC call,
    /// was written, so nothing was executed. On a reused connection the attempt is repeated on another one.
    ClosedBeforeWrite,
    /// The streamed body of the request ended early, so the endpoint has not received its last byte.
    IncompleteRequest,
    /// The endpoint took nothing of the streamed body until the deadline, so it has not received its last
    /// byte.
    RequestNotTaken,
    /// The connection closed after the request was written, at least in part.
    ConnectionLost,
    /// The connection closed before the end of the response body.
    IncompleteResponse,
    /// The endpoint declared that it has not processed the request.
    Rejected,
    /// The endpoint responded with a status other than 200.
    Status(StatusCode),
    /// The endpoint responded with an error object that has this code.
    RpcError(i64),
    /// The deadline passed after the request was written.
    Timeout,
}

/// The reason why an attempt was given up before anything was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// The endpoint list has expired.
    ListExpired,
    /// The drain grace of the endpoint is over or almost over, or the endpoint has been forgotten.
    EndpointDrained,
    /// The client has closed its connection.
    ClientDisconnected,
    /// The deadline of the attempt passed.
    DeadlineExceeded,
    /// An earlier attempt may have been executed, and the endpoint may have forgotten it.
    DeduplicationExpired,
    /// Health checks are not made over JSON-RPC.
    Unsupported,
}

impl NotSentReason {
    /// The value of the label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            NotSentReason::ListExpired => "list_expired",
            NotSentReason::EndpointDrained => "endpoint_drained",
            NotSentReason::ClientDisconnected => "client_disconnected",
            NotSentReason::DeadlineExceeded => "deadline_exceeded",
            NotSentReason::DeduplicationExpired => "deduplication_expired",
            NotSentReason::Unsupported => "unsupported",
        }
    }
}

impl AttemptError {
    /// The outcome that is reported to the balancer.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptError::NotSent(_) | AttemptError::IncompleteRequest => Outcome::NotSent,
            // The cause lies in this process, so nothing can be inferred about the endpoint.
            AttemptError::Connect(ConnectError::UnknownEndpoint | ConnectError::SocketsExhausted) => {
                Outcome::NotSent
            }
            AttemptError::Connect(
                ConnectError::Timeout | ConnectError::Io(_) | ConnectError::Handshake(_),
            )
            | AttemptError::ClosedBeforeWrite
            | AttemptError::RequestNotTaken => Outcome::ConnectFailed,
            AttemptError::ConnectionLost | AttemptError::IncompleteResponse => Outcome::Reset,
            AttemptError::Rejected => Outcome::Rejected,
            AttemptError::Status(_) | AttemptError::RpcError(_) => Outcome::Error,
            AttemptError::Timeout => Outcome::Timeout,
        }
    }
}

impl From<ConnectError> for AttemptError {
    fn from(error: ConnectError) -> Self {
        AttemptError::Connect(error)
    }
}

impl From<NotSentReason> for AttemptError {
    fn from(reason: NotSentReason) -> Self {
        AttemptError::NotSent(reason)
    }
}

impl From<AttemptError> for AttemptResult {
    fn from(error: AttemptError) -> Self {
        error.outcome().into()
    }
}

impl std::fmt::Display for AttemptError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AttemptError::NotSent(reason) => write!(f, "request not sent: {reason}"),
            AttemptError::Connect(_) => f.write_str("no connection to the endpoint"),
            AttemptError::ClosedBeforeWrite => {
                f.write_str("the connection closed before the request was written")
            }
            AttemptError::IncompleteRequest => {
                f.write_str("the request body ended before its last byte was written")
            }
            AttemptError::RequestNotTaken => {
                f.write_str("the endpoint stopped reading before the last byte of the request")
            }
            AttemptError::ConnectionLost => f.write_str("the connection closed before the response"),
            AttemptError::IncompleteResponse => {
                f.write_str("the connection closed before the end of the response body")
            }
            AttemptError::Rejected => f.write_str("the endpoint rejected the request"),
            AttemptError::Status(status) => {
                write!(f, "the endpoint responded with status {status}, expected 200")
            }
            AttemptError::RpcError(code) => write!(f, "the endpoint responded with JSON-RPC error {code}"),
            AttemptError::Timeout => f.write_str("the attempt timed out"),
        }
    }
}

impl std::fmt::Display for NotSentReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            NotSentReason::ListExpired => "the endpoint list has expired",
            NotSentReason::EndpointDrained => {
                "the drain grace of the endpoint is over or the endpoint was removed"
            }
            NotSentReason::ClientDisconnected => "the client has disconnected",
            NotSentReason::DeadlineExceeded => "the deadline has passed",
            NotSentReason::DeduplicationExpired => "the endpoint may have forgotten an earlier attempt",
            NotSentReason::Unsupported => "JSON-RPC has no health check",
        })
    }
}

impl std::error::Error for AttemptError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            AttemptError::Connect(error) => Some(error),
            _ => None,
        }
    }
}
