//! What happened: the input of [`crate::Balancer::handle`].

use crate::endpoint::{Endpoint, EndpointId, LoadReport, UpdateScope};
use crate::request::{NewRequest, Outcome, RequestId};
use crate::time::Micros;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// News from discovery.
    EndpointUpdate {
        /// What the entries are.
        scope: UpdateScope,
        /// The entries.
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
        /// Time since it was sent.
        took: Micros,
        /// The request has its final answer.
        is_final: bool,
        /// The backend's report, if one came along.
        report: Option<LoadReport>,
    },
    /// The client left; nothing more is owed.
    ClientDisconnected(RequestId),
    /// A message from another balancer of the tier.
    GossipReceived {
        /// Its sender's rank.
        from: u32,
        /// Its bytes, which nobody vouches for.
        payload: &'a [u8],
    },
    /// A timer set by the module is due.
    Timer(u64),
    /// A probe ended.
    HealthChecked {
        /// The backend.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Micros,
        /// The backend's report, if one came along.
        report: Option<LoadReport>,
    },
}
