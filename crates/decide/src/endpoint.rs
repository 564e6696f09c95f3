//! Upstream endpoints: what discovery lists, what they report of their load, and which of them a request may use.
//!
//! Zones and machine kinds are known by index; their names never reach the decisions.

use crate::time::Micros;

/// The id of an endpoint; unique in a tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// Where an endpoint is in its lifecycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has, and takes nothing new.
    Draining,
    /// No longer listed.
    Removed,
}

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity relative to the others, for address announcements only; load balancing measures capacity
    /// itself.
    pub weight: f64,
    /// When its process started; `None` for the distant past.
    pub up_since: Option<Micros>,
    /// Its zone.
    pub zone: usize,
    /// Its machine kind.
    pub machine_kind: usize,
    /// Its cell, for deduplication.
    pub cell: Option<u64>,
}

/// What an endpoint list from discovery holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Only what changed.
    Delta,
    /// Everything.
    Full,
    /// Everything, as last known; maybe out of date.
    Cached,
    /// Nothing: the poll failed, or the subscription broke.
    Failed,
}

/// An endpoint's load report; what a site does not report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests that it has in hand.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Part of its processors in use.
    pub utilisation: Option<f64>,
    /// Recent service time without waiting, in milliseconds. Not used by this version.
    pub service_ms: Option<f64>,
    /// Requests served a second. Not used by this version.
    pub requests_per_s: Option<f64>,
    /// Errors a second. Not used by this version.
    pub errors_per_s: Option<f64>,
}

/// The endpoints that a request may go to; an empty list lets all through.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointFilter {
    /// Any one of these zones.
    pub zones: Vec<usize>,
    /// Any one of these machine kinds.
    pub machine_kinds: Vec<usize>,
    /// Any one of these cells.
    pub cells: Vec<u64>,
}

impl EndpointFilter {
    /// Does it let this endpoint through?
    #[must_use]
    pub fn matches(&self, endpoint: &Endpoint) -> bool {
        (self.zones.is_empty() || self.zones.contains(&endpoint.zone))
            && (self.machine_kinds.is_empty() || self.machine_kinds.contains(&endpoint.machine_kind))
            && (self.cells.is_empty() || endpoint.cell.is_some_and(|cell| self.cells.contains(&cell)))
    }
}
