//! Whether failed calls tell of an outage of discovery, or of an overload.
//!
//! An overloaded discovery rejects calls that are queued, at once or at the queue limit, and ends no watch. So a watch that ends
//! with an error, or an error at any other moment, says that discovery went down. A process that never had a response presumes no
//! outage: its list proves nothing, whatever discovery does.

use super::{CallFailure, Lease, ListProof, NOTIFIED_AFTER_CALL};
use crate::call::DiscoveryCall;
use crate::time::{Micros, MILLISECOND};

/// A call that ends with an error within this was not queued.
const IMMEDIATE_ERROR: Micros = 100 * MILLISECOND;

/// What failed calls say of discovery as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outage {
    /// Nothing.
    None,
    /// The last call's connection was refused by the kernel.
    Refused,
    /// Discovery is presumed down since then.
    Presumed {
        /// The start of the outage.
        since: Micros,
    },
}

fn ends_at_once(now: Micros, call: &DiscoveryCall) -> bool {
    now - call.started_at < IMMEDIATE_ERROR
}

/// What one failed call says of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureMeaning {
    /// The kernel refused the connection.
    Refused,
    /// Discovery went down in this moment. The changes that it had before count anew, as they do not count as notified yet.
    OutageBegins,
    /// Discovery was presumed down before, since then.
    OutageContinues {
        /// The start of the outage.
        since: Micros,
    },
    /// Discovery is found to be down since then; the changes that it had before do not count anew.
    OutageFound {
        /// The start of the outage.
        since: Micros,
    },
    /// An overload may have ended the call, or nothing is known of discovery.
    MayBeOverload,
}

impl FailureMeaning {
    /// What is presumed of discovery after the failure.
    pub(super) fn outage(self, now: Micros) -> Outage {
        match self {
            FailureMeaning::Refused => Outage::Refused,
            FailureMeaning::OutageBegins => Outage::Presumed { since: now },
            FailureMeaning::OutageContinues { since } | FailureMeaning::OutageFound { since } => {
                Outage::Presumed { since }
            }
            FailureMeaning::MayBeOverload => Outage::None,
        }
    }
}

impl Lease {
    /// What a failed call says, by how and when it ended and by what was known before.
    pub(super) fn classify(&self, now: Micros, call: &DiscoveryCall, failure: CallFailure) -> FailureMeaning {
        if failure == CallFailure::ConnectionRefused {
            return FailureMeaning::Refused;
        }
        let is_error = failure == CallFailure::ErrorResponse;
        let ended_at_once = ends_at_once(now, call);
        let is_at_limit = call.is_at_queue_limit(now);
        // No overload ends a call at any other moment.
        if is_error && !ended_at_once && !is_at_limit && self.is_proof_recent(now) {
            return FailureMeaning::OutageBegins;
        }
        if let Outage::Presumed { since } = self.outage {
            return FailureMeaning::OutageContinues { since };
        }
        let may_be_overload = ended_at_once || (is_at_limit && !call.continues_watch);
        if is_error && self.is_confirmed() && !may_be_overload {
            // A discovery that is down rejects calls at the queue limit, and was down when they were made.
            let since = if is_at_limit { call.started_at } else { now };
            return FailureMeaning::OutageFound { since };
        }
        FailureMeaning::MayBeOverload
    }

    /// Whether a change since the last proof does not count as notified yet.
    fn is_proof_recent(&self, now: Micros) -> bool {
        matches!(self.proof, ListProof::Confirmed { at } if now < at + NOTIFIED_AFTER_CALL)
    }
}
