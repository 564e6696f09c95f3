//! Admission: decides whether a request is admitted or shed at once.
//!
//! Rule (cursor table of Villen-Altamirano, ITC 11, section 3.3): each control period, the load of the pool
//! moves a cursor over a table of thresholds on this balancer's requests in flight, one per priority level.
//! The table holds them as fractions of a base threshold. A request is shed if the requests in flight have
//! reached the threshold of its priority level. Requests that cannot meet their deadline are shed as well,
//! and so are those that would take the last connections of clients that may have no other balancer to
//! connect to. `docs/design.md` lists the differences from the paper.

mod cursor_table;
mod load;
mod priority;
mod reserved_connections;
mod threshold;

pub(crate) use cursor_table::CursorTable;
pub(crate) use load::LoadEstimator;
pub(crate) use priority::PriorityLevel;
pub(crate) use threshold::{BaseThreshold, INITIAL_THRESHOLD_PER_ENDPOINT};

use load::{LoadReading, LoadSource};
use priority::PriorityLevels;
use reserved_connections::ReservedConnections;

use crate::index::ClassIndex;
use crate::selection::latency::LatencyModel;
use crate::time::Micros;
use crate::{NewRequest, Settings};

/// A request is shed if its time left is less than this fraction of the typical latency of its class.
const MIN_TIME_LEFT: f64 = 0.5;
/// The fraction of the base threshold in flight below which the cursor steps left although the load is above
/// 1, when the load is read from answers. Answers arrive late and may result from an overload that is over.
const DRAINED_FRACTION_ANSWERS: f64 = 0.25;
/// The fraction of the base threshold in flight below which the cursor steps left although the load is above
/// 1, when the load is read from load reports. Reports arrive later than answers, are noisier, and include
/// the requests of other balancers.
const DRAINED_FRACTION_REPORTS: f64 = 0.45;

/// The decision on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// The request is admitted.
    Admit,
    /// The request is shed at once.
    Shed {
        /// The Retry-After for its client, in microseconds; if 0, none is sent.
        retry_after: Micros,
    },
}

/// The requests in flight that are compared with the threshold.
#[derive(Clone, Copy)]
pub(crate) struct Occupancy {
    /// This balancer's attempts in flight.
    pub in_flight: u32,
    /// Attempts in flight of the peers that gossip about the same endpoints.
    pub peers_in_flight: u32,
    /// The number of peers that gossip about the same endpoints.
    pub peers: usize,
}

/// The inputs of one control period, beside those recorded in [`LoadEstimator`].
pub(crate) struct PeriodInputs {
    /// The utilisation that endpoints reported recently, one value per endpoint.
    pub reported_utilisation: Vec<f64>,
    /// This balancer's attempts in flight.
    pub in_flight: u32,
    /// Whether peers gossip about the same endpoints.
    pub has_gossip_peers: bool,
}

/// The start or the end of shedding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SheddingChange {
    /// The cursor has left the slots at rest.
    Begins,
    /// The cursor has returned to the slots at rest.
    Ends,
}

/// The state of admission.
pub(crate) struct Admission {
    /// The thresholds of the priority levels, as fractions of the base threshold.
    pub table: CursorTable,
    /// The base threshold.
    pub threshold: BaseThreshold,
    /// The load that moves the cursor.
    pub load: LoadEstimator,
    levels: PriorityLevels,
    reserved: ReservedConnections,
    max_retry_after: Micros,
    /// Whether rejections have a Retry-After. Only the front tier sends one.
    sends_retry_after: bool,
}

impl Admission {
    /// Creates the state at the start: the cursor is at rest and there is no threshold yet.
    pub fn new(settings: &Settings) -> Self {
        let levels = PriorityLevels::new(settings);
        Admission {
            table: CursorTable::new(levels.count()),
            threshold: BaseThreshold::new(settings.balancers),
            load: LoadEstimator::new(settings),
            levels,
            reserved: ReservedConnections::new(settings),
            max_retry_after: settings.max_retry_after,
            sends_retry_after: settings.send_retry_after && settings.tier == 0,
        }
    }

    /// The priority level of a request that arrives at `now`.
    pub fn priority_level(&mut self, now: Micros, request: &NewRequest) -> PriorityLevel {
        self.levels.level(now, request)
    }

    /// Decides whether a request is admitted.
    pub fn decide(
        &self,
        request: &NewRequest,
        level: PriorityLevel,
        latency: &LatencyModel,
        occupancy: Occupancy,
    ) -> AdmissionDecision {
        let typical_latency = latency.typical(ClassIndex(request.class));
        if self.reserved.must_stay_free(request.downstream_connections, self.levels.levels_above(level)) {
            // A connection will probably be free after this time.
            return AdmissionDecision::Shed { retry_after: typical_latency as Micros };
        }
        let cannot_meet_deadline = (request.time_left as f64) < MIN_TIME_LEFT * typical_latency;
        if cannot_meet_deadline || self.is_at_threshold(level, occupancy) {
            return AdmissionDecision::Shed { retry_after: 0 };
        }
        AdmissionDecision::Admit
    }

    fn is_at_threshold(&self, level: PriorityLevel, occupancy: Occupancy) -> bool {
        let check = self.threshold.check(occupancy, self.table.is_shedding());
        f64::from(check.in_flight) >= check.threshold * self.table.fraction(level)
    }

    /// The Retry-After to send with a rejection, in microseconds; if 0, none is sent. While shedding it is
    /// the maximum, because the overload may have passed by then.
    pub fn retry_after(&self, proposed: Micros) -> Micros {
        let wait = if self.table.is_shedding() { self.max_retry_after } else { proposed };
        if self.sends_retry_after {
            wait.min(self.max_retry_after)
        } else {
            0
        }
    }

    /// Moves the cursor at most one slot, depending on the load of the control period that ends. To be called
    /// after the base threshold has been updated.
    pub fn move_cursor(&mut self, mut inputs: PeriodInputs) -> Option<SheddingChange> {
        let reading = self.load.read(&mut inputs.reported_utilisation, self.table.is_at_start());
        let was_shedding = self.table.is_shedding();
        match reading {
            Some(reading) if reading.load > 1.0 && !self.is_drained(&reading, &inputs) => {
                self.table.step_right();
            }
            // Samples arrive late, so the cursor holds while attempts are in flight. If no sample arrives for
            // too long it steps left, because a cursor position that sheds everything produces no samples.
            None if self.load.may_hold() && inputs.in_flight > 0 => {}
            _ => self.table.step_left(),
        }
        self.load.start_period();
        match (was_shedding, self.table.is_shedding()) {
            (false, true) => Some(SheddingChange::Begins),
            (true, false) => Some(SheddingChange::Ends),
            _ => None,
        }
    }

    /// Whether so little is in flight that the load must be outdated. Not applied if peers gossip, because
    /// the load then includes requests of other balancers.
    fn is_drained(&self, reading: &LoadReading, inputs: &PeriodInputs) -> bool {
        let drained_fraction = match reading.source {
            LoadSource::Answers => DRAINED_FRACTION_ANSWERS,
            LoadSource::Reports => DRAINED_FRACTION_REPORTS,
        };
        !inputs.has_gossip_peers && f64::from(inputs.in_flight) < drained_fraction * self.threshold.value()
    }
}
