//! Requests of downstream clients, and the outcomes of their attempts upstream.

use std::sync::Arc;

use crate::endpoint::EndpointFilter;
use crate::time::Micros;

/// The id of a request at its proxy; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The outcome of an attempt or of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Ok,
    /// The endpoint answered with an error; the request may have been executed.
    Error,
    /// The endpoint rejected the request without executing it.
    Rejected,
    /// No answer arrived in time; the request may have been executed.
    Timeout,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection broke, or the response cannot be parsed; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt ended before anything was sent to the endpoint.
    NotSent,
}

impl Outcome {
    /// Whether it is certain that the endpoint did not execute the request.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that arrived at this balancer.
#[derive(Clone, Debug, Default)]
pub struct NewRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The class of the request, as an index into the classes of the settings.
    pub class: usize,
    /// The tenant of the request, as an index into the tenants of the settings; `None` if it has none.
    pub tenant: Option<usize>,
    /// The time until the client gives this request up, in microseconds.
    pub time_left: Micros,
    /// The expected work on a standard core in microseconds; `None` if unknown. Not used by this version.
    pub work: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Whether the request is sent without its idempotency key, so that endpoints cannot discard its repeats. A
    /// class with [`Semantics::Deduplicated`](crate::Semantics::Deduplicated) then counts as one with
    /// [`Semantics::AtMostOnce`](crate::Semantics::AtMostOnce).
    pub lacks_key: bool,
    /// The endpoints to which the request may be sent; `None` permits all.
    pub endpoint_filter: Option<Arc<EndpointFilter>>,
    /// The highest number of attempts, if lower than that of the settings; 0 sets no limit.
    pub max_attempts: usize,
    /// The longest time until the body is received in full, in microseconds; 0 if it has been received
    /// already. `time_left` counts from the end of this time.
    pub body_pending: Micros,
    /// The downstream connections of the balancer; `None` if it accepts new ones.
    pub downstream_connections: Option<DownstreamConnections>,
}

/// The downstream connections of a balancer that accepts no new ones, for instance while it shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamConnections {
    /// The number of open connections without a request.
    pub idle: usize,
    /// The number of open connections.
    pub open: usize,
}
