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

impl Lease {
    /// What is presumed of discovery after a failure.
    pub(super) fn outage_after(
        &self,
        now: Micros,
        call: &DiscoveryCall,
        failure: CallFailure,
        goes_down: bool,
    ) -> Outage {
        let is_at_limit = call.is_at_queue_limit(now);
        let may_be_overload = is_at_limit && !call.continues_watch;
        match (failure, self.outage) {
            (CallFailure::ConnectionRefused, _) => Outage::Refused,
            _ if goes_down => Outage::Presumed { since: now },
            (_, Outage::Presumed { since }) => Outage::Presumed { since },
            (CallFailure::ErrorResponse, _)
                if self.is_confirmed() && !ends_at_once(now, call) && !may_be_overload =>
            {
                // A discovery that is down rejects calls at the queue limit, and was down when they were made.
                Outage::Presumed { since: if is_at_limit { call.started_at } else { now } }
            }
            _ => Outage::None,
        }
    }

    /// Whether a call ends with an error at a moment at which no overload ends one. Discovery went down in that moment, and the
    /// changes that it had before count anew, unless they count as notified by now.
    pub(super) fn goes_down(&self, now: Micros, call: &DiscoveryCall, failure: CallFailure) -> bool {
        let may_be_overload = ends_at_once(now, call) || call.is_at_queue_limit(now);
        let ListProof::Confirmed { at } = self.proof else { return false };
        failure == CallFailure::ErrorResponse && !may_be_overload && now < at + NOTIFIED_AFTER_CALL
    }
}
