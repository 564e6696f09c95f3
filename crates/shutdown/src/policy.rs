//! What is known of a shutdown before it begins, and the times that follow from it.

use crate::{Micros, MILLISECOND};

/// Connections are accepted for at least this long: load balancers take up to 400 ms to notice the shutdown.
const MIN_ACCEPT_TIME: Micros = 500 * MILLISECOND;
/// The kill follows no sooner than this after the longest client timeout.
const KILL_DELAY: Micros = 700 * MILLISECOND;
/// Longer client timeouts do not delay the kill.
const MAX_COUNTED_CLIENT_TIMEOUT: Micros = 3_000 * MILLISECOND;
/// Requests are accepted until this much before the kill: most responses take less.
const LAST_REQUEST_MARGIN: Micros = 1_200 * MILLISECOND;
/// The same where clients have no other proxy: requests that cannot be answered in time are rejected at once.
const LAST_REQUEST_MARGIN_NO_OTHER_PROXY: Micros = 500 * MILLISECOND;
/// Responses are sent this much before the kill, or [`LATENESS_FACTOR`] times the process's own lateness if that is more.
const MIN_RESPONSE_MARGIN: Micros = 200 * MILLISECOND;
/// The signal may be seen late, the deadline may be seen late, and the response may be written late.
const LATENESS_FACTOR: Micros = 3;
/// The response margin takes at most one in this many parts of the time until the kill.
const MAX_RESPONSE_MARGIN_DIVISOR: Micros = 4;

/// What is known before the shutdown begins.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPolicy {
    /// The longest time that a client waits for a response, in microseconds.
    pub longest_client_timeout: Micros,
    /// The process is killed soon after that time, whatever is open: all responses are due before.
    pub has_kill_deadline: bool,
    /// Clients may have no other proxy meanwhile, as in a tier of one or two.
    pub clients_may_have_no_other_proxy: bool,
    /// Another process has the listening socket as well, and continues to accept on it.
    pub shares_listener: bool,
}

impl ShutdownPolicy {
    /// From the begin of the shutdown until the earliest kill.
    fn time_until_kill(&self) -> Micros {
        self.longest_client_timeout.clamp(0, MAX_COUNTED_CLIENT_TIMEOUT) + KILL_DELAY
    }

    /// From the begin of the shutdown until no more requests are accepted. It is long because clients often have no other proxy
    /// while others of the tier restart too, and because they take a closed port for a failed proxy.
    pub(crate) fn accept_time(&self) -> Micros {
        let margin = if self.clients_may_have_no_other_proxy {
            LAST_REQUEST_MARGIN_NO_OTHER_PROXY
        } else {
            LAST_REQUEST_MARGIN
        };
        MIN_ACCEPT_TIME.max(self.time_until_kill() - margin)
    }

    /// From the begin of the shutdown until all accepted requests have a response, for a process of this lateness.
    pub(crate) fn response_time(&self, lateness: Micros) -> Micros {
        let until_kill = self.time_until_kill();
        let margin = MIN_RESPONSE_MARGIN.max(LATENESS_FACTOR * lateness);
        until_kill - margin.min(until_kill / MAX_RESPONSE_MARGIN_DIVISOR)
    }
}
