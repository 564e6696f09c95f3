//! All endpoints that discovery ever listed, with the state that each module keeps for them.

use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

use crate::gossip::PeerLoad;
use crate::index::{ClassIndex, EndpointIndex};
use crate::load_report::LastLoadReport;
use crate::selection::latency::EndpointLatency;
use crate::selection::outlier::Ejection;
use crate::slow_start::SlowStartBudget;
use crate::time::{Micros, DISTANT_PAST, TIME_LIMIT};
use crate::{Endpoint, EndpointId, EndpointState};

/// One endpoint with its state.
pub(crate) struct EndpointRecord {
    /// The entry of the endpoint in the endpoint list.
    pub entry: Endpoint,
    /// The number of attempts of this balancer in flight at the endpoint.
    pub in_flight: u32,
    /// The time at which this balancer last sent an attempt to the endpoint.
    pub last_sent_at: Micros,
    /// The attempts in flight of peers at the endpoint.
    pub peer_load: PeerLoad,
    /// The latency of the endpoint, by class.
    pub latency: EndpointLatency,
    /// The last load report of the endpoint.
    pub load_report: LastLoadReport,
    /// The failures of the endpoint and the end of its ejection.
    pub ejection: Ejection,
    /// The slow start budget of the endpoint.
    pub slow_start: SlowStartBudget,
}

impl EndpointRecord {
    fn new(entry: Endpoint, latency: EndpointLatency) -> Self {
        EndpointRecord {
            entry,
            in_flight: 0,
            last_sent_at: DISTANT_PAST,
            peer_load: PeerLoad::default(),
            latency,
            load_report: LastLoadReport::default(),
            ejection: Ejection::default(),
            slow_start: SlowStartBudget::default(),
        }
    }

    /// Whether the endpoint is listed as ready.
    pub fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Counts an attempt that is sent at `now`.
    pub fn count_sent(&mut self, now: Micros) {
        self.load_report.count_sent();
        self.last_sent_at = now;
        self.slow_start.spend();
    }

    /// Counts an attempt as in flight; `balancer_age` is the age of the balancer in microseconds.
    pub fn begin_attempt(&mut self, class: ClassIndex, balancer_age: f64) {
        self.in_flight += 1;
        self.latency.begin_attempt(class, balancer_age);
    }

    /// Removes an attempt from those in flight; `age_at_start` is the value that was passed to
    /// [`EndpointRecord::begin_attempt`].
    pub fn end_attempt(&mut self, class: ClassIndex, age_at_start: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.latency.end_attempt(class, age_at_start);
    }

    /// Replaces the entry. If the endpoint has a new process, all its state is reset except this balancer's
    /// attempts in flight, because the state does not apply to the new process.
    fn update(&mut self, entry: Endpoint) {
        let is_restarted = entry.up_since.is_some() && self.entry.up_since != entry.up_since;
        if is_restarted {
            let in_flight = self.in_flight;
            let mut latency = std::mem::take(&mut self.latency);
            latency.forget_samples();
            *self = EndpointRecord::new(entry, latency);
            self.in_flight = in_flight;
        } else {
            self.entry = entry;
        }
    }
}

/// The endpoints by position and by id. Endpoints are never removed from the table, so positions stay valid.
#[derive(Default)]
pub(crate) struct EndpointTable {
    records: Vec<EndpointRecord>,
    by_id: BTreeMap<EndpointId, EndpointIndex>,
}

impl EndpointTable {
    /// The position of an endpoint; `None` if it was never listed.
    pub fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(&id).copied()
    }

    /// All positions, in the order of the endpoint ids.
    pub fn indexes_by_id(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.by_id.values().copied()
    }

    /// All positions, in the order in which the endpoints were first listed.
    pub fn indexes(&self) -> impl Iterator<Item = EndpointIndex> + use<> {
        (0..self.records.len()).map(EndpointIndex)
    }

    /// All endpoints, in the order in which they were first listed.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.iter()
    }

    /// Marks all endpoints as removed, before a full list is applied.
    pub fn mark_all_removed(&mut self) {
        for record in &mut self.records {
            record.entry.state = EndpointState::Removed;
        }
    }

    /// Applies an entry of an endpoint list; `classes` is the number of request classes.
    pub fn update(&mut self, now: Micros, listed: &Endpoint, classes: usize) {
        let mut entry = listed.clone();
        entry.up_since = entry.up_since.map(|time| time.clamp(-TIME_LIMIT, now));
        match self.find(entry.id) {
            Some(index) => self[index].update(entry),
            None => {
                self.by_id.insert(entry.id, EndpointIndex(self.records.len()));
                self.records.push(EndpointRecord::new(entry, EndpointLatency::new(classes)));
            }
        }
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = EndpointRecord;

    fn index(&self, index: EndpointIndex) -> &EndpointRecord {
        &self.records[index.0]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut EndpointRecord {
        &mut self.records[index.0]
    }
}
