//! The events that a watch handles, and the actions that it returns.

use crate::call::CallId;
use crate::lease::{CallFailure, LeaseTerms};
use crate::time::Micros;

/// How discovery provides lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery is a service that responds to each call once there is a change or the wait of the call is
    /// over.
    Polled,
    /// Lists are pushed to an agent beside the proxy. The agent responds at once with what it has, and is silent
    /// while discovery is down.
    Pushed,
}

/// The settings of a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchPolicy {
    /// How discovery provides lists.
    pub mode: DiscoveryMode,
    /// The terms that bound the use of a list. `None`: a list may be used without limit.
    pub lease: Option<LeaseTerms>,
}

/// An input of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// Starts the watch. A watch with lease terms starts without this event.
    StartWatch,
    /// Discovery moved to another address: calls in flight are closed, and the new address is polled.
    AddressChanged,
    /// The connection of a call was established, or an idle one is used.
    Connected {
        /// The call.
        call: CallId,
    },
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
    /// The time that [`DiscoveryWatch::wake_at`](crate::DiscoveryWatch::wake_at) returned is reached.
    TimerDue,
}

/// An output of a watch, to be carried out in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Calls discovery for a list newer than the present one.
    Poll {
        /// The new call.
        call: CallId,
        /// The time for which discovery may hold the call until there is a change, in microseconds; 0
        /// requests the full list.
        wait: Micros,
    },
    /// Closes the connection of a call. Further events of the call are ignored.
    CloseCall {
        /// The call.
        call: CallId,
    },
    /// The watch has ended. [`WatchEvent::StartWatch`] starts it again.
    WatchEnded,
}
