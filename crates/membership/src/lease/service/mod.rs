//! The lease on a list that discovery provides on request.
//!
//! The platform counts a change as notified a fixed time after a call, whether this process received it or
//! not. The bound of each state is listed in the [module above](super).

mod outage;

use super::{
    CallFailure, Expiry, ExpiryCause, InitialList, LeaseTerms, NOTIFIED_AFTER_CALL, NOTIFIED_AFTER_WAIT,
};
use crate::call::DiscoveryCall;
use crate::time::Micros;
use crate::watch::ListStatus;
use outage::{FailureClass, Outage};

/// How recently the list was confirmed to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListConfirmation {
    /// There is no list.
    Absent,
    /// The list has not been confirmed since this time, the start of the process.
    Unconfirmed { since: Micros },
    /// The list has not been confirmed, and the connection of a call was refused, so that no proxy could
    /// reach discovery.
    UnconfirmedConnectionRefused,
    /// The list was current at this time, as a response of discovery or a call that discovery held confirmed.
    Confirmed { at: Micros },
}

/// The state of the lease on a list that discovery provides on request.
pub(crate) struct ServiceLease {
    terms: Option<LeaseTerms>,
    confirmation: ListConfirmation,
    /// When the changes of a missing response begin to count as notified. `None` if no response is missing.
    response_missing_from: Option<Micros>,
    /// When all changes at discovery begin to count as notified because calls fail. `None` if no call failed.
    calls_failed_from: Option<Micros>,
    /// The time from which changes would count as notified because calls fail, if the list had been confirmed
    /// until the start of the first failed call. The end of the suspension follows from this time, from
    /// [`ServiceLease::response_missing_from`] or from the bound, whichever is latest. `None` if no call failed.
    suspension_counts_from: Option<Micros>,
    /// Whether discovery may have been reachable for other proxies, and may have notified them of a change,
    /// since the first failed call.
    others_reached_discovery: bool,
    outage: Outage,
}

impl ServiceLease {
    /// Creates the lease on the list that the process starts with. Without terms the lease never expires.
    pub fn new(terms: Option<LeaseTerms>, list: InitialList, now: Micros) -> ServiceLease {
        let confirmation = match list {
            InitialList::Absent => ListConfirmation::Absent,
            InitialList::Unconfirmed => ListConfirmation::Unconfirmed { since: now },
        };
        ServiceLease {
            terms,
            confirmation,
            response_missing_from: None,
            calls_failed_from: None,
            suspension_counts_from: None,
            others_reached_discovery: false,
            outage: Outage::None,
        }
    }

    /// Returns whether the list has been confirmed at least once.
    pub fn is_confirmed(&self) -> bool {
        matches!(self.confirmation, ListConfirmation::Confirmed { .. })
    }

    /// Returns whether the list is known to be current.
    pub fn status(&self) -> ListStatus {
        match self.confirmation {
            ListConfirmation::Absent => ListStatus::Absent,
            ListConfirmation::Confirmed { .. } if !self.is_in_doubt() => ListStatus::Confirmed,
            _ => ListStatus::Unconfirmed,
        }
    }

    /// Returns whether the list that the process started with is still unconfirmed.
    pub fn is_unconfirmed(&self) -> bool {
        matches!(self.confirmation, ListConfirmation::Unconfirmed { .. })
    }

    /// Returns whether discovery is presumed down.
    pub fn is_outage_presumed(&self) -> bool {
        matches!(self.outage, Outage::Presumed { .. })
    }

    /// Returns whether a response is missing, or calls failed.
    pub fn is_in_doubt(&self) -> bool {
        self.response_missing_from.is_some() || self.calls_failed_from.is_some()
    }

    /// Returns the period in which forwarding is suspended, given the calls in flight. `None` without terms
    /// or without a bound.
    pub fn expiry(&self, calls: &[DiscoveryCall]) -> Option<Expiry> {
        let terms = self.terms?;
        let (notified_from, cause) = self.earliest_notification(calls)?;
        let latest = self.response_missing_from.max(self.suspension_counts_from);
        let notified_until = latest.unwrap_or(notified_from).max(notified_from);
        Some(terms.expiry(notified_from, notified_until, cause))
    }

    /// Returns the earliest time at which a change that was not received may count as notified, and the
    /// cause.
    fn earliest_notification(&self, calls: &[DiscoveryCall]) -> Option<(Micros, ExpiryCause)> {
        let unconfirmed_since = match self.confirmation {
            ListConfirmation::Unconfirmed { since } => Some(since),
            _ => None,
        };
        let bounds = [
            (unconfirmed_since, ExpiryCause::Unconfirmed),
            (self.response_missing_from, ExpiryCause::ResponseMissing),
            (self.calls_failed_from, ExpiryCause::CallsFailed),
            (self.bound_without_failure(calls), ExpiryCause::ResponseMissing),
        ];
        let known_bounds = bounds.into_iter().filter_map(|(from, cause)| Some((from?, cause)));
        known_bounds.min_by_key(|(from, _)| *from)
    }

    /// Returns the bound while no call has failed and no response is missing. It always lies in the future,
    /// unless the operating system stopped the process for a while.
    fn bound_without_failure(&self, calls: &[DiscoveryCall]) -> Option<Micros> {
        if self.is_in_doubt() {
            return None;
        }
        let ListConfirmation::Confirmed { at } = self.confirmation else { return None };
        let by_calls = calls.iter().map(DiscoveryCall::notified_at).min();
        Some(by_calls.unwrap_or(at + NOTIFIED_AFTER_CALL))
    }

    /// Records that a response was received completely.
    pub fn confirm(&mut self, now: Micros) {
        self.confirmation = ListConfirmation::Confirmed { at: now };
        self.response_missing_from = None;
        self.calls_failed_from = None;
        self.suspension_counts_from = None;
        self.others_reached_discovery = false;
        self.outage = Outage::None;
    }

    /// Records a missing response, whose changes count as notified from `from` on.
    pub fn record_missing_response(&mut self, from: Micros) {
        let earliest = self.response_missing_from.map_or(from, |earlier| earlier.min(from));
        self.response_missing_from = Some(earliest);
    }

    /// Records that discovery moved to another address. `is_watching` is whether discovery held a call until
    /// now, in which case it had no change that was not received. What was inferred of the old address says
    /// nothing about the new one, which other proxies may reach from now on: its changes count as notified
    /// [`NOTIFIED_AFTER_CALL`] later, even if it is so crowded that it turns away the calls of this proxy.
    pub fn change_address(&mut self, now: Micros, is_watching: bool) {
        self.outage = Outage::None;
        match &mut self.confirmation {
            ListConfirmation::Confirmed { at } if is_watching => *at = now,
            _ => {}
        }
        let notified_from = now + NOTIFIED_AFTER_CALL;
        self.calls_failed_from = self.calls_failed_from.map(|from| from.min(notified_from));
    }

    /// Records a failed call: changes that discovery had in the meantime count as notified after a delay,
    /// received or not.
    pub fn fail(&mut self, now: Micros, call: &DiscoveryCall, failure: CallFailure) {
        let Some(terms) = self.terms else { return };
        if failure == CallFailure::ConnectionRefused && self.is_unconfirmed() {
            self.confirmation = ListConfirmation::UnconfirmedConnectionRefused;
        }
        self.record_failure(now, call, failure, terms);
    }

    /// Records a failed call under these terms. The order matters: the failure is classified by the
    /// values of `confirmation` and `outage` from before the failure. Both are then updated, and the bound is
    /// computed from the updated values.
    fn record_failure(&mut self, now: Micros, call: &DiscoveryCall, failure: CallFailure, terms: LeaseTerms) {
        let previous_outage = self.outage;
        let failure_class = self.classify(now, call, failure);
        self.outage = failure_class.outage(now);
        let confirmed_until = self.confirmed_until(now, call, failure);
        if let ListConfirmation::Confirmed { at } = &mut self.confirmation {
            *at = confirmed_until.max(*at);
        }
        // The time until which discovery had no change that was not received, or is presumed down.
        let counted_from = match self.outage {
            Outage::Refused => now,
            Outage::Presumed { since } => since + terms.presumed_outage,
            Outage::None => confirmed_until,
        };
        let notified_from = counted_from + NOTIFIED_AFTER_CALL;
        let restarts = failure_class == FailureClass::OutageBegins
            || self.restarts_failure_bound(previous_outage, failure);
        self.update_failure_bound(notified_from, call.started_at - confirmed_until, restarts);
        let reached_discovery = failure != CallFailure::ConnectionRefused && !self.is_outage_presumed();
        self.others_reached_discovery |= reached_discovery && !call.is_held(now);
    }

    /// Returns whether [`NOTIFIED_AFTER_CALL`] starts again: discovery was unreachable for every proxy, and
    /// no call has reached it since the first failure. `self.outage` must already include this failure.
    fn restarts_failure_bound(&self, previous_outage: Outage, failure: CallFailure) -> bool {
        let went_down = previous_outage == Outage::Refused && self.is_outage_presumed();
        (failure == CallFailure::ConnectionRefused || went_down) && !self.others_reached_discovery
    }

    /// Sets the bounds that follow from a failed call. A gap between the confirmation and the call makes the
    /// suspension start sooner, but not end sooner.
    fn update_failure_bound(&mut self, notified_from: Micros, gap: Micros, restarts: bool) {
        if restarts {
            self.calls_failed_from = None;
            self.suspension_counts_from = None;
        }
        let earliest = self.calls_failed_from.map_or(notified_from, |earlier| earlier.min(notified_from));
        self.calls_failed_from = Some(earliest);
        self.suspension_counts_from.get_or_insert(notified_from + gap.max(0));
    }

    /// Returns the time up to which the list counts as confirmed after a failed call.
    fn confirmed_until(&self, now: Micros, call: &DiscoveryCall, failure: CallFailure) -> Micros {
        // If discovery refuses connections, no proxy can reach it, and it had no change to report.
        if failure == CallFailure::ConnectionRefused {
            return now;
        }
        // The connection may have been dead for some time before it broke. The changes of the call count as
        // notified from `NOTIFIED_AFTER_WAIT` after its wait. The list counts as confirmed until
        // `NOTIFIED_AFTER_CALL` before that time, but at least until the call started.
        if failure == CallFailure::ConnectionLost && call.is_held(now) {
            let silence = (call.wait + NOTIFIED_AFTER_WAIT - NOTIFIED_AFTER_CALL).max(0);
            return now.min(call.started_at + silence);
        }
        match self.confirmation {
            ListConfirmation::Confirmed { at } if !call.continues_watch => at.min(call.started_at),
            _ => call.started_at,
        }
    }
}
