//! The score by which candidates are ranked: relative latency times queue, times factors for or against an
//! endpoint. The lowest score wins.
//!
//! Factors: up to a tenth at random, so that balancers with equal measurements do not all choose the same
//! endpoint; the zone; the capacity of a warming endpoint; a warm-up request that is due, which lowers the
//! score; an endpoint outside the subset, because its queue consists mostly of other balancers' requests;
//! ejection, so that an ejected endpoint is a last resort; and an earlier attempt of the same request.

use fastrand::Rng;

use crate::attempts::PendingRequest;
use crate::endpoint_table::EndpointTable;
use crate::index::{EndpointIndex, ZoneIndex};
use crate::retry::RetryPolicy;
use crate::slow_start::{SlowStart, SlowStartPool};
use crate::throughput::Throughput;
use crate::time::{Micros, ObservationWindow};

use super::candidates::{Candidates, ReadyEndpoints};
use super::latency::LatencyModel;
use super::locality::Locality;
use super::outlier;

/// The highest random increase of a score, as a fraction of it.
const JITTER: f64 = 0.1;
/// The factor of an endpoint outside the subset.
const OUTSIDE_SUBSET_FACTOR: f64 = 2.0;
/// The divisor of an endpoint that is due for a warm-up request.
const WARMUP_DIVISOR: f64 = 1e3;
/// The factor of an ejected endpoint.
const EJECTED_FACTOR: f64 = 1e6;
/// The factor of an endpoint that had an attempt of the same request.
const REPEATED_FACTOR: f64 = 1e3;
/// The time constant by which a load report loses its weight, in control periods.
const REPORT_LIFETIME_PERIODS: f64 = 4.0;

/// The endpoint selected for an attempt.
pub(crate) struct Selected {
    /// The position of the endpoint in the table.
    pub endpoint: EndpointIndex,
    /// Whether the request is to warm up the endpoint.
    pub is_warmup: bool,
}

/// One selection, with everything that it reads.
pub(crate) struct Selector<'a> {
    /// The time of the selection.
    pub now: Micros,
    /// The observation window of the measurements.
    pub window: ObservationWindow,
    /// The control period, in microseconds.
    pub period: Micros,
    /// The request.
    pub request: &'a PendingRequest,
    /// The ready endpoints.
    pub ready: &'a ReadyEndpoints,
    /// All endpoints. Permissions are drawn from their slow start budgets.
    pub endpoints: &'a mut EndpointTable,
    /// The rules on whether an attempt may start.
    pub retry: &'a RetryPolicy,
    /// The latency of the pool and its classes.
    pub latency: &'a LatencyModel,
    /// The price and the losses of zones.
    pub locality: &'a Locality,
    /// The capacity of warming endpoints.
    pub slow_start: &'a SlowStart,
    /// The rates that slow start reads.
    pub throughput: &'a mut Throughput,
    /// The random generator of the balancer.
    pub rng: &'a mut Rng,
}

impl Selector<'_> {
    /// Selects the candidate with the lowest score; returns `None` if no candidate may get the request.
    pub fn select(&mut self) -> Option<Selected> {
        let filtered = self.filtered();
        let candidates = Candidates::new(self.ready, filtered.as_deref());
        let pool = candidates.pool();
        let most_ejected = 2 * outlier::ejected_count(self.now, pool, self.endpoints) > pool.len();
        let mut best: Option<(f64, EndpointIndex)> = None;
        for position in 0..candidates.max_positions() {
            if position >= candidates.always_read() && best.is_some() {
                break;
            }
            let endpoint = candidates.pick(position, self.rng);
            if !self.may_send(endpoint) {
                continue;
            }
            let score = self.score(endpoint, most_ejected);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, endpoint));
            }
        }
        best.map(|(_, endpoint)| Selected { endpoint, is_warmup: self.is_warmup_due(endpoint) })
    }

    /// The ready endpoints that match the filter of the request; `None` if it has no filter.
    fn filtered(&self) -> Option<Vec<EndpointIndex>> {
        let filter = self.request.endpoint_filter.as_ref()?;
        let ready = self.ready.all.iter().copied();
        Some(ready.filter(|&index| filter.matches(&self.endpoints[index].entry)).collect())
    }

    /// Whether the retry rules and the slow start budget permit an attempt at this endpoint.
    fn may_send(&mut self, endpoint: EndpointIndex) -> bool {
        if !self.retry.may_start_attempt(self.now, self.request, self.endpoints, endpoint) {
            return false;
        }
        let mut pool = SlowStartPool {
            now: self.now,
            window: self.window,
            endpoints: self.endpoints,
            ready: &self.ready.all,
            throughput: self.throughput,
        };
        self.slow_start.draw_permission(endpoint, &mut pool, self.rng)
    }

    fn score(&mut self, endpoint: EndpointIndex, most_ejected: bool) -> f64 {
        let is_in_subset = self.ready.subset.contains(&endpoint);
        let mut score = self.base_score(endpoint, is_in_subset);
        if !is_in_subset {
            score *= OUTSIDE_SUBSET_FACTOR;
        }
        if self.is_warmup_due(endpoint) {
            score /= WARMUP_DIVISOR;
        }
        if !most_ejected && self.endpoints[endpoint].ejection.is_ejected(self.now) {
            score *= EJECTED_FACTOR;
        }
        if self.request.attempts.iter().any(|attempt| attempt.endpoint == endpoint) {
            score *= REPEATED_FACTOR;
        }
        score
    }

    /// Relative latency times queue, with jitter, zone and the capacity of a warming endpoint.
    fn base_score(&mut self, endpoint: EndpointIndex, is_in_subset: bool) -> f64 {
        let record = &self.endpoints[endpoint];
        let latency = self.latency.relative(self.now, self.window, record, self.request.class);
        let queue = self.queue(endpoint, is_in_subset);
        let jitter = 1.0 + JITTER * self.rng.f64();
        let score = latency * (queue + 1.0) * jitter;
        let score = self.locality.weigh(score, ZoneIndex(record.entry.zone));
        match self.slow_start.capacity_fraction(self.now, &record.entry) {
            Some(fraction) => score / fraction,
            None => score,
        }
    }

    /// An estimate of the requests at the endpoint. If a gossip group shares the endpoint, the attempts in
    /// flight of the group are used alone, because they are newer than any report.
    fn queue(&self, endpoint: EndpointIndex, is_in_subset: bool) -> f64 {
        let record = &self.endpoints[endpoint];
        let of_peers = record.peer_load.in_flight(self.now, self.window.micros() / 2);
        let counted = f64::from(record.in_flight + of_peers);
        if is_in_subset && !self.ready.gossip_peers.is_empty() {
            return counted;
        }
        let lifetime = REPORT_LIFETIME_PERIODS * self.period as f64;
        record.load_report.queue_estimate(self.now, counted, lifetime)
    }

    fn is_warmup_due(&self, endpoint: EndpointIndex) -> bool {
        let record = &self.endpoints[endpoint];
        self.slow_start.is_warmup_due(self.now, self.request, record, self.latency, self.window)
    }
}
