//! The times of the polls that start a watch of discovery: the first one, and another one after a poll failed
//! or its watch ended ([`UpdateScope::Failed`]). While a watch runs, the crate `membership`
//! (`DiscoveryWatch`) decides when to poll.
//!
//! Rule: a poll is scheduled only if the endpoint list is not pushed. The time of the first poll is drawn
//! from a span that grows with the number of balancers, because discovery takes longer to answer many
//! balancers that start together. A poll that failed is repeated after a random time of at most the backoff,
//! which doubles from a fifth of `max_poll_interval` up to all of it. A list that is not from the cache
//! resets the backoff to 0, so a watch that ends afterwards is started again at once. Times are in
//! microseconds.

use fastrand::Rng;

use crate::time::Micros;
use crate::{Settings, UpdateScope};

/// The number of balancers of a tier that discovery is usually built for; a smaller tier counts as this many.
const TYPICAL_BALANCERS: i64 = 8;
/// The span of the first polls of [`TYPICAL_BALANCERS`] balancers is the poll interval divided by this.
const FIRST_POLL_DIVISOR: i64 = 8;

/// Whether a poll is needed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollState {
    /// No poll is started, because the list is pushed.
    Pushed,
    /// A poll is started at the next poll timer.
    Waiting,
    /// No poll is started, because one is under way, or the watch that it started has not ended.
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
    /// Creates the state before the first poll.
    pub fn new(settings: &Settings) -> Self {
        DiscoveryPoller {
            state: if settings.poll_discovery { PollState::Waiting } else { PollState::Pushed },
            max_poll_interval: settings.max_poll_interval,
            balancers: i64::from(settings.balancers),
            backoff: 0,
        }
    }

    /// The time of the first poll; `None` if the list is pushed.
    pub fn first_poll_at(&self, now: Micros, rng: &mut Rng) -> Option<Micros> {
        if self.state == PollState::Pushed {
            return None;
        }
        let tier_span = self.balancers.max(TYPICAL_BALANCERS) * self.max_poll_interval
            / (FIRST_POLL_DIVISOR * TYPICAL_BALANCERS);
        let span = tier_span.min(self.max_poll_interval * 3 / 4).max(1);
        Some(now + rng.i64(0..span))
    }

    /// Records that a poll failed or its watch ended, and returns the time of the next poll; `None` if the
    /// list is pushed.
    pub fn on_failure(&mut self, now: Micros, rng: &mut Rng) -> Option<Micros> {
        if self.state == PollState::Pushed {
            return None;
        }
        self.state = PollState::Waiting;
        Some(now + rng.i64(1..=self.backoff.max(1)))
    }

    /// Records that an endpoint list arrived, which resets the backoff. A list from the cache does not,
    /// because it does not show that discovery answers.
    pub fn on_update(&mut self, scope: UpdateScope) {
        if scope != UpdateScope::Cached {
            self.backoff = 0;
        }
    }

    /// Records that the poll timer is due; returns whether to poll now.
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
