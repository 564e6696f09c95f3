//! Events: the input of [`crate::Balancer::handle`].

use crate::endpoint::{Endpoint, EndpointId, LoadReport, UpdateScope};
use crate::request::{NewRequest, Outcome, RequestId};
use crate::time::Micros;

/// An event that a balancer handles.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// An endpoint list from discovery.
    EndpointUpdate {
        /// The scope of the list.
        scope: UpdateScope,
        /// The entries of the list.
        endpoints: &'a [Endpoint],
    },
    /// A request arrived; it requires exactly one answer.
    Request(NewRequest),
    /// The body of a request that had [`NewRequest::body_pending`] has been received in full.
    BodyReceived(RequestId),
    /// A streamed answer began; from now on the attempt is not cancelled, retried or rejected.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt in the request, from 0.
        attempt: usize,
        /// The endpoint of the attempt.
        endpoint: EndpointId,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The time since the attempt was sent, in microseconds. Not used by this version, which measures it
        /// itself.
        took: Micros,
        /// Whether the request has its final answer.
        is_final: bool,
        /// The load report that arrived with the result, if any.
        report: Option<LoadReport>,
    },
    /// The client disconnected; the request needs no answer any more.
    ClientDisconnected(RequestId),
    /// A message from another balancer of the tier.
    GossipReceived {
        /// The rank of the sender.
        from: u32,
        /// The bytes of the message, which are not trusted.
        payload: &'a [u8],
    },
    /// A timer that [`Action::Timer`](crate::Action::Timer) set is due.
    Timer(u64),
    /// A health check ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// The outcome of the health check. Not used by this version.
        outcome: Outcome,
        /// The time since the health check was sent, in microseconds. Not used by this version.
        took: Micros,
        /// The load report that arrived with the result, if any.
        report: Option<LoadReport>,
    },
}
