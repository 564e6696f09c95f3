//! The score by which candidates are ranked: relative latency times queue, and factors for what speaks for or
//! against an endpoint. The lowest score wins.
//!
//! Factors: a random tenth, so that balancers with equal measurements do not all choose alike; zones; the capacity
//! of a warming endpoint; endpoints outside the subset, whose queue is mostly other balancers' requests;
//! ejected endpoints, which are a last resort; and endpoints that had an attempt of this request already.

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

/// The random part of a score.
const JITTER: f64 = 0.1;
/// What an endpoint outside the subset costs.
const OUTSIDE_SUBSET_FACTOR: f64 = 2.0;
/// How far an endpoint that is due for a warm-up request moves ahead.
const WARMUP_FACTOR: f64 = 1e3;
/// What an ejected endpoint costs.
const EJECTED_FACTOR: f64 = 1e6;
/// What an endpoint that had an attempt of the request costs.
const REPEATED_FACTOR: f64 = 1e3;
/// Periods over which a load report loses its weight.
const REPORT_LIFETIME_PERIODS: f64 = 4.0;

/// The endpoint that an attempt goes to.
pub(crate) struct Selected {
    /// Its position.
    pub endpoint: EndpointIndex,
    /// It is chosen to warm it up.
    pub is_warmup: bool,
}

/// One pick, with all that it looks at.
pub(crate) struct Selector<'a> {
    /// The time of the pick.
    pub now: Micros,
    /// The span that measurements stand for.
    pub window: ObservationWindow,
    /// The control period, in microseconds.
    pub period: Micros,
    /// The request.
    pub request: &'a PendingRequest,
    /// The endpoints that are ready.
    pub ready: &'a ReadyEndpoints,
    /// All endpoints; slow start budgets are drawn on.
    pub endpoints: &'a mut EndpointTable,
    /// What may run again.
    pub retry: &'a RetryPolicy,
    /// Latency of pool and endpoints.
    pub latency: &'a LatencyModel,
    /// Zones.
    pub locality: &'a Locality,
    /// Slow start.
    pub slow_start: &'a SlowStart,
    /// Rates, for slow start.
    pub throughput: &'a mut Throughput,
    /// The balancer's generator.
    pub rng: &'a mut Rng,
}

impl Selector<'_> {
    /// The best candidate that may get the request; `None` where none may.
    pub fn select(&mut self) -> Option<Selected> {
        let filtered = self.filtered();
        let candidates = Candidates::new(self.ready, filtered.as_deref());
        let pool = candidates.pool();
        let most_ejected = 2 * outlier::ejected_count(self.now, pool, self.endpoints) > pool.len();
        let mut best: Option<(f64, EndpointIndex)> = None;
        for position in 0..candidates.max_positions() {
            if position >= candidates.always_ranked() && best.is_some() {
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

    /// The ready endpoints that the request's filter lets through, where it has one.
    fn filtered(&self) -> Option<Vec<EndpointIndex>> {
        let filter = self.request.endpoint_filter.as_ref()?;
        let ready = self.ready.all.iter().copied();
        Some(ready.filter(|&index| filter.matches(&self.endpoints[index].entry)).collect())
    }

    /// Do the retry rules and the slow start budget let the request go there?
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
            score /= WARMUP_FACTOR;
        }
        if !most_ejected && self.endpoints[endpoint].ejection.is_ejected(self.now) {
            score *= EJECTED_FACTOR;
        }
        if self.request.attempts.iter().any(|attempt| attempt.endpoint == endpoint) {
            score *= REPEATED_FACTOR;
        }
        score
    }

    /// Relative latency times queue, with jitter, zone and warming capacity.
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

    /// Requests that the endpoint has in hand. What the group that gossips about it has in flight there is
    /// newer than any report.
    fn queue(&self, endpoint: EndpointIndex, is_in_subset: bool) -> f64 {
        let record = &self.endpoints[endpoint];
        let of_peers = record.peer_load.in_flight(self.now, self.window.micros() / 2);
        let known = f64::from(record.in_flight + of_peers);
        if is_in_subset && !self.ready.gossip_peers.is_empty() {
            return known;
        }
        let lifetime = REPORT_LIFETIME_PERIODS * self.period as f64;
        record.load_report.queue_estimate(self.now, known, lifetime)
    }

    fn is_warmup_due(&self, endpoint: EndpointIndex) -> bool {
        let record = &self.endpoints[endpoint];
        self.slow_start.is_warmup_due(self.now, self.request, record, self.latency, self.window)
    }
}
