//! A simulated endpoint with two cores and a short queue. It is slow after its start, and fails permanently
//! when it is overloaded during that time.

use std::collections::VecDeque;

use decide::Micros;

use crate::Fleet;

/// The number of cores of an endpoint.
pub const CORES: usize = 2;
/// The mean work of a request on one core, in microseconds.
pub const MEAN_WORK: Micros = 100_000;
/// An endpoint in slow start fails when it receives more than this multiple of its capacity within
/// [`OVERLOAD_WINDOW`].
pub const OVERLOAD_MULTIPLE: f64 = 4.0;
/// The window of [`OVERLOAD_MULTIPLE`], in microseconds.
pub const OVERLOAD_WINDOW: Micros = 1_500_000;
/// Slack on top of the overload limit, as a number of mean requests, so that one large request is not an
/// overload.
const OVERLOAD_SLACK: f64 = 3.0;
/// The number of requests that may wait for a core; further requests are rejected.
const QUEUE_LENGTH: usize = 12;
/// The window in which the requests of a burst are counted, in microseconds.
const BURST_WINDOW: Micros = 100_000;

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Service {
    Rejected,
    /// The response is sent at this time.
    Completed(Micros),
    /// There is no response.
    Hung,
}

/// A request that was received during slow start.
struct ReceivedWork {
    at: Micros,
    work: Micros,
}

/// The state of a simulated endpoint.
pub struct SimulatedEndpoint {
    pub is_gone: bool,
    /// When the endpoint started. `None` if it was warm before the run.
    pub started_at: Option<Micros>,
    /// Whether the endpoint has failed under overload.
    pub has_failed: bool,
    /// The maximum number of requests within [`BURST_WINDOW`].
    pub max_burst: u64,
    /// The time from which each core is free.
    free_at: [Micros; CORES],
    /// The times at which the responses to open requests are sent.
    completions: VecDeque<Micros>,
    slow_start_work: VecDeque<ReceivedWork>,
    recent_arrivals: VecDeque<Micros>,
}

impl SimulatedEndpoint {
    /// Creates an endpoint that started at this time, or is warm if it is `None`.
    pub fn new(started_at: Option<Micros>) -> SimulatedEndpoint {
        SimulatedEndpoint {
            is_gone: false,
            started_at,
            has_failed: false,
            max_burst: 0,
            free_at: [Micros::MIN; CORES],
            completions: VecDeque::new(),
            slow_start_work: VecDeque::new(),
            recent_arrivals: VecDeque::new(),
        }
    }

    /// Returns the capacity as a fraction of the capacity when warm.
    fn capacity(&self, fleet: &Fleet, now: Micros) -> f64 {
        let slow_start = fleet.actual_slow_start.max(1) as f64;
        let progress = self.started_at.map_or(1.0, |at| (now - at) as f64 / slow_start);
        fleet.slow_start_min_capacity + (1.0 - fleet.slow_start_min_capacity) * progress.min(1.0)
    }

    /// Receives a request that takes this much time on one warm core.
    pub fn receive(&mut self, fleet: &Fleet, now: Micros, work: Micros) -> Service {
        self.count_burst(now);
        let capacity = self.capacity(fleet, now);
        if capacity < 1.0 {
            self.check_overload(now, work, capacity);
        }
        if self.has_failed {
            return Service::Hung;
        }
        self.completions.retain(|completed_at| *completed_at > now);
        if self.completions.len() >= CORES + QUEUE_LENGTH {
            return Service::Rejected;
        }
        let core = usize::from(self.free_at[1] < self.free_at[0]);
        let completed_at = self.free_at[core].max(now) + (work as f64 / capacity) as Micros;
        self.free_at[core] = completed_at;
        self.completions.push_back(completed_at);
        Service::Completed(completed_at)
    }

    fn count_burst(&mut self, now: Micros) {
        self.recent_arrivals.push_back(now);
        while self.recent_arrivals.front().is_some_and(|at| *at <= now - BURST_WINDOW) {
            self.recent_arrivals.pop_front();
        }
        self.max_burst = self.max_burst.max(self.recent_arrivals.len() as u64);
    }

    fn check_overload(&mut self, now: Micros, work: Micros, capacity: f64) {
        self.slow_start_work.push_back(ReceivedWork { at: now, work });
        while self.slow_start_work.front().is_some_and(|received| received.at <= now - OVERLOAD_WINDOW) {
            self.slow_start_work.pop_front();
        }
        let received_work: Micros = self.slow_start_work.iter().map(|received| received.work).sum();
        let limit = OVERLOAD_MULTIPLE * capacity * CORES as f64 * OVERLOAD_WINDOW as f64
            + OVERLOAD_SLACK * MEAN_WORK as f64;
        self.has_failed |= received_work as f64 > limit;
    }
}
