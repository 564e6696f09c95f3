//! The result of a simulation.

/// The counts of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests of clients, including those that clients shed.
    pub requests: u64,
    /// Requests that were answered within the latency objective, counted from the client's first attempt.
    pub served: u64,
    /// Attempts of clients for their requests.
    pub client_attempts: u64,
    /// Attempts of clients that were rejected.
    pub rejected: u64,
    /// Attempts that were sent to an endpoint after its drain counted as notified and the drain grace had
    /// passed.
    pub late_forwards: u64,
    /// Attempts that were not sent because the list had expired.
    pub withheld: u64,
    /// Endpoints that failed under overload during slow start.
    pub overloaded_endpoints: u64,
    /// Connections that were opened to endpoints.
    pub handshakes: u64,
    /// Calls to discovery that were queued.
    pub queued_calls: u64,
    /// Calls to discovery that were rejected.
    pub rejected_calls: u64,
    /// The maximum number of requests of the whole fleet to one endpoint within 100 ms.
    pub max_burst: u64,
}
