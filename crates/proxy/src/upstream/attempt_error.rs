//! Why an attempt brought no response, and what that proves.

use decide::Outcome;
use hyper::StatusCode;

use super::connect::ConnectError;
use crate::exchange::AttemptResult;

/// Why an attempt or a health check brought no response.
#[derive(Debug)]
pub enum AttemptError {
    /// It was given up before anything was written.
    NotSent(NotSentReason),
    /// There is no connection.
    Connect(ConnectError),
    /// The connection closed before an HTTP request's first byte, or a JSON-RPC call's last byte, was written: nothing was
    /// executed. On a reused connection the attempt is repeated on another one.
    ClosedBeforeWrite,
    /// The streamed body of the request was cut, so the endpoint has not got its last byte.
    IncompleteRequest,
    /// The connection closed after the request was written, at least in part.
    ConnectionLost,
    /// The body of the response broke off.
    IncompleteResponse,
    /// The endpoint declares that it has not processed the request.
    Rejected,
    /// The endpoint answered with another status than 200.
    Status(StatusCode),
    /// The endpoint answered with an error object of this code.
    RpcError(i64),
    /// The deadline passed after the request was written.
    Timeout,
}

/// Why an attempt was given up before anything was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// The endpoint list has expired.
    ListExpired,
    /// The endpoint has been draining for too long, or was removed.
    EndpointDrained,
    /// The client has closed its connection.
    ClientDisconnected,
    /// The deadline passed.
    DeadlineExceeded,
    /// Health checks are not made over JSON-RPC.
    Unsupported,
}

impl AttemptError {
    /// What it proves, to the decisions.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptError::NotSent(_) | AttemptError::IncompleteRequest => Outcome::NotSent,
            // The reason lies with this process, and says nothing about the endpoint.
            AttemptError::Connect(ConnectError::UnknownEndpoint | ConnectError::SocketsExhausted) => {
                Outcome::NotSent
            }
            AttemptError::Connect(
                ConnectError::Timeout | ConnectError::Io(_) | ConnectError::Handshake(_),
            )
            | AttemptError::ClosedBeforeWrite => Outcome::ConnectFailed,
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
            AttemptError::NotSent(reason) => write!(f, "nothing was sent: {reason}"),
            AttemptError::Connect(_) => f.write_str("there is no connection"),
            AttemptError::ClosedBeforeWrite => {
                f.write_str("the connection closed before the request was written")
            }
            AttemptError::IncompleteRequest => f.write_str("the request was not written in full"),
            AttemptError::ConnectionLost => f.write_str("the connection closed without a response"),
            AttemptError::IncompleteResponse => f.write_str("the response broke off"),
            AttemptError::Rejected => f.write_str("the endpoint rejected the request"),
            AttemptError::Status(status) => write!(f, "the endpoint answered with status {status}"),
            AttemptError::RpcError(code) => write!(f, "the endpoint answered with error {code}"),
            AttemptError::Timeout => f.write_str("the attempt timed out"),
        }
    }
}

impl std::fmt::Display for NotSentReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            NotSentReason::ListExpired => "the endpoint list has expired",
            NotSentReason::EndpointDrained => "the endpoint is drained",
            NotSentReason::ClientDisconnected => "the client has disconnected",
            NotSentReason::DeadlineExceeded => "the deadline has passed",
            NotSentReason::Unsupported => "the protocol has no health check",
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
