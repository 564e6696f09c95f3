//! The parameters of a simulated fleet and of its faults. All times are in microseconds of virtual time.

use decide::Micros;

use crate::SECOND;

/// A rolling release: the oldest endpoint is replaced at every interval.
#[derive(Clone, Copy, Debug)]
pub struct Release {
    /// When the first endpoint is replaced.
    pub start: Micros,
    /// The time between replacements.
    pub interval: Micros,
    /// The time from which no endpoint is replaced.
    pub end: Micros,
}

/// An outage of discovery. Open watches fail at its start, and new calls fail after the longest time in the
/// queue.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The start, inclusive.
    pub start: Micros,
    /// The end, exclusive.
    pub end: Micros,
}

impl Outage {
    /// Returns whether discovery is down at this time.
    pub(crate) fn contains(&self, at: Micros) -> bool {
        (self.start..self.end).contains(&at)
    }
}

/// A simultaneous kill of several proxies, which later restart at the same time, each with the list that it
/// had.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// When the proxies are killed.
    pub at: Micros,
    /// The killed proxies as a fraction of all proxies.
    pub fraction: f64,
    /// The time from the kill to the restart.
    pub downtime: Micros,
}

/// A fleet and its faults.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The number of proxies. Each request goes to a random one.
    pub proxies: usize,
    /// The number of endpoints, with two cores each.
    pub endpoints: usize,
    /// The work of requests as a fraction of the capacity of warm endpoints.
    pub load: f64,
    /// The time for which clients send requests.
    pub duration: Micros,
    /// A rolling release of the endpoints.
    pub release: Option<Release>,
    /// The capacity of an endpoint at its start, as a fraction of its capacity when warm.
    pub slow_start_min_capacity: f64,
    /// The time from the start of an endpoint until it is warm, in the settings of the proxies.
    pub announced_slow_start: Micros,
    /// The actual time from the start of an endpoint until it is warm, at most the announced one.
    pub actual_slow_start: Micros,
    /// The time in which discovery can serve one call of each proxy, or eight calls if there are fewer
    /// proxies.
    pub discovery_round: Micros,
    /// The fraction of discovery's responses that are truncated.
    pub truncated_fraction: f64,
    /// The fraction of calls to which discovery does not respond.
    pub silent_fraction: f64,
    /// An outage of discovery.
    pub outage: Option<Outage>,
    /// A kill and restart of some proxies.
    pub restart: Option<Restart>,
    /// Whether clients shed requests: they do not send a fraction of their requests that equals the fraction
    /// that was recently rejected or failed.
    pub clients_shed: bool,
    /// The seed of all random draws.
    pub seed: u64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            proxies: 10,
            endpoints: 40,
            load: 0.6,
            duration: 60 * SECOND,
            release: None,
            slow_start_min_capacity: 0.2,
            announced_slow_start: 15 * SECOND,
            actual_slow_start: 15 * SECOND,
            discovery_round: 4 * SECOND,
            truncated_fraction: 0.0,
            silent_fraction: 0.0,
            outage: None,
            restart: None,
            clients_shed: false,
            seed: 1,
        }
    }
}
