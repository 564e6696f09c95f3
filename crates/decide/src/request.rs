//! Requests as they arrive downstream, and how their attempts upstream end.

use std::sync::Arc;

use crate::endpoint::EndpointFilter;
use crate::time::Micros;

/// A request as its proxy knows it; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// Never connected.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
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
    /// Time until its client gives this try up.
    pub time_left: Micros,
    /// Expected work on a standard core, where known.
    pub work: Option<Micros>,
    /// The client says that this is a repeat.
    pub is_retry: bool,
    /// The servers that it may go to, where not to all.
    pub endpoint_filter: Option<Arc<EndpointFilter>>,
    /// The attempts that it may have, where that is less than the settings say; 0 says nothing.
    pub max_attempts: usize,
    /// Its body is still on its way, for this long at most; its time counts from then.
    pub body_pending: Micros,
    /// The connections that callers have left, where they get no new ones.
    pub downstream_connections: Option<DownstreamConnections>,
}

/// The connections of callers to a balancer that gets no new ones, as while it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamConnections {
    /// Those that wait for a request.
    pub idle: usize,
    /// All that are open.
    pub open: usize,
}
