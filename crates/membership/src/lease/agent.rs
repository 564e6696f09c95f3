//! The lease on a list that is pushed to an agent beside the proxy.
//!
//! What the agent has counts as notified, whether or not a call is open. Nothing but a response shows that the
//! list in hand has all of it. An agent is silent while discovery is down and then receives nothing, so a list
//! that was current before stays current. The bound of each state is listed in the [module above](super).

use super::{CallFailure, Expiry, ExpiryCause, InitialList, LeaseTerms};
use crate::call::{DiscoveryCall, RESPONSE_GRACE};
use crate::time::{Micros, MILLISECOND, SECOND};
use crate::watch::ListStatus;

/// The time from a new configuration until what the agent that it names has counts as notified (rule of the
/// platform).
const NOTIFIED_AFTER_MOVE: Micros = 4 * SECOND;
/// How often the lease on a current list is renewed within the time for which it may be used without.
const RENEWALS_PER_USABLE_TIME: Micros = 4;
/// The minimum time between two renewals.
const MIN_RENEWAL_INTERVAL: Micros = 20 * MILLISECOND;
/// The time that a call takes to confirm the list.
const CONFIRMATION_TIME: Micros = 50 * MILLISECOND;
/// The bounds of [`AgentLease::longest_hold`].
const SHORTEST_HOLD: Micros = 100 * MILLISECOND;
const LONGEST_HOLD: Micros = 10 * SECOND;
/// The time within which all sockets of a process that ends are closed.
const PROCESS_END_TIME: Micros = 50 * MILLISECOND;

/// What is known of the list in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AgentList {
    /// There is no list.
    Absent,
    /// The agent confirmed the list, and has held a call since, or taken the next one at once.
    Current {
        /// When the process last ran, so that a response would have been read.
        checked_at: Micros,
    },
    /// The list was current when the agent was last found to be gone: its kernel refused a connection.
    AgentGone {
        /// When the last connection was refused.
        refused_at: Micros,
    },
    /// The agent may have changes that were not received.
    Unconfirmed(Doubt),
}

/// Why the agent may have changes that were not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Doubt {
    /// When the earliest such change counts as notified.
    notified_from: Micros,
    cause: ExpiryCause,
    /// When the doubt arose. Only the response to a later call dispels it.
    since: Micros,
    /// When connections began to break, if the list was current then and no call has ended otherwise since.
    lost_at: Option<Micros>,
}

impl Doubt {
    fn new(since: Micros, notified_from: Micros, cause: ExpiryCause) -> Doubt {
        Doubt { notified_from, cause, since, lost_at: None }
    }

    /// Returns whether a refusal shows that the process of the agent ended when connections began to break, so
    /// that it received nothing after that.
    fn is_end_of_process(&self, refused_at: Micros) -> bool {
        self.lost_at.is_some_and(|lost_at| refused_at <= lost_at + PROCESS_END_TIME)
    }
}

/// The state of the lease on a list that is pushed to an agent.
pub(crate) struct AgentLease {
    terms: Option<LeaseTerms>,
    list: AgentList,
}

impl AgentLease {
    /// Creates the lease on the list that the process starts with. Without terms the lease never expires.
    pub fn new(terms: Option<LeaseTerms>, list: InitialList, now: Micros) -> AgentLease {
        let list = match list {
            InitialList::Absent => AgentList::Absent,
            InitialList::Unconfirmed => {
                AgentList::Unconfirmed(Doubt::new(now, now, ExpiryCause::Unconfirmed))
            }
        };
        AgentLease { terms, list }
    }

    /// Returns whether the list is known to be current.
    pub fn status(&self) -> ListStatus {
        match self.list {
            AgentList::Absent => ListStatus::Absent,
            AgentList::Current { .. } | AgentList::AgentGone { .. } => ListStatus::Confirmed,
            AgentList::Unconfirmed(_) => ListStatus::Unconfirmed,
        }
    }

    /// Returns whether the agent confirmed the list and may hold a call until there is a change.
    pub fn is_current(&self) -> bool {
        matches!(self.list, AgentList::Current { .. })
    }

    /// Returns whether the agent may have changes that were not received.
    pub fn is_unconfirmed(&self) -> bool {
        matches!(self.list, AgentList::Unconfirmed(_))
    }

    /// Returns the period in which forwarding is suspended, given the calls in flight. `None` without terms or
    /// without a bound.
    pub fn expiry(&self, calls: &[DiscoveryCall]) -> Option<Expiry> {
        let terms = self.terms?;
        let (notified_from, cause) = self.earliest_notification(calls)?;
        Some(terms.expiry_until_response(notified_from, cause))
    }

    /// Returns the earliest time at which a change that was not received may count as notified, and the cause.
    fn earliest_notification(&self, calls: &[DiscoveryCall]) -> Option<(Micros, ExpiryCause)> {
        match self.list {
            AgentList::Absent => None,
            AgentList::Current { checked_at } => {
                let renewed = self.renewal_interval().map(|_| (checked_at, ExpiryCause::ProcessStopped));
                let response_began_at = calls.iter().filter_map(|call| call.response_started_at).min();
                let incomplete = response_began_at.map(|at| (at, ExpiryCause::ResponseMissing));
                renewed.into_iter().chain(incomplete).min_by_key(|(from, _)| *from)
            }
            AgentList::AgentGone { refused_at } => {
                self.renewal_interval().map(|_| (refused_at, ExpiryCause::CallsFailed))
            }
            AgentList::Unconfirmed(doubt) => Some((doubt.notified_from, doubt.cause)),
        }
    }

    /// Returns when [`AgentLease::check`] is due, which renews the lease while the process runs.
    pub fn check_due_at(&self) -> Option<Micros> {
        match self.list {
            AgentList::Current { checked_at } => Some(checked_at + self.renewal_interval()?),
            _ => None,
        }
    }

    /// Records that the process runs at `now`. If it did not for so long that the lease ran out, responses and
    /// the end of the agent may be unread.
    pub fn check(&mut self, now: Micros) {
        let Some(expiry) = self.expiry(&[]) else { return };
        if let AgentList::Current { checked_at } = self.list {
            self.list = if now < expiry.from {
                AgentList::Current { checked_at: now }
            } else {
                AgentList::Unconfirmed(Doubt::new(now, checked_at, ExpiryCause::ProcessStopped))
            };
        }
    }

    /// Returns the time between two renewals of the lease on a current list. `None` if the lease would run out
    /// before it could be renewed; it has no bound then.
    fn renewal_interval(&self) -> Option<Micros> {
        let usable_time = self.terms.map(|terms| terms.drain_grace - terms.margin)?;
        Some(usable_time / RENEWALS_PER_USABLE_TIME).filter(|interval| *interval >= MIN_RENEWAL_INTERVAL)
    }

    /// Returns for how long the agent may hold a call: if the call is dead, that is found, and what was missed is
    /// received, within the time for which the list may be used.
    pub fn longest_hold(&self) -> Micros {
        let usable_time = self.terms.map_or(LONGEST_HOLD, |terms| terms.drain_grace - terms.margin);
        (usable_time - RESPONSE_GRACE - CONFIRMATION_TIME).clamp(SHORTEST_HOLD, LONGEST_HOLD)
    }

    /// Records that another agent is called from now on. What it has counts as notified
    /// [`NOTIFIED_AFTER_MOVE`] later.
    pub fn change_address(&mut self, now: Micros) {
        let notified_from = now + NOTIFIED_AFTER_MOVE;
        match &mut self.list {
            AgentList::Absent => {}
            AgentList::Current { .. } | AgentList::AgentGone { .. } => {
                self.list =
                    AgentList::Unconfirmed(Doubt::new(now, notified_from, ExpiryCause::AddressChanged));
            }
            AgentList::Unconfirmed(doubt) => {
                doubt.notified_from = doubt.notified_from.min(notified_from);
                doubt.since = now;
                doubt.lost_at = None;
            }
        }
    }

    /// Records that the response to a call was received completely. One that comes late may have been written
    /// long ago: it shows only what the agent had when the call was made.
    pub fn confirm(&mut self, now: Micros, call: &DiscoveryCall) {
        let dispels_doubt = match self.list {
            AgentList::Unconfirmed(doubt) => doubt.since <= call.started_at,
            _ => true,
        };
        if dispels_doubt && call.is_prompt(now) {
            self.list = AgentList::Current { checked_at: now };
            return;
        }
        let shown_at = call.started_at;
        match &mut self.list {
            AgentList::Absent => {
                self.list = AgentList::Unconfirmed(Doubt::new(now, shown_at, ExpiryCause::ResponseLate));
            }
            AgentList::Current { .. } => {
                let notified_from = shown_at.max(self.notification_that_suspends_at(now + CONFIRMATION_TIME));
                self.list = AgentList::Unconfirmed(Doubt::new(now, notified_from, ExpiryCause::ResponseLate));
            }
            AgentList::AgentGone { refused_at } => {
                let notified_from = shown_at.max(*refused_at);
                self.list = AgentList::Unconfirmed(Doubt::new(now, notified_from, ExpiryCause::ResponseLate));
            }
            AgentList::Unconfirmed(doubt) if doubt.notified_from < shown_at => {
                *doubt = Doubt::new(doubt.since, shown_at, ExpiryCause::ResponseLate);
            }
            AgentList::Unconfirmed(doubt) => doubt.lost_at = None,
        }
    }

    /// Returns the time from which changes would have to count as notified for forwarding to be suspended at
    /// `suspended_at`.
    fn notification_that_suspends_at(&self, suspended_at: Micros) -> Micros {
        self.terms.map_or(suspended_at, |terms| suspended_at + terms.margin - terms.drain_grace)
    }

    /// Records that the response to a call broke off. What was in it counts as notified since it began.
    pub fn record_truncated_response(&mut self, now: Micros, call: &DiscoveryCall, others: &[DiscoveryCall]) {
        let began_at = silent_since(others, call.response_started_at.unwrap_or(now));
        self.doubt(Doubt::new(now, began_at, ExpiryCause::ResponseMissing));
    }

    /// Records that the agent took a call and has not responded in time.
    pub fn record_silence(&mut self, now: Micros) {
        match &mut self.list {
            AgentList::Absent | AgentList::Current { .. } => {}
            // The agent is back, and may have received changes at once.
            AgentList::AgentGone { refused_at } => {
                self.list =
                    AgentList::Unconfirmed(Doubt::new(now, *refused_at, ExpiryCause::ResponseMissing));
            }
            AgentList::Unconfirmed(doubt) => doubt.lost_at = None,
        }
    }

    /// Records a failed call, with the other calls in flight.
    pub fn fail(
        &mut self,
        now: Micros,
        call: &DiscoveryCall,
        failure: CallFailure,
        others: &[DiscoveryCall],
    ) {
        let is_held = others.iter().any(|other| other.is_connected);
        let doubt = Doubt::new(now, silent_since(others, now), ExpiryCause::CallsFailed);
        match failure {
            CallFailure::ConnectionRefused => self.record_refusal(now),
            CallFailure::ErrorResponse => self.doubt(doubt),
            CallFailure::ConnectionLost => {
                let lost_at = self.lost_at(now);
                self.doubt(doubt);
                if let AgentList::Unconfirmed(doubt) = &mut self.list {
                    doubt.lost_at = lost_at;
                }
            }
            // The agent would respond to the call that it holds.
            CallFailure::Unreachable if is_held && self.is_current() => {}
            CallFailure::Unreachable => {
                self.doubt(Doubt { notified_from: call.started_at, ..doubt });
            }
        }
    }

    /// Returns when the connections of an agent that confirmed the list began to break, if one breaks now.
    fn lost_at(&self, now: Micros) -> Option<Micros> {
        match self.list {
            AgentList::Current { .. } => Some(now),
            AgentList::Unconfirmed(doubt) => doubt.lost_at,
            AgentList::Absent | AgentList::AgentGone { .. } => None,
        }
    }

    fn record_refusal(&mut self, now: Micros) {
        match &mut self.list {
            AgentList::Absent => {}
            AgentList::Current { .. } | AgentList::AgentGone { .. } => {
                self.list = AgentList::AgentGone { refused_at: now };
            }
            AgentList::Unconfirmed(doubt) if doubt.is_end_of_process(now) => {
                self.list = AgentList::AgentGone { refused_at: now };
            }
            AgentList::Unconfirmed(doubt) => doubt.lost_at = None,
        }
    }

    /// Records that the agent may have changes that were not received. What was in doubt before stays so.
    fn doubt(&mut self, doubt: Doubt) {
        match &mut self.list {
            AgentList::Absent => {}
            AgentList::Current { .. } => self.list = AgentList::Unconfirmed(doubt),
            AgentList::AgentGone { refused_at } => {
                let notified_from = doubt.notified_from.min(*refused_at);
                self.list = AgentList::Unconfirmed(Doubt { notified_from, ..doubt });
            }
            AgentList::Unconfirmed(earlier) => earlier.lost_at = None,
        }
    }
}

/// Returns the time up to which a silent agent is known to have been so: it took the last of these calls then, and
/// did not respond to it. Returns `now` if no call is overdue.
fn silent_since(calls: &[DiscoveryCall], now: Micros) -> Micros {
    let overdue = calls.iter().filter(|call| call.is_overdue);
    overdue.map(|call| call.started_at).max().unwrap_or(now)
}
