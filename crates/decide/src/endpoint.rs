//! Upstream endpoints: the entries of the endpoint list, load reports, and the filter of a request.
//!
//! Zones and machine kinds are held as indexes; the decisions do not use their names.

use crate::time::Micros;

/// The id of an endpoint; unique in a tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// The state of an endpoint in its lifecycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its current requests and gets no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The state of the endpoint in its lifecycle.
    pub state: EndpointState,
    /// The capacity of the endpoint relative to the others. Not used by the decisions, which measure the
    /// capacity; the BGP speaker uses it to decide whether to announce addresses.
    pub weight: f64,
    /// The time at which the process of the endpoint started; `None` if that is unknown or long ago. The
    /// endpoint then counts as warm.
    pub up_since: Option<Micros>,
    /// The zone of the endpoint, as an index into the names of the settings.
    pub zone: usize,
    /// The machine kind of the endpoint, as an index into the names of the settings.
    pub machine_kind: usize,
    /// The cell of the endpoint: a group of endpoints that discard each other's repeats. `None` if it is in
    /// no cell.
    pub cell: Option<u64>,
}

/// The scope of an endpoint list from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Only the entries that changed.
    Delta,
    /// All entries.
    Full,
    /// All entries from a cache, which may be outdated.
    Cached,
    /// No entries, because the poll failed or the watch that it started has ended.
    Failed,
}

/// A load report of an endpoint; a value that it does not report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The number of requests at the endpoint.
    pub in_flight: Option<f64>,
    /// The number of requests that wait at the endpoint.
    pub queued: Option<f64>,
    /// The fraction of the processors in use.
    pub utilisation: Option<f64>,
    /// The recent service time without waiting, in milliseconds. Not used by this version.
    pub service_ms: Option<f64>,
    /// The requests served per second. Not used by this version.
    pub requests_per_s: Option<f64>,
    /// The errors per second. Not used by this version.
    pub errors_per_s: Option<f64>,
}

/// The endpoints to which a request may be sent; an empty list permits every value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointFilter {
    /// The permitted zones.
    pub zones: Vec<usize>,
    /// The permitted machine kinds.
    pub machine_kinds: Vec<usize>,
    /// The permitted cells.
    pub cells: Vec<u64>,
}

impl EndpointFilter {
    /// Whether the endpoint meets all conditions of the filter.
    #[must_use]
    pub fn matches(&self, endpoint: &Endpoint) -> bool {
        (self.zones.is_empty() || self.zones.contains(&endpoint.zone))
            && (self.machine_kinds.is_empty() || self.machine_kinds.contains(&endpoint.machine_kind))
            && (self.cells.is_empty() || endpoint.cell.is_some_and(|cell| self.cells.contains(&cell)))
    }
}
