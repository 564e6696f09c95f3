//! One call to discovery in flight: when it is overdue, and when the changes it was to bring count as notified.

use std::ops::Range;

use crate::lease::{NOTIFIED_AFTER_CALL, NOTIFIED_AFTER_WAIT};
use crate::time::{Micros, MILLISECOND, SECOND};

/// A call is overdue when its response has not started by this time after the requested wait or the queue limit, whichever is
/// longer.
pub(crate) const RESPONSE_GRACE: Micros = 250 * MILLISECOND;
/// Discovery serves calls in turn and rejects one that would queue for longer than this (platform's rule).
pub(crate) const QUEUE_LIMIT: Micros = 2 * SECOND;
/// A call that ends at this age was rejected at the queue limit.
const QUEUE_LIMIT_WINDOW: Range<Micros> = QUEUE_LIMIT - 20 * MILLISECOND..QUEUE_LIMIT + 150 * MILLISECOND;
/// A response that has started must be complete after this.
const BODY_TIMEOUT: Micros = SECOND;

/// Identifies a call among those of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call in flight.
pub(crate) struct DiscoveryCall {
    pub id: CallId,
    pub started_at: Micros,
    /// How long discovery may hold the call until there is a change; 0 requests the full list.
    pub wait: Micros,
    pub response_started_at: Option<Micros>,
    /// It has been found overdue, and another call makes up for it.
    pub is_overdue: bool,
    /// It continues the watch of the last response, and skips discovery's queue.
    pub continues_watch: bool,
}

impl DiscoveryCall {
    /// When the call is overdue.
    pub fn overdue_at(&self) -> Micros {
        let response_due = self.started_at + self.wait.max(QUEUE_LIMIT) + RESPONSE_GRACE;
        self.response_started_at.map_or(response_due, |started| started + BODY_TIMEOUT)
    }

    /// When the changes that it was to bring count as notified, whether they arrived or not.
    pub fn notified_at(&self) -> Micros {
        let delay = if self.wait > 0 { self.wait + NOTIFIED_AFTER_WAIT } else { NOTIFIED_AFTER_CALL };
        let without_response = self.started_at + delay;
        self.response_started_at
            .map_or(without_response, |started| without_response.min(started + NOTIFIED_AFTER_WAIT))
    }

    /// Whether `now` is the time at which discovery rejects a call that is still queued.
    pub fn is_at_queue_limit(&self, now: Micros) -> bool {
        QUEUE_LIMIT_WINDOW.contains(&(now - self.started_at))
    }

    /// Whether, judged by its age, the call had left the queue and was watching.
    pub fn was_watching(&self, now: Micros) -> bool {
        self.continues_watch || now > self.started_at + QUEUE_LIMIT + RESPONSE_GRACE
    }
}
