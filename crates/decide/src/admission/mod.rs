//! Admission: whether a request is let in or shed at once.
//!
//! Rule (cursor table of Villen-Altamirano, ITC 11, section 3.3): each period the pool's load moves a cursor
//! over a table of thresholds on this balancer's requests in flight. A request whose priority level has met
//! its threshold is shed. Requests that cannot meet their deadline, and those that would take the last
//! connections of callers with nowhere else to go, are shed as well. `docs/design.md` lists what departs
//! from the paper.

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

/// A request with less time left than this part of what its class typically takes is shed.
const MIN_TIME_LEFT: f64 = 0.5;
/// Below this part of the base threshold in flight the cursor steps left, where load is read from answers:
/// they come late, and may be of a crowd long gone.
const DRAINED_BY_ANSWERS: f64 = 0.25;
/// And where it is read from load reports, which are later, noisier, and of other balancers' requests too.
const DRAINED_BY_REPORTS: f64 = 0.45;

/// Whether a request is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// Let in.
    Admit,
    /// Shed at once.
    Shed {
        /// The Retry-After for its client, in microseconds; 0 sends none.
        retry_after: Micros,
    },
}

/// What the threshold is compared with.
#[derive(Clone, Copy)]
pub(crate) struct Occupancy {
    /// This balancer's attempts in flight.
    pub in_flight: u32,
    /// Those of the peers that gossip about the same endpoints.
    pub peers_in_flight: u32,
    /// How many such peers there are.
    pub peers: usize,
}

/// What a control period has brought, beside what is recorded in [`LoadEstimator`].
pub(crate) struct PeriodInputs {
    /// Utilisation that endpoints reported recently, one value for each.
    pub reported_utilisation: Vec<f64>,
    /// This balancer's attempts in flight.
    pub in_flight: u32,
    /// Do peers gossip about the same endpoints?
    pub has_gossip_peers: bool,
}

/// Shedding began or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SheddingChange {
    /// The cursor has left the slots at rest.
    Begins,
    /// It is back there.
    Ends,
}

/// The parts of admission.
pub(crate) struct Admission {
    /// The thresholds.
    pub table: CursorTable,
    /// What the thresholds are parts of.
    pub threshold: BaseThreshold,
    /// The load that moves the cursor.
    pub load: LoadEstimator,
    levels: PriorityLevels,
    reserved: ReservedConnections,
    max_retry_after: Micros,
    advises_retry_after: bool,
}

impl Admission {
    /// Admission at the start: nothing is shed.
    pub fn new(settings: &Settings) -> Self {
        let levels = PriorityLevels::new(settings);
        Admission {
            table: CursorTable::new(levels.count()),
            threshold: BaseThreshold::new(settings.balancers),
            load: LoadEstimator::new(settings),
            levels,
            reserved: ReservedConnections::new(settings),
            max_retry_after: settings.max_retry_after,
            advises_retry_after: settings.send_retry_after && settings.tier == 0,
        }
    }

    /// The priority level of a request that lands now.
    pub fn priority_level(&mut self, now: Micros, request: &NewRequest) -> PriorityLevel {
        self.levels.level(now, request)
    }

    /// Whether to let a request in.
    pub fn decide(
        &self,
        request: &NewRequest,
        level: PriorityLevel,
        latency: &LatencyModel,
        occupancy: Occupancy,
    ) -> AdmissionDecision {
        let typical_latency = latency.typical(ClassIndex(request.class));
        if self.reserved.must_stay_free(request.downstream_connections, self.levels.levels_above(level)) {
            // A connection will be free by then.
            return AdmissionDecision::Shed { retry_after: typical_latency as Micros };
        }
        let cannot_meet_deadline = (request.time_left as f64) < MIN_TIME_LEFT * typical_latency;
        if cannot_meet_deadline || self.has_met_threshold(level, occupancy) {
            return AdmissionDecision::Shed { retry_after: 0 };
        }
        AdmissionDecision::Admit
    }

    fn has_met_threshold(&self, level: PriorityLevel, occupancy: Occupancy) -> bool {
        let check = self.threshold.check(occupancy, self.table.is_shedding());
        f64::from(check.in_flight) >= check.threshold * self.table.part(level)
    }

    /// The Retry-After to send with a rejection, in microseconds; 0 sends none. While shedding, clients are to
    /// come back when the overload may have passed.
    pub fn retry_after(&self, proposed: Micros) -> Micros {
        let wait = if self.table.is_shedding() { self.max_retry_after } else { proposed };
        if self.advises_retry_after {
            wait.min(self.max_retry_after)
        } else {
            0
        }
    }

    /// Moves the cursor by the load of the period that ends, once the base threshold has been updated.
    pub fn move_cursor(&mut self, mut inputs: PeriodInputs) -> Option<SheddingChange> {
        let reading = self.load.read(&mut inputs.reported_utilisation, self.table.is_at_start());
        let was_shedding = self.table.is_shedding();
        match reading {
            Some(reading) if reading.load > 1.0 && !self.is_drained(&reading, &inputs) => {
                self.table.step_right();
            }
            // Samples come late: hold. Where they stay away step left, as a cursor that sheds all gets none.
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

    /// Is so little in flight that the load read cannot be of now? A group that gossips reads the load of
    /// more than its own requests.
    fn is_drained(&self, reading: &LoadReading, inputs: &PeriodInputs) -> bool {
        let drained_part = match reading.source {
            LoadSource::Answers => DRAINED_BY_ANSWERS,
            LoadSource::Reports => DRAINED_BY_REPORTS,
        };
        !inputs.has_gossip_peers && f64::from(inputs.in_flight) < drained_part * self.threshold.value()
    }
}
