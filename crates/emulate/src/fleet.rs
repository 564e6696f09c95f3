//! The fleet that is simulated, and its faults. All times are in microseconds of virtual time.

use decide::Micros;

use crate::SECOND;

/// A rolling release: the oldest endpoint is replaced at every interval.
#[derive(Clone, Copy, Debug)]
pub struct Release {
    /// When the first endpoint is replaced.
    pub start: Micros,
    /// The time between replacements.
    pub interval: Micros,
    /// No endpoint is replaced from then on.
    pub end: Micros,
}

/// An outage of discovery: calls end with errors after their time in the queue, watches at once.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Its first moment.
    pub start: Micros,
    /// The moment after its last.
    pub end: Micros,
}

impl Outage {
    /// Whether discovery is down at this moment.
    pub(crate) fn contains(&self, at: Micros) -> bool {
        (self.start..self.end).contains(&at)
    }
}

/// Proxies that are killed at once, and start again together with the list that each had.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// When they are killed.
    pub at: Micros,
    /// The fraction of all proxies that is killed.
    pub fraction: f64,
    /// They start again this much later.
    pub downtime: Micros,
}

/// A fleet and its faults.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Proxies; each request goes to one at random.
    pub proxies: usize,
    /// Endpoints, of two cores each.
    pub endpoints: usize,
    /// The work of requests as a fraction of the capacity of warm endpoints.
    pub load: f64,
    /// For how long requests come.
    pub duration: Micros,
    /// A rolling release.
    pub release: Option<Release>,
    /// The capacity of an endpoint that starts, as a fraction of its capacity when warm.
    pub slow_start_min_capacity: f64,
    /// The time until an endpoint is warm, as the proxies know it.
    pub announced_slow_start: Micros,
    /// The time until an endpoint is warm in truth, at most the announced one.
    pub actual_slow_start: Micros,
    /// In this time discovery can serve one call of every proxy, and of eight where there are fewer.
    pub discovery_round: Micros,
    /// The fraction of discovery's responses that are truncated.
    pub truncated_fraction: f64,
    /// The fraction of calls to which discovery does not respond.
    pub silent_fraction: f64,
    /// An outage of discovery.
    pub outage: Option<Outage>,
    /// Proxies that are killed and start again.
    pub restart: Option<Restart>,
    /// Clients shed requests: they leave out the fraction that was lately rejected or failed.
    pub clients_shed: bool,
    /// Seeds all random draws.
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
