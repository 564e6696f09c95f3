//! The configured limits: of the process, and of one tenant.

/// The capacity of the whole process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// The maximum rate of requests, in requests per second; infinity if unlimited.
    pub requests_per_s: f64,
    /// The maximum number of requests in flight.
    pub in_flight: u64,
    /// The maximum total size of request bodies in bytes, by announced length. A body without an announced
    /// length counts with the length that is passed to [`Limiter::admit`](crate::Limiter::admit).
    pub body_bytes: u64,
}

/// The limits of one tenant. Infinity, or the maximum of an integer, means unlimited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The weight of the tenant in the division of capacity among tenants; 0 counts as 1.
    pub weight: u32,
    /// The maximum rate of requests, in requests per second.
    pub requests_per_s: f64,
    /// The maximum number of requests admitted at once after a pause.
    pub burst: f64,
    /// The maximum number of requests in flight.
    pub in_flight: u64,
    /// The maximum number of downstream connections.
    pub connections: u64,
    /// The maximum total size of request bodies in bytes, by announced length. A body without an announced
    /// length counts with the length that is passed to [`Limiter::admit`](crate::Limiter::admit).
    pub body_bytes: u64,
    /// The maximum rate of attempts beyond the first, in attempts per second.
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
