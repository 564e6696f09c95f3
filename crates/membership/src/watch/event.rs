//! The inputs of a watch, and the actions that it asks of its caller.

use crate::call::CallId;
use crate::lease::{CallFailure, LeaseTerms};
use crate::time::Micros;

/// How discovery provides lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// A service that responds to each call once there is a change or its wait is over.
    Polled,
    /// Lists are pushed to an agent beside the proxy: it responds only where there is a change, and its silence means that
    /// there is none.
    Pushed,
}

/// How a watch behaves.
#[derive(Clone, Copy, Debug)]
pub struct WatchPolicy {
    /// How discovery provides lists.
    pub mode: DiscoveryMode,
    /// What bounds the use of a list; `None`: it is relied on without limit.
    pub lease: Option<LeaseTerms>,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The list is to be watched. A watch whose list has a lease starts by itself.
    StartWatch,
    /// Discovery is at another address: calls in flight are closed, and the new address is polled.
    AddressChanged,
    /// The head of a response was received.
    ResponseStarted {
        /// The call.
        call: CallId,
    },
    /// A response was received completely, and applied.
    ResponseCompleted {
        /// The call.
        call: CallId,
        /// Whether the list changed.
        changed: bool,
    },
    /// A response broke off after it had started, or cannot be parsed.
    ResponseTruncated {
        /// The call.
        call: CallId,
    },
    /// A call ended without a response.
    CallFailed {
        /// The call.
        call: CallId,
        /// How it ended.
        failure: CallFailure,
    },
    /// The time of [`DiscoveryWatch::wake_at`](crate::DiscoveryWatch::wake_at) has come.
    TimerDue,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Call discovery for what is newer than the list in hand.
    Poll {
        /// The new call.
        call: CallId,
        /// How long discovery may hold the call until there is a change, in microseconds; 0 requests the full list.
        wait: Micros,
    },
    /// Close the connection of a call. No further event of the call is to be reported.
    CloseCall {
        /// The call.
        call: CallId,
    },
    /// The watch has ended; it goes on with the next [`WatchEvent::StartWatch`].
    WatchEnded,
}
