//! All endpoints that discovery ever listed, with what each part of the decisions knows of them.

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

/// One endpoint.
pub(crate) struct EndpointRecord {
    /// Its entry in the endpoint list.
    pub entry: Endpoint,
    /// This balancer's attempts in flight there.
    pub in_flight: u32,
    /// When this balancer last sent it an attempt.
    pub last_sent_at: Micros,
    /// What peers have in flight there.
    pub peer_load: PeerLoad,
    /// Its latency, by class.
    pub latency: EndpointLatency,
    /// What it last reported of its load.
    pub load_report: LastLoadReport,
    /// Its failures, and whether it is ejected for them.
    pub ejection: Ejection,
    /// What it may get while it warms up.
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

    /// Is it listed as ready?
    pub fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Counts an attempt that is sent now.
    pub fn count_sent(&mut self, now: Micros) {
        self.load_report.count_sent();
        self.last_sent_at = now;
        self.slow_start.spend();
    }

    /// An attempt is in flight from now on; `sent_age` is the balancer's age in microseconds.
    pub fn begin_attempt(&mut self, class: ClassIndex, sent_age: f64) {
        self.in_flight += 1;
        self.latency.begin_attempt(class, sent_age);
    }

    /// An attempt is no longer in flight; `sent_age` is the balancer's age when it began, in microseconds.
    pub fn end_attempt(&mut self, class: ClassIndex, sent_age: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.latency.end_attempt(class, sent_age);
    }

    /// Takes in a new entry. What was learned does not hold for another process than before.
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

/// The endpoints by position and by id. Endpoints are never taken out, so positions stay valid.
#[derive(Default)]
pub(crate) struct EndpointTable {
    records: Vec<EndpointRecord>,
    by_id: BTreeMap<EndpointId, EndpointIndex>,
}

impl EndpointTable {
    /// The position of an endpoint that was listed at some time.
    pub fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(&id).copied()
    }

    /// All positions, by id.
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

    /// Marks all endpoints as removed, ahead of a full list.
    pub fn mark_all_removed(&mut self) {
        for record in &mut self.records {
            record.entry.state = EndpointState::Removed;
        }
    }

    /// Takes in an entry of a list; `classes` is the number of request classes.
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
