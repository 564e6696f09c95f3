//! The state machine of a shutdown.

use crate::policy::KILL_DELAY;
use crate::{ConnectionAction, ConnectionState, Micros, ShutdownPolicy, StreamedResponse, MILLISECOND};

/// The minimum time for a request, however late it is received. It is enough to reject the request with a
/// response.
const MIN_REQUEST_TIME: Micros = 50 * MILLISECOND;
/// The time after the end of acceptance for which the rest of a partial request is awaited if there is no
/// kill deadline.
const PARTIAL_REQUEST_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// How late the kill may come. Responses that may never end do not keep the process for longer.
const KILL_LATENESS: Micros = 300 * MILLISECOND;
/// The fraction of the recorded lateness that remains at the next observation.
const LATENESS_DECAY: f64 = 0.95;

/// The shutdown of one listener.
#[derive(Clone, Debug)]
pub struct Shutdown {
    policy: ShutdownPolicy,
    began_at: Option<Micros>,
    /// The maximum lateness of the process; it decays with each observation.
    lateness: Micros,
}

impl Shutdown {
    /// Creates a shutdown that has not begun.
    #[must_use]
    pub fn new(policy: ShutdownPolicy) -> Shutdown {
        Shutdown { policy, began_at: None, lateness: 0 }
    }

    /// Records the timeout of a client, in microseconds. With a kill deadline it has no effect, because the
    /// time of the kill then follows from [`ShutdownPolicy::longest_client_timeout`] alone.
    pub fn observe_client_timeout(&mut self, timeout: Micros) {
        if !self.policy.has_kill_deadline {
            self.policy.longest_client_timeout = self.policy.longest_client_timeout.max(timeout);
        }
    }

    /// Records by how much the process was late with a due event, in microseconds.
    pub fn observe_lateness(&mut self, lateness: Micros) {
        self.lateness = lateness.max((self.lateness as f64 * LATENESS_DECAY) as Micros);
    }

    /// Begins the shutdown. A second call has no effect.
    pub fn begin(&mut self, now: Micros) {
        self.began_at.get_or_insert(now);
    }

    /// Returns whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.began_at.is_some()
    }

    /// Returns the time from the beginning of the shutdown until requests are no longer accepted, in
    /// microseconds.
    #[must_use]
    pub fn accept_time(&self) -> Micros {
        self.policy.accept_time()
    }

    /// Returns when requests are no longer accepted. `None` before the shutdown begins.
    #[must_use]
    pub fn accepts_until(&self) -> Option<Micros> {
        Some(self.began_at? + self.accept_time())
    }

    /// Returns when open requests fail and partial ones are dropped. Without a kill deadline only partial
    /// requests are affected. `None` before the shutdown begins.
    #[must_use]
    pub fn responses_due_at(&self) -> Option<Micros> {
        let began_at = self.began_at?;
        Some(if self.policy.has_kill_deadline {
            // With short client timeouts, the response time ends before acceptance does. Responses are not due
            // before the end of acceptance.
            began_at + self.policy.response_time(self.lateness).max(self.accept_time())
        } else {
            began_at + self.accept_time() + PARTIAL_REQUEST_TIMEOUT
        })
    }

    /// Returns whether new connections are accepted.
    #[must_use]
    pub fn accepts_connections(&self, now: Micros) -> bool {
        self.accepts_until().is_none_or(|until| now < until && !self.policy.shares_listener)
    }

    /// Returns whether open requests must end now. Always false without a kill deadline.
    #[must_use]
    pub fn is_time_up(&self, now: Micros) -> bool {
        self.policy.has_kill_deadline && self.responses_due_at().is_some_and(|due_at| due_at <= now)
    }

    /// Returns whether a streamed response must be cut off now. Always false without a kill deadline.
    ///
    /// A request that came within 0.7 s of the beginning is not lost if it is open at the kill, but is lost if this
    /// process ends its response while the endpoint still sends it; one that came later is lost if it is open.
    #[must_use]
    pub fn must_cut_off(&self, now: Micros, response: &StreamedResponse) -> bool {
        let Some(began_at) = self.began_at.filter(|_| self.is_time_up(now)) else { return false };
        let is_past_kill = now >= began_at + self.policy.time_until_kill() + KILL_LATENESS;
        response.is_silent(began_at + KILL_DELAY) || (response.is_length_unknown && is_past_kill)
    }

    /// Returns the time that a request received at `now` may take, given the timeout of its client, in
    /// microseconds.
    #[must_use]
    pub fn request_time(&self, now: Micros, client_timeout: Micros) -> Micros {
        let Some(began_at) = self.began_at else { return client_timeout };
        let remaining = began_at + self.policy.response_time(self.lateness) - now;
        client_timeout.min(remaining.max(MIN_REQUEST_TIME))
    }

    /// Returns the action for a connection.
    #[must_use]
    pub fn connection_action(&self, now: Micros, connection: &ConnectionState) -> ConnectionAction {
        let times = self.accepts_until().zip(self.responses_due_at());
        let Some((accepts_until, responses_due_at)) = times else { return ConnectionAction::Keep };
        if now < accepts_until {
            // Clients should move to the successor at the same address as soon as possible.
            return if self.policy.shares_listener {
                ConnectionAction::CloseAfterResponse
            } else {
                ConnectionAction::Keep
            };
        }
        // A connection is not closed without a response if its request is on its way or partly received.
        let awaits_request = connection.has_partial_request || connection.is_new(now);
        if connection.has_open_request || (awaits_request && now < responses_due_at) {
            ConnectionAction::CloseAfterResponse
        } else {
            ConnectionAction::Close
        }
    }

    /// Returns when the process exits although requests are open: each has had the time of its client by then,
    /// and only the transfer of a body goes on. `None` before the shutdown begins.
    #[must_use]
    pub fn exits_at(&self) -> Option<Micros> {
        Some(self.began_at?.saturating_add(self.policy.exit_time()))
    }

    /// Returns whether the process may exit, given the number of open connections and the number of those
    /// with an open request. If a request is still open after responses were due, its response is being sent
    /// and cannot be sped up: the process waits until it ends, or until [`Shutdown::exits_at`].
    #[must_use]
    pub fn may_exit(&self, now: Micros, open: usize, with_open_request: usize) -> bool {
        let is_past = |time: Option<Micros>| time.is_some_and(|time| time <= now);
        let accepts_no_more =
            is_past(self.accepts_until()) || (self.policy.shares_listener && self.has_begun());
        let none_left = open == 0 || (with_open_request == 0 && is_past(self.responses_due_at()));
        accepts_no_more && (none_left || is_past(self.exits_at()))
    }
}
