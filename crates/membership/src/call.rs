//! A call to discovery in flight: when it is overdue, and when the changes that its response should contain
//! count as notified.

use std::ops::Range;

use crate::lease::{NOTIFIED_AFTER_CALL, NOTIFIED_AFTER_WAIT};
use crate::time::{Micros, MILLISECOND, SECOND};
use crate::watch::CallResult;

/// The grace period for a response to start. It begins at the end of the requested wait, or at [`QUEUE_LIMIT`]
/// if that is later and the call may be queued; at its end the call is overdue.
pub(crate) const RESPONSE_GRACE: Micros = 250 * MILLISECOND;
/// The longest time that discovery queues a call before it rejects it (rule of the platform). Discovery
/// serves calls in turn.
pub(crate) const QUEUE_LIMIT: Micros = 2 * SECOND;
/// The ages at which a call that ends counts as rejected at the queue limit.
const QUEUE_LIMIT_WINDOW: Range<Micros> = QUEUE_LIMIT - 20 * MILLISECOND..QUEUE_LIMIT + 150 * MILLISECOND;
/// The time from the start of a response until the call is overdue if the response is incomplete.
const BODY_TIMEOUT: Micros = SECOND;

/// The identifier of a call, unique within one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call to discovery in flight.
pub(crate) struct DiscoveryCall {
    pub id: CallId,
    pub started_at: Micros,
    /// How long discovery may hold the call until there is a change; 0 requests the full list.
    pub wait: Micros,
    /// Whether discovery may queue the call. An agent does not.
    pub may_be_queued: bool,
    /// Whether the connection of the call is established.
    pub is_connected: bool,
    pub response_started_at: Option<Micros>,
    /// Whether the call was found overdue. It stays open, because it may only be slow, and another call is
    /// made.
    pub is_overdue: bool,
    /// Whether the call follows the last response so soon that discovery holds it at once. Such a call skips
    /// the queue of discovery.
    pub continues_watch: bool,
}

impl DiscoveryCall {
    /// Returns when the call is overdue.
    pub fn overdue_at(&self) -> Micros {
        self.response_started_at.map_or(self.response_due_at(), |started| started + BODY_TIMEOUT)
    }

    /// Returns when a response should have started.
    fn response_due_at(&self) -> Micros {
        self.started_at + self.longest_hold() + RESPONSE_GRACE
    }

    /// Returns whether a response that was received completely at `now` came at once when it could be sent.
    pub fn is_prompt(&self, now: Micros) -> bool {
        let body_due_at = self.response_started_at.map_or(now, |started| started + RESPONSE_GRACE);
        now <= self.response_due_at() && now <= body_due_at
    }

    /// Returns for how long a response to the call may be withheld.
    fn longest_hold(&self) -> Micros {
        if self.may_be_queued {
            self.wait.max(QUEUE_LIMIT)
        } else if self.is_connected {
            self.wait
        } else {
            // An agent beside the proxy takes connections at once.
            0
        }
    }

    /// Returns why the response is missing once the call is overdue.
    pub fn overdue_result(&self) -> CallResult {
        if self.response_started_at.is_some() {
            CallResult::Incomplete
        } else if self.is_connected {
            CallResult::Silent
        } else {
            CallResult::ConnectTimedOut
        }
    }

    /// Returns when the changes that the response should contain count as notified, received or not.
    pub fn notified_at(&self) -> Micros {
        let delay = if self.wait > 0 { self.wait + NOTIFIED_AFTER_WAIT } else { NOTIFIED_AFTER_CALL };
        let without_response = self.started_at + delay;
        self.response_started_at
            .map_or(without_response, |started| without_response.min(started + NOTIFIED_AFTER_WAIT))
    }

    /// Returns whether `now` is the time at which discovery rejects a call that is still queued.
    pub fn is_at_queue_limit(&self, now: Micros) -> bool {
        QUEUE_LIMIT_WINDOW.contains(&(now - self.started_at))
    }

    /// Returns whether discovery has taken the call from its queue and holds it until there is a change. This
    /// is inferred from the age of the call.
    pub fn is_held(&self, now: Micros) -> bool {
        self.continues_watch || now > self.started_at + QUEUE_LIMIT + RESPONSE_GRACE
    }
}
