//! The inputs of the driver, and the handle through which I/O tasks send them.

use std::cell::Cell;
use std::rc::Rc;

use decide::learned::LearnedState;
use decide::{Endpoint, EndpointId, Micros, NewRequest, Outcome, RequestId, UpdateScope};
use tokio::sync::{mpsc, oneshot};

use crate::exchange::{AttemptCounter, AttemptResult, DisconnectProbe, FinalResponse, UpstreamRequest};

/// Something that happened, as it waits for its turn.
pub enum DriverInput {
    /// A watch event of the endpoint list.
    EndpointUpdate { scope: UpdateScope, endpoints: Vec<Endpoint> },
    /// A request arrived.
    Request(SubmittedRequest),
    /// The last byte of a request's body arrived.
    BodyReceived(RequestId),
    /// An attempt ended.
    AttemptEnded { attempt: AttemptId, result: AttemptResult },
    /// An attempt was cancelled because its request is over.
    AttemptCancelled { attempt: AttemptId, target: AttemptTarget, outcome: Outcome },
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// A timer of the balancer with this seed is due.
    Timer { balancer_seed: u64, token: u64 },
    /// A gossip message arrived from the peer of this rank.
    GossipReceived { from: u32, payload: Vec<u8> },
    /// A health check ended.
    HealthCheckEnded { target: AttemptTarget, result: AttemptResult },
    /// The learned state of other proxies, or of an earlier process.
    ImportLearnedState(Vec<LearnedState>),
    /// Asks for the learned state.
    ExportLearnedState(oneshot::Sender<LearnedState>),
    /// Asks for the number of listed endpoints that are ejected.
    EjectedCount(oneshot::Sender<usize>),
}

/// A request that is owed a final response.
pub struct SubmittedRequest {
    /// What the decisions need of it.
    pub decision_input: NewRequest,
    /// The request as it is sent upstream.
    pub message: Rc<UpstreamRequest>,
    /// Tells whether the client that waits for the response has disconnected.
    pub disconnect_probe: DisconnectProbe,
    /// Counts its attempts.
    pub attempts: AttemptCounter,
    /// Takes the response.
    pub response: oneshot::Sender<FinalResponse>,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0 in each pool.
    pub number: usize,
}

/// Where and when an attempt or a health check was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTarget {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it was started, on the clock of the decisions.
    pub started_at: Micros,
}

/// Sends inputs to a driver. Copies share the counter of request ids.
#[derive(Clone)]
pub struct DriverHandle {
    inputs: mpsc::UnboundedSender<DriverInput>,
    last_id: Rc<Cell<u64>>,
}

impl DriverHandle {
    /// A handle, and the receiver of what is sent through it.
    pub fn new() -> (DriverHandle, mpsc::UnboundedReceiver<DriverInput>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let handle = DriverHandle { inputs, last_id: Rc::default() };
        (handle, receiver)
    }

    /// Submits a request. A receiver that closes without a response means that the request failed.
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

    /// The client of this request disconnected: it is owed no response, and no attempt is started for it any more.
    pub fn client_disconnected(&self, id: RequestId) {
        self.send(DriverInput::ClientDisconnected(id));
    }

    /// A watch event of the endpoint list.
    pub fn endpoint_update(&self, scope: UpdateScope, endpoints: Vec<Endpoint>) {
        self.send(DriverInput::EndpointUpdate { scope, endpoints });
    }

    /// A gossip message from the peer of this rank.
    pub fn gossip_received(&self, from: u32, payload: Vec<u8>) {
        self.send(DriverInput::GossipReceived { from, payload });
    }

    /// The learned state of other proxies, or of an earlier process.
    pub fn import_learned_state(&self, states: Vec<LearnedState>) {
        self.send(DriverInput::ImportLearnedState(states));
    }

    /// The learned state; none if the decisions panic over it.
    pub async fn learned_state(&self) -> Option<LearnedState> {
        let (sender, receiver) = oneshot::channel();
        self.send(DriverInput::ExportLearnedState(sender));
        receiver.await.ok()
    }

    /// The number of listed endpoints that the decisions have ejected.
    pub async fn ejected_count(&self) -> usize {
        let (sender, receiver) = oneshot::channel();
        self.send(DriverInput::EjectedCount(sender));
        receiver.await.unwrap_or_default()
    }

    pub(crate) fn send(&self, input: DriverInput) {
        // The driver ends only with the process.
        let _ = self.inputs.send(input);
    }
}
