//! The lease on a list that is pushed to an agent beside the proxy.
//!
//! What the agent has counts as notified. The bound of each state is listed in the [module above](super).

use super::{CallFailure, Expiry, ExpiryCause, InitialList, LeaseTerms};
use crate::time::Micros;
use crate::watch::ListStatus;

/// How recently the list was confirmed to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListConfirmation {
    /// There is no list.
    Absent,
    /// The list has not been confirmed since this time, the start of the process.
    Unconfirmed { since: Micros },
    /// The list has not been confirmed, and the connection of a call was refused.
    UnconfirmedConnectionRefused,
    /// A response confirmed the list.
    Confirmed,
}

/// The state of the lease on a list that is pushed to an agent.
pub(crate) struct AgentLease {
    terms: Option<LeaseTerms>,
    confirmation: ListConfirmation,
    /// When the changes of a missing response begin to count as notified. `None` if no response is missing.
    response_missing_from: Option<Micros>,
    /// When all changes at the agent begin to count as notified because calls fail. `None` if no call failed.
    calls_failed_from: Option<Micros>,
}

impl AgentLease {
    /// Creates the lease on the list that the process starts with. Without terms the lease never expires.
    pub fn new(terms: Option<LeaseTerms>, list: InitialList, now: Micros) -> AgentLease {
        let confirmation = match list {
            InitialList::Absent => ListConfirmation::Absent,
            InitialList::Unconfirmed => ListConfirmation::Unconfirmed { since: now },
        };
        AgentLease { terms, confirmation, response_missing_from: None, calls_failed_from: None }
    }

    /// Returns whether the list has been confirmed at least once.
    pub fn is_confirmed(&self) -> bool {
        self.confirmation == ListConfirmation::Confirmed
    }

    /// Returns whether the list is known to be current.
    pub fn status(&self) -> ListStatus {
        match self.confirmation {
            ListConfirmation::Absent => ListStatus::Absent,
            ListConfirmation::Confirmed if !self.is_in_doubt() => ListStatus::Confirmed,
            _ => ListStatus::Unconfirmed,
        }
    }

    /// Returns whether the list that the process started with is still unconfirmed.
    pub fn is_unconfirmed(&self) -> bool {
        matches!(self.confirmation, ListConfirmation::Unconfirmed { .. })
    }

    /// Returns whether a response is missing, or calls failed.
    pub fn is_in_doubt(&self) -> bool {
        self.response_missing_from.is_some() || self.calls_failed_from.is_some()
    }

    /// Returns the period in which forwarding is suspended. `None` without terms or without a bound.
    pub fn expiry(&self) -> Option<Expiry> {
        let terms = self.terms?;
        let unconfirmed_since = match self.confirmation {
            ListConfirmation::Unconfirmed { since } => Some(since),
            _ => None,
        };
        let bounds = [
            (unconfirmed_since, ExpiryCause::Unconfirmed),
            (self.response_missing_from, ExpiryCause::ResponseMissing),
            (self.calls_failed_from, ExpiryCause::CallsFailed),
        ];
        let known_bounds = bounds.into_iter().filter_map(|(from, cause)| Some((from?, cause)));
        let (notified_from, cause) = known_bounds.min_by_key(|(from, _)| *from)?;
        let notified_until = self.response_missing_from.unwrap_or(notified_from).max(notified_from);
        Some(terms.expiry(notified_from, notified_until, cause))
    }

    /// Records that a response was received completely.
    pub fn confirm(&mut self) {
        self.confirmation = ListConfirmation::Confirmed;
        self.response_missing_from = None;
        self.calls_failed_from = None;
    }

    /// Records a missing response, whose changes count as notified from `from` on.
    pub fn record_missing_response(&mut self, from: Micros) {
        let earliest = self.response_missing_from.map_or(from, |earlier| earlier.min(from));
        self.response_missing_from = Some(earliest);
    }

    /// Records a failed call.
    pub fn fail(&mut self, now: Micros, failure: CallFailure) {
        if self.terms.is_none() {
            return;
        }
        if failure == CallFailure::ConnectionRefused && self.is_unconfirmed() {
            self.confirmation = ListConfirmation::UnconfirmedConnectionRefused;
        }
        match failure {
            // Changes at an agent count as notified at once.
            CallFailure::ErrorResponse | CallFailure::ConnectionLost => {
                self.calls_failed_from.get_or_insert(now);
            }
            // An agent that cannot be reached has no changes to notify.
            CallFailure::ConnectionRefused | CallFailure::Unreachable => self.calls_failed_from = None,
        }
    }
}
