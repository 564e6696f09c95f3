//! The state of a shutdown.

use crate::{ConnectionAction, ConnectionState, Micros, ShutdownPolicy, MILLISECOND};

/// A request that comes later still has this long, enough to be rejected with a response.
const MIN_REQUEST_TIME: Micros = 50 * MILLISECOND;
/// A partial request is awaited for this long once nothing more is accepted, where no kill ends that sooner.
const PARTIAL_REQUEST_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// The part of a lateness that is kept at the next observation.
const LATENESS_DECAY: f64 = 0.95;

/// The shutdown of one listener.
#[derive(Clone, Debug)]
pub struct Shutdown {
    policy: ShutdownPolicy,
    began_at: Option<Micros>,
    /// How late the process lately was with what was due, at most.
    lateness: Micros,
}

impl Shutdown {
    /// A shutdown that has not begun.
    #[must_use]
    pub fn new(policy: ShutdownPolicy) -> Shutdown {
        Shutdown { policy, began_at: None, lateness: 0 }
    }

    /// A client waits for this long, in microseconds. Where the platform says when it kills, that does not move the kill.
    pub fn observe_client_timeout(&mut self, timeout: Micros) {
        if !self.policy.has_kill_deadline {
            self.policy.longest_client_timeout = self.policy.longest_client_timeout.max(timeout);
        }
    }

    /// The process was this late with what was due, in microseconds.
    pub fn observe_lateness(&mut self, lateness: Micros) {
        self.lateness = lateness.max((self.lateness as f64 * LATENESS_DECAY) as Micros);
    }

    /// Begins the shutdown. Beginning it again changes nothing.
    pub fn begin(&mut self, now: Micros) {
        self.began_at.get_or_insert(now);
    }

    /// Whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.began_at.is_some()
    }

    /// From the begin of the shutdown until no more requests are accepted, in microseconds.
    #[must_use]
    pub fn accept_time(&self) -> Micros {
        self.policy.accept_time()
    }

    /// When no more requests are accepted, once the shutdown has begun.
    #[must_use]
    pub fn accepts_until(&self) -> Option<Micros> {
        Some(self.began_at? + self.accept_time())
    }

    /// When open requests fail, and partial ones are given up. Only the latter where nothing kills the process.
    #[must_use]
    pub fn responses_due_at(&self) -> Option<Micros> {
        let began_at = self.began_at?;
        Some(if self.policy.has_kill_deadline {
            // With short client timeouts, connections are still accepted when the last responses are due.
            began_at + self.policy.response_time(self.lateness).max(self.accept_time())
        } else {
            began_at + self.accept_time() + PARTIAL_REQUEST_TIMEOUT
        })
    }

    /// Whether new connections are accepted.
    #[must_use]
    pub fn accepts_connections(&self, now: Micros) -> bool {
        self.accepts_until().is_none_or(|until| now < until && !self.policy.shares_listener)
    }

    /// Whether the time of open requests is up.
    #[must_use]
    pub fn is_time_up(&self, now: Micros) -> bool {
        self.policy.has_kill_deadline && self.responses_due_at().is_some_and(|due_at| due_at <= now)
    }

    /// The time that a request may take which is received now, and whose client waits for this long, in microseconds.
    #[must_use]
    pub fn request_time(&self, now: Micros, client_timeout: Micros) -> Micros {
        let Some(began_at) = self.began_at else { return client_timeout };
        let remaining = began_at + self.policy.response_time(self.lateness) - now;
        client_timeout.min(remaining.max(MIN_REQUEST_TIME))
    }

    /// What to do with a connection.
    #[must_use]
    pub fn connection_action(&self, now: Micros, connection: &ConnectionState) -> ConnectionAction {
        let times = self.accepts_until().zip(self.responses_due_at());
        let Some((accepts_until, responses_due_at)) = times else { return ConnectionAction::Keep };
        if now < accepts_until {
            // Clients are to move to a successor at the same address as soon as they can.
            return if self.policy.shares_listener {
                ConnectionAction::CloseAfterResponse
            } else {
                ConnectionAction::Keep
            };
        }
        // A connection whose request is on its way, or partly received, is not closed without a response.
        let awaits_request = connection.has_partial_request || connection.is_new(now);
        if connection.has_open_request || (awaits_request && now < responses_due_at) {
            ConnectionAction::CloseAfterResponse
        } else {
            ConnectionAction::Close
        }
    }

    /// Whether the process may exit with this many connections, of which this many have open requests. A request that is open past
    /// the last responses has one on its way that cannot be sped up: the process waits for its end, or for the kill.
    #[must_use]
    pub fn may_exit(&self, now: Micros, open: usize, with_open_request: usize) -> bool {
        let is_past = |time: Option<Micros>| time.is_some_and(|time| time <= now);
        let accepts_no_more =
            is_past(self.accepts_until()) || (self.policy.shares_listener && self.has_begun());
        let none_left = open == 0 || (with_open_request == 0 && is_past(self.responses_due_at()));
        accepts_no_more && none_left
    }
}
