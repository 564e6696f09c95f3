//! What to do: the output of [`crate::Balancer::handle`].

use crate::endpoint::EndpointId;
use crate::request::RequestId;
use crate::time::Micros;

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where it goes.
        endpoint: EndpointId,
        /// When to give the attempt up.
        deadline: Micros,
    },
    /// Final answer: it has not run, or a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// The Retry-After for the client, in microseconds; 0 sends none.
        retry_after: Micros,
    },
    /// Final answer: not served, and it may have run.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
    },
    /// Hand back [`Event::Timer`](crate::Event::Timer) at some time.
    Timer {
        /// When.
        at: Micros,
        /// The token to hand back.
        token: u64,
    },
    /// Poll discovery for the endpoint list.
    PollDiscovery,
    /// Send a health check to an endpoint. Not used by this version.
    HealthCheck(EndpointId),
    /// Send a message to another balancer of the tier.
    SendGossip {
        /// Its rank.
        to: u32,
        /// At most 256 bytes.
        payload: Vec<u8>,
    },
    /// A line for the operators.
    Log(String),
}
