//! The lease on the list: for how long requests may be forwarded by it.
//!
//! The platform counts a drain as *notified* to a proxy a fixed time after the proxy's call, received or not. From then on the proxy
//! has `drain_grace` to stop sending to that endpoint. As it may have missed the drain, it then stops sending to all.
//!
//! Its one bound is the moment from which on a change that this process has not received may count as notified. Each state has
//! one, the states in which no call has been made or none has failed included:
//!
//! | state | counts as notified from | what ends it |
//! | --- | --- | --- |
//! | unconfirmed: the list came with the configuration, and nothing proves its age | the start of the process | a response; a refused connection |
//! | confirmed, a call is in flight | two seconds after its wait, six after the call where it requests the full list | a response |
//! | confirmed, no call is in flight | six seconds after the last response | the next call |
//! | a call failed | by [`CallFailure`], six seconds after the first of them unless nobody could reach discovery | a response |
//! | a response broke off, or did not come | two seconds after the wait of its call | a response |
//!
//! Forwarding ends when the drain grace, less a margin, is over after that moment.

mod outage;
mod terms;

pub use terms::{CallFailure, Expiry, ExpiryCause, InitialList, LeaseTerms};

use crate::call::DiscoveryCall;
use crate::time::{Micros, MILLISECOND, SECOND};
use crate::watch::DiscoveryMode;
use outage::{FailureMeaning, Outage};

/// Changes count as notified this long after the wait of a call is over, whether they arrived or not (platform's rule).
pub(crate) const NOTIFIED_AFTER_WAIT: Micros = 2 * SECOND;
/// Changes that a reachable discovery had count as notified this long after, whatever became of the calls (platform's rule).
pub(crate) const NOTIFIED_AFTER_CALL: Micros = 6 * SECOND;
/// An agent beside the proxy that has a change responds within this.
const AGENT_RESPONSE_TIME: Micros = 250 * MILLISECOND;

/// What is known of the age of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListProof {
    /// There is no list.
    Absent,
    /// Nothing has proven it since this moment, the start of the process.
    Unconfirmed { since: Micros },
    /// Nothing has proven it, and nobody could reach discovery when it was polled.
    DiscoveryUnreachable,
    /// By a response of discovery, or a watch that stood, it was current then.
    Confirmed { at: Micros },
}

/// The state of the lease on one list.
pub(crate) struct Lease {
    terms: Option<LeaseTerms>,
    mode: DiscoveryMode,
    proof: ListProof,
    /// From when on the changes of a missing response count as notified.
    response_missing_from: Option<Micros>,
    /// From when on all of discovery's changes count as notified, since calls fail.
    calls_failed_from: Option<Micros>,
    /// `max_suspension` is counted from this time, or from [`Lease::response_missing_from`] or the bound itself if that is later.
    suspension_counts_from: Option<Micros>,
    /// Other callers may have reached discovery since the calls began to fail, while it had a change.
    others_reached_it: bool,
    outage: Outage,
}

impl Lease {
    pub fn new(terms: Option<LeaseTerms>, mode: DiscoveryMode, list: InitialList, now: Micros) -> Lease {
        let proof = match list {
            InitialList::Absent => ListProof::Absent,
            InitialList::Unconfirmed => ListProof::Unconfirmed { since: now },
        };
        Lease {
            terms,
            mode,
            proof,
            response_missing_from: None,
            calls_failed_from: None,
            suspension_counts_from: None,
            others_reached_it: false,
            outage: Outage::None,
        }
    }

    /// Whether discovery has ever responded.
    pub fn is_confirmed(&self) -> bool {
        matches!(self.proof, ListProof::Confirmed { .. })
    }

    /// Whether the list that the process started with still lacks its proof.
    pub fn is_unconfirmed(&self) -> bool {
        matches!(self.proof, ListProof::Unconfirmed { .. })
    }

    /// Whether discovery is presumed down.
    pub fn is_outage_presumed(&self) -> bool {
        matches!(self.outage, Outage::Presumed { .. })
    }

    /// Whether a response is missing, or calls failed.
    pub fn is_in_doubt(&self) -> bool {
        self.response_missing_from.is_some() || self.calls_failed_from.is_some()
    }

    /// When forwarding is suspended, and until when, given the calls in flight.
    pub fn expiry(&self, calls: &[DiscoveryCall]) -> Option<Expiry> {
        let terms = self.terms?;
        let (notified_from, cause) = self.earliest_notification(calls)?;
        let latest = self.response_missing_from.max(self.suspension_counts_from);
        let notified_until = latest.unwrap_or(notified_from).max(notified_from);
        let suspended_from = |notified: Micros| notified + terms.drain_grace - terms.margin;
        Some(Expiry {
            from: suspended_from(notified_from),
            until: suspended_from(notified_until) + terms.max_suspension,
            cause,
        })
    }

    /// From when on a change that was not received may count as notified, and why.
    fn earliest_notification(&self, calls: &[DiscoveryCall]) -> Option<(Micros, ExpiryCause)> {
        let unconfirmed_since = match self.proof {
            ListProof::Unconfirmed { since } => Some(since),
            _ => None,
        };
        let bounds = [
            (unconfirmed_since, ExpiryCause::Unconfirmed),
            (self.response_missing_from, ExpiryCause::ResponseMissing),
            (self.calls_failed_from, ExpiryCause::CallsFailed),
            (self.undisturbed_bound(calls), ExpiryCause::ResponseMissing),
        ];
        let known_bounds = bounds.into_iter().filter_map(|(from, cause)| Some((from?, cause)));
        known_bounds.min_by_key(|(from, _)| *from)
    }

    /// The bound while nothing has gone wrong. It is always in the future, unless the process itself was suspended.
    fn undisturbed_bound(&self, calls: &[DiscoveryCall]) -> Option<Micros> {
        // The silence of an agent means that nothing has changed.
        if self.mode == DiscoveryMode::Pushed || self.is_in_doubt() {
            return None;
        }
        let ListProof::Confirmed { at } = self.proof else { return None };
        let by_calls = calls.iter().map(DiscoveryCall::notified_at).min();
        Some(by_calls.unwrap_or(at + NOTIFIED_AFTER_CALL))
    }

    /// A response was received completely.
    pub fn confirm(&mut self, now: Micros) {
        self.proof = ListProof::Confirmed { at: now };
        self.response_missing_from = None;
        self.calls_failed_from = None;
        self.suspension_counts_from = None;
        self.others_reached_it = false;
        self.outage = Outage::None;
    }

    /// The changes of a missing response count as notified from this moment on.
    pub fn miss_response(&mut self, from: Micros) {
        let earliest = self.response_missing_from.map_or(from, |earlier| earlier.min(from));
        self.response_missing_from = Some(earliest);
    }

    /// Discovery is at another address. The whole fleet moves with it, so its first errors tell of overload, and of nothing that
    /// was there before.
    pub fn change_address(&mut self, now: Micros) {
        if self.is_confirmed() && !self.is_outage_presumed() {
            self.outage = Outage::Presumed { since: now };
        }
    }

    /// When an agent that was polled at `polled_at`, and is silent, has shown that it has no change.
    pub fn silence_confirms_at(&self, polled_at: Micros) -> Option<Micros> {
        let is_pushed = self.mode == DiscoveryMode::Pushed;
        (is_pushed && self.is_unconfirmed()).then_some(polled_at + AGENT_RESPONSE_TIME)
    }

    /// A call failed: the changes that discovery had meanwhile count as notified at some time, received or not.
    pub fn fail(&mut self, now: Micros, call: &DiscoveryCall, failure: CallFailure) {
        let Some(terms) = self.terms else { return };
        if failure == CallFailure::ConnectionRefused && self.is_unconfirmed() {
            self.proof = ListProof::DiscoveryUnreachable;
        }
        match self.mode {
            DiscoveryMode::Polled => self.fail_service(now, call, failure, terms),
            DiscoveryMode::Pushed => self.fail_agent(now, failure),
        }
    }

    fn fail_agent(&mut self, now: Micros, failure: CallFailure) {
        match failure {
            // The changes that an agent has count as notified at once.
            CallFailure::ErrorResponse | CallFailure::ConnectionLost => {
                self.calls_failed_from.get_or_insert(now);
            }
            // An agent that nobody can reach has none.
            CallFailure::ConnectionRefused | CallFailure::Unreachable => self.calls_failed_from = None,
        }
    }

    /// The order matters: the failure is classified by the proof and the outage before it, and the bound follows from both after it.
    fn fail_service(&mut self, now: Micros, call: &DiscoveryCall, failure: CallFailure, terms: LeaseTerms) {
        let previous_outage = self.outage;
        let meaning = self.classify(now, call, failure);
        self.outage = meaning.outage(now);
        let proven_until = self.proven_until(now, call, failure);
        if let ListProof::Confirmed { at } = &mut self.proof {
            *at = proven_until.max(*at);
        }
        // Up to then discovery had no change, or may still have been down.
        let counted_from = match self.outage {
            Outage::Refused => now,
            Outage::Presumed { since } => since + terms.presumed_outage,
            Outage::None => proven_until,
        };
        let notified_from = counted_from + NOTIFIED_AFTER_CALL;
        let restarts =
            meaning == FailureMeaning::OutageBegins || self.restarts_failure_bound(previous_outage, failure);
        self.update_failure_bound(notified_from, call.started_at - proven_until, restarts);
        let reached_discovery = failure != CallFailure::ConnectionRefused && !self.is_outage_presumed();
        self.others_reached_it |= reached_discovery && !call.was_watching(now);
    }

    /// Whether the six seconds start again: discovery was unreachable for everyone, and no call reached it since the first failure.
    /// Expects the outage that follows from this failure.
    fn restarts_failure_bound(&self, previous_outage: Outage, failure: CallFailure) -> bool {
        let went_down = previous_outage == Outage::Refused && self.is_outage_presumed();
        (failure == CallFailure::ConnectionRefused || went_down) && !self.others_reached_it
    }

    /// Sets the bounds that follow from a failed call. A gap between the proof and the call makes the suspension start
    /// sooner, and end no sooner.
    fn update_failure_bound(&mut self, notified_from: Micros, gap: Micros, restarts: bool) {
        if restarts {
            self.calls_failed_from = None;
            self.suspension_counts_from = None;
        }
        let earliest = self.calls_failed_from.map_or(notified_from, |earlier| earlier.min(notified_from));
        self.calls_failed_from = Some(earliest);
        self.suspension_counts_from.get_or_insert(notified_from + gap.max(0));
    }

    /// Up to when the list is proven, where a call brought nothing.
    fn proven_until(&self, now: Micros, call: &DiscoveryCall, failure: CallFailure) -> Micros {
        // A discovery that nobody could reach had no change to report.
        if failure == CallFailure::ConnectionRefused {
            return now;
        }
        // The connection may have been silent before it broke.
        if failure == CallFailure::ConnectionLost && call.was_watching(now) {
            let silence = (call.wait + NOTIFIED_AFTER_WAIT - NOTIFIED_AFTER_CALL).max(0);
            return now.min(call.started_at + silence);
        }
        match self.proof {
            ListProof::Confirmed { at } if !call.continues_watch => at.min(call.started_at),
            _ => call.started_at,
        }
    }
}
