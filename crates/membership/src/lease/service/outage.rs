//! Classification of failed calls: outage of discovery, or overload.
//!
//! An overloaded discovery rejects queued calls, at once or at the queue limit, and ends no call that it
//! holds. An error to a held call, or an error at any other time, therefore indicates that discovery went
//! down. A process that never received a response presumes no outage, because its list is unconfirmed in
//! either case.

use super::{CallFailure, ListConfirmation, ServiceLease, NOTIFIED_AFTER_CALL};
use crate::call::DiscoveryCall;
use crate::time::{Micros, MILLISECOND};

/// The age below which a call that ends with an error was not queued.
const IMMEDIATE_ERROR: Micros = 100 * MILLISECOND;

/// The state of discovery that is inferred from failed calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outage {
    /// No outage is inferred.
    None,
    /// The kernel refused the connection of the last call.
    Refused,
    /// Discovery is presumed down.
    Presumed {
        /// The start of the outage.
        since: Micros,
    },
}

fn ends_at_once(now: Micros, call: &DiscoveryCall) -> bool {
    now - call.started_at < IMMEDIATE_ERROR
}

/// The class of one failed call, by what it indicates about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureClass {
    /// The kernel refused the connection.
    Refused,
    /// Discovery went down just now. No change since the last confirmation counts as notified yet, so
    /// [`NOTIFIED_AFTER_CALL`] starts again.
    OutageBegins,
    /// Discovery was already presumed down.
    OutageContinues {
        /// The start of the outage.
        since: Micros,
    },
    /// This call indicates that discovery is down. [`NOTIFIED_AFTER_CALL`] does not start again.
    OutageFound {
        /// The start of the outage.
        since: Micros,
    },
    /// An overload may have ended the call, or the state of discovery is unknown.
    MayBeOverload,
}

impl FailureClass {
    /// Returns the state of discovery that is presumed after the failure.
    pub(super) fn outage(self, now: Micros) -> Outage {
        match self {
            FailureClass::Refused => Outage::Refused,
            FailureClass::OutageBegins => Outage::Presumed { since: now },
            FailureClass::OutageContinues { since } | FailureClass::OutageFound { since } => {
                Outage::Presumed { since }
            }
            FailureClass::MayBeOverload => Outage::None,
        }
    }
}

impl ServiceLease {
    /// Classifies a failed call by how and when it ended and by the state of the lease before it.
    pub(super) fn classify(&self, now: Micros, call: &DiscoveryCall, failure: CallFailure) -> FailureClass {
        if failure == CallFailure::ConnectionRefused {
            return FailureClass::Refused;
        }
        let is_error = failure == CallFailure::ErrorResponse;
        let ended_at_once = ends_at_once(now, call);
        let is_at_limit = call.is_at_queue_limit(now);
        // An overload ends calls only at once or at the queue limit, so this error indicates an outage.
        if is_error && !ended_at_once && !is_at_limit && self.is_confirmation_recent(now) {
            return FailureClass::OutageBegins;
        }
        if let Outage::Presumed { since } = self.outage {
            return FailureClass::OutageContinues { since };
        }
        let may_be_overload = ended_at_once || (is_at_limit && !call.continues_watch);
        if is_error && self.is_confirmed() && !may_be_overload {
            // A call that continues a watch is not queued, so an overload does not reject it at the queue
            // limit: discovery was already down when the call was made.
            let since = if is_at_limit { call.started_at } else { now };
            return FailureClass::OutageFound { since };
        }
        FailureClass::MayBeOverload
    }

    /// Returns whether no change since the last confirmation counts as notified yet.
    fn is_confirmation_recent(&self, now: Micros) -> bool {
        matches!(self.confirmation, ListConfirmation::Confirmed { at } if now < at + NOTIFIED_AFTER_CALL)
    }
}
