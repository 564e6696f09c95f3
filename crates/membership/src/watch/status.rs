//! What a watch reports to operators: whether the list is confirmed, and how the last call went.

use crate::lease::CallFailure;

/// Whether the list is known to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStatus {
    /// There is no list.
    Absent,
    /// The list is confirmed.
    Confirmed,
    /// There may be changes that were not received.
    Unconfirmed,
}

/// How the last call ended, or why its response is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// No call has ended.
    Pending,
    /// The response was received completely.
    Answered,
    /// The connection was established, and no response came in time.
    Silent,
    /// The connection was refused.
    ConnectionRefused,
    /// The response was an error.
    Rejected,
    /// The connection was not established.
    ConnectTimedOut,
    /// The connection broke before a response.
    ConnectionLost,
    /// The response broke off, or cannot be parsed.
    Incomplete,
}

impl From<CallFailure> for CallResult {
    fn from(failure: CallFailure) -> CallResult {
        match failure {
            CallFailure::ConnectionRefused => CallResult::ConnectionRefused,
            CallFailure::ErrorResponse => CallResult::Rejected,
            CallFailure::ConnectionLost => CallResult::ConnectionLost,
            CallFailure::Unreachable => CallResult::ConnectTimedOut,
        }
    }
}

/// The status of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchStatus {
    /// Whether the list is known to be current.
    pub list: ListStatus,
    /// How the last call ended.
    pub last_call: CallResult,
}
