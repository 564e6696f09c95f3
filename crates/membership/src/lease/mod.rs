//! The lease on the list: for how long requests may be forwarded on the basis of the list.
//!
//! The platform counts a drain as *notified* to a proxy a fixed time after the proxy's call, whether the
//! proxy received it or not. From then on the proxy has `drain_grace` to stop sending to that endpoint.
//! Because the proxy may have missed the drain, it then stops sending to all endpoints.
//!
//! The lease has one bound: the earliest time at which a change that this process has not received may count
//! as notified. There is also a bound while no call is in flight and while no call has failed.
//!
//! Where discovery is polled ([`ServiceLease`]):
//!
//! - Unconfirmed (the list came with the configuration, and its age is unknown): from the start of the
//!   process, until a response or a refused connection.
//! - Confirmed, a call is in flight: from two seconds after the wait of the call, or from six seconds after
//!   the call if it requests the full list, until a response.
//! - Confirmed, no call is in flight: from six seconds after the last response, until the next call.
//! - A call failed: from six seconds after the list last counted as confirmed (at the latest, the time of the
//!   first failure), until a response. The six seconds start later if discovery was unreachable for every
//!   proxy, which is inferred from the [`CallFailure`].
//! - A response broke off, or is missing: from two seconds after the wait of its call, until a response.
//!
//! Where lists are pushed to an agent ([`AgentLease`]), which is silent while discovery is down:
//!
//! - Unconfirmed: from the start of the process, from four seconds after another agent was named, or from when
//!   a call failed, a response broke off or came late, or the process last ran; until a prompt response.
//! - Current, also while the agent is silent: from when the process last ran, which it renews.
//! - Current, and the agent is gone: from the last refused connection.
//!
//! There is no bound while there is no list and no call has failed.
//!
//! Forwarding is suspended from a time after the bound: `drain_grace` minus `margin`.

mod agent;
mod service;
mod terms;

pub use terms::{CallFailure, Expiry, ExpiryCause, InitialList, LeaseTerms};

use crate::call::DiscoveryCall;
use crate::time::{Micros, SECOND};
use crate::watch::{DiscoveryMode, ListStatus};
use agent::AgentLease;
use service::ServiceLease;

/// The time from the end of a call's wait until changes count as notified, received or not (rule of the
/// platform).
pub(crate) const NOTIFIED_AFTER_WAIT: Micros = 2 * SECOND;
/// The time from a change at a reachable discovery until the change counts as notified, however the calls
/// ended (rule of the platform).
pub(crate) const NOTIFIED_AFTER_CALL: Micros = 6 * SECOND;

/// The lease on one list, by the way in which discovery provides it.
pub(crate) enum Lease {
    /// Discovery is a service that is polled.
    Service(ServiceLease),
    /// Lists are pushed to an agent beside the proxy.
    Agent(AgentLease),
}

impl Lease {
    /// Creates the lease on the list that the process starts with. Without terms the lease never expires.
    pub fn new(terms: Option<LeaseTerms>, mode: DiscoveryMode, list: InitialList, now: Micros) -> Lease {
        match mode {
            DiscoveryMode::Polled => Lease::Service(ServiceLease::new(terms, list, now)),
            DiscoveryMode::Pushed => Lease::Agent(AgentLease::new(terms, list, now)),
        }
    }

    /// Returns whether the list has been confirmed at least once.
    pub fn is_confirmed(&self) -> bool {
        match self {
            Lease::Service(lease) => lease.is_confirmed(),
            Lease::Agent(lease) => lease.status() == ListStatus::Confirmed,
        }
    }

    /// Returns whether the next call has to confirm the list at once, instead of waiting for a change.
    pub fn needs_confirmation(&self) -> bool {
        match self {
            Lease::Service(lease) => lease.is_unconfirmed(),
            Lease::Agent(lease) => !lease.is_current(),
        }
    }

    /// Returns whether the list that the process started with is still unconfirmed.
    pub fn is_unconfirmed(&self) -> bool {
        match self {
            Lease::Service(lease) => lease.is_unconfirmed(),
            Lease::Agent(lease) => lease.is_unconfirmed(),
        }
    }

    /// Returns whether the list is known to be current.
    pub fn status(&self) -> ListStatus {
        match self {
            Lease::Service(lease) => lease.status(),
            Lease::Agent(lease) => lease.status(),
        }
    }

    /// Returns whether discovery is presumed down.
    pub fn is_outage_presumed(&self) -> bool {
        match self {
            Lease::Service(lease) => lease.is_outage_presumed(),
            Lease::Agent(_) => false,
        }
    }

    /// Returns whether a response is missing, or calls failed.
    pub fn is_in_doubt(&self) -> bool {
        match self {
            Lease::Service(lease) => lease.is_in_doubt(),
            Lease::Agent(lease) => lease.is_unconfirmed(),
        }
    }

    /// Returns the period in which forwarding is suspended, given the calls in flight. `None` without terms
    /// or without a bound.
    pub fn expiry(&self, calls: &[DiscoveryCall]) -> Option<Expiry> {
        match self {
            Lease::Service(lease) => lease.expiry(calls),
            Lease::Agent(lease) => lease.expiry(calls),
        }
    }

    /// Records that the response to a call was received completely.
    pub fn confirm(&mut self, now: Micros, call: &DiscoveryCall) {
        match self {
            Lease::Service(lease) => lease.confirm(now),
            Lease::Agent(lease) => lease.confirm(now, call),
        }
    }

    /// Records that the response to a call broke off: its changes count as notified, received or not.
    pub fn record_truncated_response(&mut self, now: Micros, call: &DiscoveryCall, others: &[DiscoveryCall]) {
        match self {
            Lease::Service(lease) => lease.record_missing_response(call.notified_at()),
            Lease::Agent(lease) => lease.record_truncated_response(now, call, others),
        }
    }

    /// Records that discovery moved to another address. `is_watching` is whether discovery held a call until
    /// now.
    pub fn change_address(&mut self, now: Micros, is_watching: bool) {
        match self {
            Lease::Service(lease) => lease.change_address(now, is_watching),
            Lease::Agent(lease) => lease.change_address(now),
        }
    }

    /// Returns for how long an agent may hold a call. `None` if discovery is polled.
    pub fn longest_agent_hold(&self) -> Option<Micros> {
        match self {
            Lease::Service(_) => None,
            Lease::Agent(lease) => Some(lease.longest_hold()),
        }
    }

    /// Returns when [`Lease::check`] is due.
    pub fn check_due_at(&self) -> Option<Micros> {
        match self {
            Lease::Service(_) => None,
            Lease::Agent(lease) => lease.check_due_at(),
        }
    }

    /// Records that the process runs at `now`, before anything else is recorded.
    pub fn check(&mut self, now: Micros) {
        match self {
            Lease::Service(_) => {}
            Lease::Agent(lease) => lease.check(now),
        }
    }

    /// Records that discovery took a call and has not responded in time.
    pub fn record_silence(&mut self, now: Micros, call: &DiscoveryCall) {
        match self {
            Lease::Service(lease) => lease.record_missing_response(call.notified_at()),
            Lease::Agent(lease) => lease.record_silence(now),
        }
    }

    /// Records a failed call, with the other calls in flight: changes that discovery had in the meantime may
    /// count as notified, received or not.
    pub fn fail(
        &mut self,
        now: Micros,
        call: &DiscoveryCall,
        failure: CallFailure,
        others: &[DiscoveryCall],
    ) {
        match self {
            Lease::Service(lease) => lease.fail(now, call, failure),
            Lease::Agent(lease) => lease.fail(now, call, failure, others),
        }
    }
}
