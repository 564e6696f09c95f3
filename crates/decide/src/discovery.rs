//! When to start a watch of discovery again that ended ([`UpdateScope::Failed`]), and when to start the first.
//! In a running watch the crate `membership` (`DiscoveryWatch`) decides when to poll.
//!
//! Rule: only where the list does not come by itself. The first poll is spread over a span that grows with
//! the fleet, because discovery takes longer to answer a fleet that starts at once. A poll that fails is
//! repeated after a backoff that doubles, from a fifth of `max_poll_interval` up to all of it.
//! Times are in microseconds.

use fastrand::Rng;

use crate::time::Micros;
use crate::{Settings, UpdateScope};

/// Balancers of a tier that discovery is usually built for; a tier counts as at least as many.
const TYPICAL_BALANCERS: i64 = 8;
/// A fleet of the typical size spreads its first polls over this part of the poll interval: one in eight.
const FIRST_POLL_DIVISOR: i64 = 8;

/// Whether a poll is needed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollState {
    /// Never: the list comes by itself.
    Pushed,
    /// At the next timer.
    Waiting,
    /// Not now: a poll is under way, or the watch that it started has not ended.
    Polling,
}

/// The state of polling.
pub(crate) struct DiscoveryPoller {
    state: PollState,
    max_poll_interval: Micros,
    balancers: i64,
    backoff: Micros,
}

impl DiscoveryPoller {
    /// A poller that has not polled yet.
    pub fn new(settings: &Settings) -> Self {
        DiscoveryPoller {
            state: if settings.poll_discovery { PollState::Waiting } else { PollState::Pushed },
            max_poll_interval: settings.max_poll_interval,
            balancers: i64::from(settings.balancers),
            backoff: 0,
        }
    }

    /// When to poll first; `None` where the list comes by itself.
    pub fn first_poll_at(&self, now: Micros, rng: &mut Rng) -> Option<Micros> {
        if self.state == PollState::Pushed {
            return None;
        }
        let fleet_span = self.balancers.max(TYPICAL_BALANCERS) * self.max_poll_interval
            / (FIRST_POLL_DIVISOR * TYPICAL_BALANCERS);
        let span = fleet_span.min(self.max_poll_interval * 3 / 4).max(1);
        Some(now + rng.i64(0..span))
    }

    /// A poll failed or the subscription broke: when to poll next, if polling is needed.
    pub fn on_failure(&mut self, now: Micros, rng: &mut Rng) -> Option<Micros> {
        if self.state == PollState::Pushed {
            return None;
        }
        self.state = PollState::Waiting;
        Some(now + rng.i64(1..=self.backoff.max(1)))
    }

    /// An endpoint list came; one from the cache proves nothing of discovery.
    pub fn on_update(&mut self, scope: UpdateScope) {
        if scope != UpdateScope::Cached {
            self.backoff = 0;
        }
    }

    /// The poll timer is due; true where to poll now.
    pub fn on_timer(&mut self) -> bool {
        if self.state != PollState::Waiting {
            return false;
        }
        self.state = PollState::Polling;
        self.backoff = (self.backoff * 2).clamp(self.max_poll_interval / 5, self.max_poll_interval).max(1);
        true
    }
}

#[cfg(test)]
mod tests;
