//! What a balancer has learned, as plain numbers: exported by [`crate::Balancer::learned_state`], and imported by
//! [`crate::Balancer::import_learned_state`] from a process before or from other balancers. Times are in microseconds.

mod evidence;
mod export;
mod import;

use crate::{EndpointId, Micros};

/// An exponentially decayed mean: a sum over a number of samples, as of some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayedMean {
    /// The sum of the samples.
    pub sum: f64,
    /// How many there are; older ones count for less than one.
    pub weight: f64,
    /// The time since the last of them.
    pub age: Micros,
}

/// What was learned of one endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// How long its process had run, where that is known. Nothing here holds for another process.
    pub uptime: Option<Micros>,
    /// By class: time spent for each successful answer, as a multiple of what the class takes in the pool.
    pub classes: Vec<DecayedMean>,
    /// Failures since its last successful answer.
    pub consecutive_failures: u32,
    /// How much longer it is ejected; 0 where it is not.
    pub ejected_for: Micros,
    /// Requests that it might still get in its slow start. For operators, and never imported: a budget that
    /// several balancers have at the same time would be overspent.
    pub slow_start_tokens: f64,
}

/// What a balancer has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// The time since it was exported.
    pub age: Micros,
    /// How long its balancer had run by then.
    pub uptime: Micros,
    /// By endpoint.
    pub endpoints: Vec<LearnedEndpoint>,
    /// By machine kind: time spent for each successful answer, as for one endpoint's class.
    pub latency_by_machine_kind: Vec<(usize, DecayedMean)>,
    /// By zone: the part of the attempts that got no answer.
    pub loss_by_zone: Vec<(usize, DecayedMean)>,
    /// By class: what a successful answer takes.
    pub typical_latency: Vec<DecayedMean>,
    /// What a successful answer of any class takes.
    pub pool_latency: DecayedMean,
    /// The base threshold for each endpoint that is ready, in requests in flight; 0 where there is none yet;
    /// importers ignore it.
    pub threshold_per_endpoint: f64,
    /// The position of the admission cursor in its table, from 0 to 1.
    pub cursor_position: f64,
    /// The latency of the quiet pool, in latency objectives.
    pub baseline_latency: Option<f64>,
}
