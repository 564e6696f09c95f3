//! Requests as they arrive downstream, and how their attempts upstream end.

use std::sync::Arc;

use crate::endpoint::EndpointFilter;
use crate::time::Micros;

/// The id of a request at its proxy; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected; has not run.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// Never connected.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// True where the outcome proves that nothing ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that landed on this balancer.
#[derive(Clone, Debug, Default)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: Option<usize>,
    /// Time until its client gives this request up, in microseconds.
    pub time_left: Micros,
    /// Expected work on a standard core in microseconds, where known. Not used by this version.
    pub work: Option<Micros>,
    /// The client says that this is a retry.
    pub is_retry: bool,
    /// The endpoints that it may go to, where not to all.
    pub endpoint_filter: Option<Arc<EndpointFilter>>,
    /// The attempts that it may have, where that is fewer than the settings allow; 0 sets no limit.
    pub max_attempts: usize,
    /// Its body has not been received yet and will be within this time (microseconds); its time counts from then. 0 where
    /// the body has been received.
    pub body_pending: Micros,
    /// The connections of its callers, where they get no new ones.
    pub downstream_connections: Option<DownstreamConnections>,
}

/// The connections of callers to a balancer that accepts no new ones, as while it shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamConnections {
    /// Those without a request.
    pub idle: usize,
    /// All that are open.
    pub open: usize,
}
