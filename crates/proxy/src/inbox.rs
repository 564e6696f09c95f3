//! The inputs of the driver, and the handle through which I/O tasks send them.

use std::cell::Cell;
use std::rc::Rc;

use decide::learned::LearnedState;
use decide::{Endpoint, EndpointId, Micros, NewRequest, Outcome, RequestId, UpdateScope};
use tokio::sync::{mpsc, oneshot};

use crate::exchange::{AttemptCounter, AttemptResult, DisconnectProbe, FinalResponse, UpstreamRequest};

/// An input of the driver, which is queued until all earlier inputs have been handled.
pub enum DriverInput {
    /// The endpoint list was updated.
    EndpointUpdate { scope: UpdateScope, endpoints: Vec<Endpoint> },
    /// A request arrived.
    Request(SubmittedRequest),
    /// The last byte of the body of a request arrived.
    BodyReceived(RequestId),
    /// An attempt ended.
    AttemptEnded { attempt: AttemptId, result: AttemptResult },
    /// An attempt was cancelled because its request is no longer open.
    AttemptCancelled { attempt: AttemptId, target: AttemptTarget, outcome: Outcome },
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// A timer of the balancer with this seed is due.
    Timer { balancer_seed: u64, token: u64 },
    /// A gossip message arrived from the peer with the rank `from` in the tier.
    GossipReceived { from: u32, payload: Vec<u8> },
    /// A health check ended.
    HealthCheckEnded { target: AttemptTarget, result: AttemptResult },
    /// Learned state of other proxies or of an earlier process is to be imported.
    ImportLearnedState(Vec<LearnedState>),
    /// Requests the learned state.
    ExportLearnedState(oneshot::Sender<LearnedState>),
    /// Requests the number of listed endpoints that are ejected.
    EjectedCount(oneshot::Sender<usize>),
}

/// A request that waits for its final response.
pub struct SubmittedRequest {
    /// The properties of the request that the balancer uses.
    pub decision_input: NewRequest,
    /// The request as it is sent upstream.
    pub message: Rc<UpstreamRequest>,
    /// Reports whether the client that waits for the response has disconnected.
    pub disconnect_probe: DisconnectProbe,
    /// Counts the attempts of the request.
    pub attempts: AttemptCounter,
    /// The channel to which the final response is sent.
    pub response: oneshot::Sender<FinalResponse>,
}

/// The id of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request of the attempt.
    pub request: RequestId,
    /// The number of the attempt within its request, from 0 in each pool.
    pub number: usize,
}

/// The endpoint and the start time of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTarget {
    /// The endpoint that the attempt or health check is sent to.
    pub endpoint: EndpointId,
    /// The start time on the clock of the balancer, in microseconds.
    pub started_at: Micros,
}

/// Sends inputs to a driver. Clones share the counter of request ids.
#[derive(Clone)]
pub struct DriverHandle {
    inputs: mpsc::UnboundedSender<DriverInput>,
    last_id: Rc<Cell<u64>>,
}

impl DriverHandle {
    /// Creates a handle and the receiver of the inputs that are sent through it.
    pub fn new() -> (DriverHandle, mpsc::UnboundedReceiver<DriverInput>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let handle = DriverHandle { inputs, last_id: Rc::default() };
        (handle, receiver)
    }

    /// Submits a request. If the returned receiver closes without a response, the request has failed.
    pub fn submit(
        &self,
        mut decision_input: NewRequest,
        message: Rc<UpstreamRequest>,
        disconnect_probe: DisconnectProbe,
        attempts: AttemptCounter,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>) {
        let id = RequestId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        decision_input.id = id;
        let (response, receiver) = oneshot::channel();
        self.send(DriverInput::Request(SubmittedRequest {
            decision_input,
            message,
            disconnect_probe,
            attempts,
            response,
        }));
        (id, receiver)
    }

    /// Reports that the client of a request has disconnected. The request gets no response and no further
    /// attempt.
    pub fn client_disconnected(&self, id: RequestId) {
        self.send(DriverInput::ClientDisconnected(id));
    }

    /// Reports an update of the endpoint list.
    pub fn endpoint_update(&self, scope: UpdateScope, endpoints: Vec<Endpoint>) {
        self.send(DriverInput::EndpointUpdate { scope, endpoints });
    }

    /// Reports a gossip message from the peer with the rank `from` in the tier.
    pub fn gossip_received(&self, from: u32, payload: Vec<u8>) {
        self.send(DriverInput::GossipReceived { from, payload });
    }

    /// Imports learned state of other proxies or of an earlier process.
    pub fn import_learned_state(&self, states: Vec<LearnedState>) {
        self.send(DriverInput::ImportLearnedState(states));
    }

    /// Returns the learned state, or `None` if the balancer panics while it is exported.
    pub async fn learned_state(&self) -> Option<LearnedState> {
        let (sender, receiver) = oneshot::channel();
        self.send(DriverInput::ExportLearnedState(sender));
        receiver.await.ok()
    }

    /// Returns the number of listed endpoints that the balancer has ejected, or 0 if the balancer panics.
    pub async fn ejected_count(&self) -> usize {
        let (sender, receiver) = oneshot::channel();
        self.send(DriverInput::EjectedCount(sender));
        receiver.await.unwrap_or_default()
    }

    pub(crate) fn send(&self, input: DriverInput) {
        // Sending fails only after the driver has ended, when its inputs no longer matter.
        let _ = self.inputs.send(input);
    }
}
