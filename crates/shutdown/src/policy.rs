//! The policy of a shutdown, and the times that follow from it.

use crate::{Micros, MILLISECOND};

/// The minimum time for which connections are accepted: load balancers take up to 400 ms to detect the
/// shutdown.
const MIN_ACCEPT_TIME: Micros = 500 * MILLISECOND;
/// The minimum time between the longest client timeout and the kill.
pub(crate) const KILL_DELAY: Micros = 700 * MILLISECOND;
/// The longest client timeout that delays the kill. Longer timeouts count as this one.
const MAX_COUNTED_CLIENT_TIMEOUT: Micros = 3_000 * MILLISECOND;
/// The time before the kill at which requests are no longer accepted. Most requests are served within it.
const LAST_REQUEST_MARGIN: Micros = 1_200 * MILLISECOND;
/// The time before the kill at which requests are no longer accepted if clients have no other proxy. Requests
/// that cannot be answered in time are rejected at once.
const LAST_REQUEST_MARGIN_NO_OTHER_PROXY: Micros = 500 * MILLISECOND;
/// The maximum time after the signal for which requests are accepted and answered, beside the longest client
/// timeout.
const LAST_RESPONSE_DELAY: Micros = 3_700 * MILLISECOND;
/// The time that the transfer of a body may take after that. It is up to the client, so it has a bound.
const MAX_TRANSFER_TIME: Micros = 60_000 * MILLISECOND;
/// The minimum time between the last responses and the kill. [`LATENESS_FACTOR`] times the lateness of the
/// process applies if it is more.
const MIN_RESPONSE_MARGIN: Micros = 200 * MILLISECOND;
/// The number of times that lateness can occur before a response is sent: the process may receive the signal
/// late, detect the deadline late, and write the response late.
const LATENESS_FACTOR: Micros = 3;
/// The maximum response margin is the time until the kill divided by this.
const MAX_RESPONSE_MARGIN_DIVISOR: Micros = 4;

/// The properties of a shutdown that are fixed before it begins.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPolicy {
    /// The longest time that a client waits for a response, in microseconds.
    pub longest_client_timeout: Micros,
    /// Whether the process is killed soon after the longest client timeout, whatever requests are open. All
    /// responses are then due before the kill.
    pub has_kill_deadline: bool,
    /// Whether clients may have no other proxy during the shutdown, for instance in a tier of one or two.
    pub clients_may_have_no_other_proxy: bool,
    /// Whether another process shares the listening socket and continues to accept connections on it.
    pub shares_listener: bool,
}

impl ShutdownPolicy {
    /// Returns the time from the beginning of the shutdown until the earliest kill.
    pub(crate) fn time_until_kill(&self) -> Micros {
        self.longest_client_timeout.clamp(0, MAX_COUNTED_CLIENT_TIMEOUT) + KILL_DELAY
    }

    /// Returns the time from the beginning of the shutdown until requests are no longer accepted. It is long
    /// because clients often have no other proxy while other proxies of the tier restart too, and because
    /// clients treat a closed port as a failed proxy.
    pub(crate) fn accept_time(&self) -> Micros {
        let margin = if self.clients_may_have_no_other_proxy {
            LAST_REQUEST_MARGIN_NO_OTHER_PROXY
        } else {
            LAST_REQUEST_MARGIN
        };
        MIN_ACCEPT_TIME.max(self.time_until_kill() - margin)
    }

    /// Returns the time from the beginning of the shutdown until the process no longer waits for clients.
    pub(crate) fn exit_time(&self) -> Micros {
        self.longest_client_timeout.max(0).saturating_add(LAST_RESPONSE_DELAY + MAX_TRANSFER_TIME)
    }

    /// Returns the time from the beginning of the shutdown until all accepted requests have a response, given
    /// the lateness of the process.
    pub(crate) fn response_time(&self, lateness: Micros) -> Micros {
        let until_kill = self.time_until_kill();
        let margin = MIN_RESPONSE_MARGIN.max(LATENESS_FACTOR * lateness);
        until_kill - margin.min(until_kill / MAX_RESPONSE_MARGIN_DIVISOR)
    }
}
