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
        /// Where to.
        endpoint: EndpointId,
        /// When to give the attempt up.
        deadline: Micros,
    },
    /// Final answer: not done, a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait; 0 says nothing.
        retry_after: Micros,
    },
    /// Final answer: not served, and nothing is promised.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
    },
    /// Wake the module.
    Timer {
        /// When.
        at: Micros,
        /// What comes back with the event.
        token: u64,
    },
    /// Subscribe to the list of backends.
    PollDiscovery,
    /// Probe a backend.
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
