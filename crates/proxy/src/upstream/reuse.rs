//! Which idle HTTP connection of an endpoint carries the next request, if any.
//!
//! HTTP/1.1 responses carry no id. Some endpoints send a response twice, the second time some milliseconds
//! late. If the copy arrives while its connection is idle, the connection is closed. If the next request has
//! already been sent, the copy looks like its response, and each later response like the one to the request
//! after its own. A connection therefore rests before it is reused. Does no I/O and reads no clock.

use std::time::Duration;

/// The time that a connection rests after a response before it carries the next request.
const REST_TIME: Duration = Duration::from_millis(12);
/// The time that a connection rests if its endpoint has recently sent a response that nobody waited for.
const REST_TIME_AFTER_STRAY_RESPONSE: Duration = Duration::from_millis(25);
/// The number of resting connections of an endpoint from which on the one that has rested the longest is
/// reused instead of opening another one, so that an endpoint with many short requests keeps few connections.
const MAX_RESTING_CONNECTIONS: usize = 8;
/// The weight of a new value in [`UseTime`] is one divided by this number.
const USE_TIME_SMOOTHING: u32 = 8;

/// What is known of an endpoint and its pool when a connection is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ReuseConditions {
    /// Whether the endpoint has recently sent a response that nobody waited for.
    pub has_stray_responses: bool,
    /// Whether another connection may be opened without closing one.
    pub may_open: bool,
    /// The number of requests that wait for a connection that rests.
    pub waiting_requests: usize,
    /// The time for which a request usually uses a connection.
    pub use_time: Duration,
}

/// The connection for the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// The idle connection with this index.
    Reuse(usize),
    /// One that will have rested after this time.
    WaitFor(Duration),
    /// A new connection.
    Open,
}

/// Chooses from connections with these idle times, the longest idle one first.
pub fn choose(
    idle_times: impl DoubleEndedIterator<Item = Duration> + ExactSizeIterator + Clone,
    conditions: ReuseConditions,
) -> ConnectionChoice {
    let rest_time = if conditions.has_stray_responses { REST_TIME_AFTER_STRAY_RESPONSE } else { REST_TIME };
    if let Some(rested) = idle_times.clone().rposition(|idle_time| idle_time >= rest_time) {
        return ConnectionChoice::Reuse(rested);
    }
    // A short wait costs the request less than the handshake of another connection, and the endpoint nothing.
    let max_wait = conditions.use_time.min(REST_TIME);
    let next_idle_time = idle_times.clone().nth(conditions.waiting_requests);
    let next_rested_in = next_idle_time.map(|idle_time| rest_time.saturating_sub(idle_time));
    if let Some(wait) = next_rested_in.filter(|wait| *wait <= max_wait) {
        return ConnectionChoice::WaitFor(wait);
    }
    let resting_count = idle_times.len();
    let may_open = conditions.may_open && resting_count < MAX_RESTING_CONNECTIONS;
    if resting_count == 0 || may_open || conditions.has_stray_responses {
        ConnectionChoice::Open
    } else {
        // The first is the one that has rested the longest.
        ConnectionChoice::Reuse(0)
    }
}

/// The time for which a request uses a connection, smoothed over the last requests of an endpoint. Values
/// above [`REST_TIME`] make no difference and count as twice that.
#[derive(Clone, Copy, Debug)]
pub struct UseTime(Duration);

impl Default for UseTime {
    /// The time of an endpoint that has had no request.
    fn default() -> Self {
        UseTime(REST_TIME)
    }
}

impl UseTime {
    /// The smoothed time.
    pub fn get(self) -> Duration {
        self.0
    }

    /// Includes the time of another request.
    pub fn record(&mut self, time: Duration) {
        let time = time.min(2 * REST_TIME);
        self.0 = (self.0 * (USE_TIME_SMOOTHING - 1) + time) / USE_TIME_SMOOTHING;
    }
}

#[cfg(test)]
mod tests;
