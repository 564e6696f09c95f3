//! The learned state of a balancer as plain numbers: exported by [`crate::Balancer::learned_state`], and
//! imported by [`crate::Balancer::import_learned_state`] from a previous process or from other balancers.
//! Times are in microseconds.

mod evidence;
mod export;
mod import;

use crate::{EndpointId, Micros};

/// An exponentially decayed mean: a sum and a number of samples at a time in the past.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayedMean {
    /// The sum of the samples.
    pub sum: f64,
    /// The number of samples; an older sample counts for less than one.
    pub weight: f64,
    /// The time since the sum and the number were last decayed.
    pub age: Micros,
}

/// The learned state of one endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedEndpoint {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The uptime of the process of the endpoint; `None` if its start is not known. The state does not apply
    /// to another process.
    pub uptime: Option<Micros>,
    /// The time spent per successful answer by class, as a multiple of the typical latency of the class in
    /// the pool.
    pub classes: Vec<DecayedMean>,
    /// The number of failures since the last successful answer. It is exported and never imported.
    pub consecutive_failures: u32,
    /// The time for which the endpoint is still ejected; 0 if it is not.
    pub ejected_for: Micros,
    /// The requests left in the slow start budget. It is shown to operators and never imported: if several
    /// balancers imported one budget, they would together exceed it.
    pub slow_start_tokens: f64,
}

/// The learned state of one balancer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// The time since the state was exported.
    pub age: Micros,
    /// The time that its balancer had run when the state was exported.
    pub uptime: Micros,
    /// The endpoints that are listed, one entry each.
    pub endpoints: Vec<LearnedEndpoint>,
    /// The time spent per successful answer by machine kind, relative as in [`LearnedEndpoint::classes`].
    pub latency_by_machine_kind: Vec<(usize, DecayedMean)>,
    /// The fraction of the attempts that got no answer, by zone.
    pub loss_by_zone: Vec<(usize, DecayedMean)>,
    /// The duration of successful answers by class.
    pub typical_latency: Vec<DecayedMean>,
    /// The duration of successful answers of all classes.
    pub pool_latency: DecayedMean,
    /// The base threshold of all balancers per ready endpoint, in requests in flight; 0 if there is none yet,
    /// which importers ignore.
    pub threshold_per_endpoint: f64,
    /// The position of the admission cursor in its table, from 0 to 1.
    pub cursor_position: f64,
    /// The latency of the quiet pool, in latency objectives; `None` if there is none yet.
    pub baseline_latency: Option<f64>,
}
