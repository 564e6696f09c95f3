//! What a balancer has learned, as plain figures: stated by [`crate::Balancer::learned_state`], and taken in as evidence by
//! [`crate::Balancer::import_learned_state`], of a process before or of other balancers.

mod evidence;
mod export;
mod import;

use crate::{EndpointId, Micros};

/// A mean over a past that fades: a sum over so many samples, as they stood so long ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayedMean {
    /// The sum of the samples.
    pub sum: f64,
    /// How many there are; older ones count for less than one.
    pub weight: f64,
    /// Since the last of them, in microseconds.
    pub age: Micros,
}

/// What was learned of one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedEndpoint {
    /// The server.
    pub id: EndpointId,
    /// How long its process had run, where that is known. Of another process this says nothing.
    pub uptime: Option<Micros>,
    /// By class: time spent for each good answer, as a multiple of what the class takes in the pool.
    pub classes: Vec<DecayedMean>,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// It is left alone for so much longer; 0 where it is not.
    pub ejected_for: Micros,
    /// Calls that it would still have got while it was cold. Stated for people, and never taken in: a budget that
    /// several hold at once would be spent more than once.
    pub slow_start_tokens: f64,
}

/// What a balancer has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Since it was stated, on whatever way it came, in microseconds.
    pub age: Micros,
    /// How long its balancer had run by then: who is new itself says so.
    pub uptime: Micros,
    /// By server.
    pub endpoints: Vec<LearnedEndpoint>,
    /// By machine kind, as for one server's class.
    pub latency_by_machine_kind: Vec<(usize, DecayedMean)>,
    /// By zone: the part of the calls that got no answer.
    pub loss_by_zone: Vec<(usize, DecayedMean)>,
    /// By class: what a good answer takes, in microseconds.
    pub typical_latency: Vec<DecayedMean>,
    /// What any good answer takes, in microseconds.
    pub pool_latency: DecayedMean,
    /// T1 for each server that is ready, in calls in flight; 0 where there is none yet.
    pub threshold_per_endpoint: f64,
    /// Where the cursor stands, as a part of the table, from 0 to 1.
    pub cursor_position: f64,
    /// The latency of a quiet pool, as a part of the aim.
    pub baseline_latency: Option<f64>,
}
