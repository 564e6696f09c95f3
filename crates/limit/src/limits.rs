//! The configured limits: of the process, and of one tenant.

/// The capacity of the whole process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests a second; infinite if unlimited.
    pub requests_per_s: f64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Bytes of request bodies by their announced lengths; a body without one counts as the caller states.
    pub body_bytes: u64,
}

/// A tenant's own limits; infinity or the largest number if unlimited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The weight of its fair share against other tenants; at least 1.
    pub weight: u32,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Requests admitted at once after a pause.
    pub burst: f64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Downstream connections.
    pub connections: u64,
    /// Bytes of request bodies by their announced lengths; a body without one counts as the caller states.
    pub body_bytes: u64,
    /// Attempts beyond the first, a second.
    pub retries_per_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            weight: 1,
            requests_per_s: f64::INFINITY,
            burst: f64::INFINITY,
            in_flight: u64::MAX,
            connections: u64::MAX,
            body_bytes: u64::MAX,
            retries_per_s: f64::INFINITY,
        }
    }
}
