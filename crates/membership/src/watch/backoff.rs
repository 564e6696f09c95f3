//! When a watch polls again after a call without a response, and for how long discovery may hold a call.

use std::ops::Range;

use super::{DiscoveryWatch, FIRST_CALL_SPREAD};
use crate::call::{QUEUE_LIMIT, RESPONSE_GRACE};
use crate::time::{Micros, MILLISECOND, SECOND};

/// The range from which the waits of a watch are drawn. It is as wide as the time that discovery takes to
/// serve one call of every proxy, so that proxies that started together do not poll together.
const WATCH_WAIT: Range<Micros> = 2 * SECOND..10 * SECOND;
/// The wait of a call that checks whether a change was missed.
const DOUBT_WAIT: Micros = 250 * MILLISECOND;
/// The wait of a call that confirms a list: the shortest wait that the protocol can express.
const CONFIRMING_WAIT: Micros = MILLISECOND;
/// The upper bound of the backoff before the first retry. Each backoff is drawn from a quarter of its upper
/// bound up to the upper bound.
const MAX_FIRST_BACKOFF: Micros = 200 * MILLISECOND;
/// The upper bound of the backoff before a further retry. It is short because a retry has to succeed before
/// changes at discovery count as notified.
const MAX_RETRY_BACKOFF: Micros = 2 * SECOND;
/// The upper bound of the backoff after discovery rejected the call. It is longer because rejections cost an
/// overloaded discovery work. The retry still completes before the lease expires.
const MAX_OVERLOAD_BACKOFF: Micros = 8 * SECOND;
/// The upper bound of the backoff after discovery rejected the call while forwarding is suspended.
const MAX_OVERLOAD_BACKOFF_SUSPENDED: Micros = 4 * SECOND;

impl DiscoveryWatch {
    /// Draws the time for which discovery may hold the next call; 0 requests the full list.
    pub(super) fn draw_wait(&mut self) -> Micros {
        if !self.has_version {
            0
        } else if self.lease.needs_confirmation() || self.is_agent_silent() {
            CONFIRMING_WAIT
        } else if self.lease.is_in_doubt() {
            DOUBT_WAIT
        } else {
            let range = self.lease.longest_agent_hold().map_or(WATCH_WAIT, |longest| longest / 2..longest);
            self.rng.i64(range)
        }
    }

    /// Returns whether an agent has taken a call that is overdue.
    fn is_agent_silent(&self) -> bool {
        self.is_pushed() && self.calls.iter().any(|call| call.is_overdue)
    }

    /// Plans a retry, unless a call is already planned, or is in flight and not overdue.
    pub(super) fn plan_retry(&mut self, now: Micros) {
        if self.next_call_at.is_some() || self.calls.iter().any(|call| !call.is_overdue) {
            return;
        }
        let longest = self.longest_backoff(now);
        self.retries += 1;
        self.next_call_at = Some(now + self.rng.i64(longest / 4..=longest));
    }

    /// Returns the upper bound of the backoff before a retry, by how the last call ended.
    fn longest_backoff(&self, now: Micros) -> Micros {
        // Frequent calls do not overload an agent beside the proxy.
        if self.is_pushed() {
            return MAX_FIRST_BACKOFF;
        }
        let backoff = if self.retries == 0 { MAX_FIRST_BACKOFF } else { MAX_RETRY_BACKOFF };
        if !self.lease.is_confirmed() && !self.has_version {
            return backoff.min(FIRST_CALL_SPREAD);
        }
        // An outage may end at any time. The backoff stays short, so that a call follows before the changes
        // after the outage count as notified.
        if !self.was_rejected || self.lease.is_outage_presumed() {
            return backoff;
        }
        match self.expiry() {
            Some(expiry) if now < expiry.from => {
                let in_time = expiry.from - now - QUEUE_LIMIT - RESPONSE_GRACE;
                in_time.clamp(backoff, MAX_OVERLOAD_BACKOFF)
            }
            _ => MAX_OVERLOAD_BACKOFF_SUSPENDED,
        }
    }
}
