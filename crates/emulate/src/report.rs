//! The result of a simulation.

/// The counts of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests of clients, those included that clients shed.
    pub requests: u64,
    /// Requests answered within the latency objective, by whichever attempt of the client.
    pub served: u64,
    /// Attempts of clients.
    pub client_attempts: u64,
    /// Attempts of clients that were rejected.
    pub rejected: u64,
    /// Requests forwarded to an endpoint later than the drain grace after its drain counts as notified.
    pub late_forwards: u64,
    /// Requests that were not forwarded because the list had expired.
    pub withheld: u64,
    /// Endpoints that failed under overload during slow start.
    pub overloaded_endpoints: u64,
    /// Connections made to endpoints.
    pub handshakes: u64,
    /// Calls to discovery that were queued.
    pub queued_calls: u64,
    /// Calls to discovery that were rejected.
    pub rejected_calls: u64,
    /// Most requests of the whole fleet to one endpoint within 100 ms.
    pub max_burst: u64,
}
