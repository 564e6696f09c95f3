//! What happened: the input of [`crate::Balancer::handle`].

use crate::endpoint::{Endpoint, EndpointId, LoadReport, UpdateScope};
use crate::request::{NewRequest, Outcome, RequestId};
use crate::time::Micros;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// An endpoint list from discovery.
    EndpointUpdate {
        /// What the list holds.
        scope: UpdateScope,
        /// Its entries.
        endpoints: &'a [Endpoint],
    },
    /// A request landed and is owed one answer.
    Request(NewRequest),
    /// The body of a request that had [`NewRequest::body_pending`] has been received in full.
    BodyReceived(RequestId),
    /// A streamed answer began; the client owns the attempt now.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
        /// Where it went.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent, in microseconds. Not used by this version, which measures it itself.
        took: Micros,
        /// The request has its final answer.
        is_final: bool,
        /// The endpoint's load report, if one came along.
        report: Option<LoadReport>,
    },
    /// The client disconnected; no answer is owed any more.
    ClientDisconnected(RequestId),
    /// A message from another balancer of the tier.
    GossipReceived {
        /// Its sender's rank.
        from: u32,
        /// Its bytes, which are not trusted.
        payload: &'a [u8],
    },
    /// A timer that [`Action::Timer`](crate::Action::Timer) set is due.
    Timer(u64),
    /// A health check ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended. Not used by this version.
        outcome: Outcome,
        /// Time since it was sent, in microseconds. Not used by this version.
        took: Micros,
        /// The endpoint's load report, if one came along.
        report: Option<LoadReport>,
    },
}
