//! When a watch polls again after a call that brought nothing, and how long it lets discovery hold a call.

use std::ops::Range;

use super::{DiscoveryMode, DiscoveryWatch, FIRST_CALL_SPREAD};
use crate::call::{QUEUE_LIMIT, RESPONSE_GRACE};
use crate::time::{Micros, MILLISECOND, SECOND};

/// The waits of a watch are drawn from this range, as wide as discovery takes to serve one call of every proxy, so that proxies
/// that started together do not poll together.
const WATCH_WAIT: Range<Micros> = 2 * SECOND..10 * SECOND;
/// The wait of a call that is to show whether a change was missed.
const DOUBT_WAIT: Micros = 250 * MILLISECOND;
/// The wait of a call that confirms the list of a process that has just started: the shortest that the wire form allows.
const CONFIRMING_WAIT: Micros = MILLISECOND;
/// Upper bound of the backoff before the first retry. Each backoff is drawn from a quarter of its bound to all of it.
const MAX_FIRST_BACKOFF: Micros = 200 * MILLISECOND;
/// Upper bound before a further retry. Discovery's changes count as notified soon after, so it is short.
const MAX_RETRY_BACKOFF: Micros = 2 * SECOND;
/// Upper bound where discovery rejected the call, since rejections cost an overloaded discovery work. The retry is in time
/// for the lease all the same.
const MAX_OVERLOAD_BACKOFF: Micros = 8 * SECOND;
/// Upper bound of the same kind while forwarding is suspended.
const MAX_OVERLOAD_BACKOFF_SUSPENDED: Micros = 4 * SECOND;

impl DiscoveryWatch {
    /// Draws how long discovery may hold the next call.
    pub(super) fn draw_wait(&mut self) -> Micros {
        if !self.has_version {
            0
        } else if self.policy.mode == DiscoveryMode::Polled && self.lease.is_unconfirmed() {
            CONFIRMING_WAIT
        } else if self.lease.is_in_doubt() {
            DOUBT_WAIT
        } else {
            self.rng.i64(WATCH_WAIT)
        }
    }

    /// Plans another call for what one did not bring, unless one is planned, or in flight and not overdue.
    pub(super) fn plan_retry(&mut self, now: Micros) {
        if self.next_call_at.is_some() || self.calls.iter().any(|call| !call.is_overdue) {
            return;
        }
        let longest = self.longest_backoff(now);
        self.retries += 1;
        self.next_call_at = Some(now + self.rng.i64(longest / 4..=longest));
    }

    /// The longest backoff before a retry, by how the last call ended.
    fn longest_backoff(&self, now: Micros) -> Micros {
        // An agent beside the proxy bears any number of calls.
        if self.policy.mode == DiscoveryMode::Pushed {
            return MAX_FIRST_BACKOFF;
        }
        let backoff = if self.retries == 0 { MAX_FIRST_BACKOFF } else { MAX_RETRY_BACKOFF };
        if !self.lease.is_confirmed() && !self.has_version {
            return backoff.min(FIRST_CALL_SPREAD);
        }
        // An outage may end at any moment, and the calls after it must be in time.
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
