//! Actions: the output of [`crate::Balancer::handle`].

use crate::endpoint::EndpointId;
use crate::request::RequestId;
use crate::time::Micros;

/// An action that the owner of a balancer carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint of the attempt.
        endpoint: EndpointId,
        /// The time at which the attempt is given up.
        deadline: Micros,
        /// The time from which on nothing of the attempt may be written, because a repeat of the request might
        /// then be executed again; `None` for no limit.
        write_before: Option<Micros>,
    },
    /// Answer the client with a rejection: the request was not executed, or a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// The Retry-After for the client, in microseconds; if 0, none is sent.
        retry_after: Micros,
    },
    /// Answer the client with a failure: the request was not served, and may have been executed.
    Fail(RequestId),
    /// Cancel an attempt. Its end is still to be passed as
    /// [`Event::AttemptEnded`](crate::Event::AttemptEnded).
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt in the request, from 0.
        attempt: usize,
    },
    /// Return [`Event::Timer`](crate::Event::Timer) at a later time.
    Timer {
        /// The time at which the timer is due.
        at: Micros,
        /// The token to return with the event.
        token: u64,
    },
    /// Poll discovery for the endpoint list.
    PollDiscovery,
    /// Send a health check to an endpoint. Not used by this version.
    HealthCheck(EndpointId),
    /// Send a message to another balancer of the tier.
    SendGossip {
        /// The rank of the receiver.
        to: u32,
        /// The bytes of the message, at most 256.
        payload: Vec<u8>,
    },
    /// Write a log line for the operators.
    Log(String),
}
