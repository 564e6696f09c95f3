//! What the I/O tasks tell the driver, and the handle by which they do.

use std::cell::Cell;
use std::rc::Rc;

use decide::learned::LearnedState;
use decide::{Endpoint, EndpointId, Micros, NewRequest, Outcome, RequestId, UpdateScope};
use tokio::sync::{mpsc, oneshot};

use crate::exchange::{Answer, Attempts, Client, Ended, Message};

/// Something that happened, as it waits for its turn.
pub enum DriverInput {
    Backends(UpdateScope, Vec<Endpoint>),
    Request(NewRequest, Rc<Message>, Client, Attempts, oneshot::Sender<Answer>),
    /// The body of a request has come whole.
    Came(RequestId),
    Ended(RequestId, usize, Ended),
    /// An attempt of a request that is over was called off: where to, when it was sent, and as what that counts.
    Dropped(RequestId, usize, (EndpointId, Micros), Outcome),
    ClientGone(RequestId),
    /// Set by the balancer of this seed, with this token.
    Timer(u64, u64),
    Told(u32, Vec<u8>),
    Probed {
        backend: EndpointId,
        sent: Micros,
        ended: Ended,
    },
    /// What others have learned, once there is a list.
    Learn(Vec<LearnedState>),
    /// Asks what was learned here.
    State(oneshot::Sender<LearnedState>),
    /// Asks how many listed nodes are avoided by choice.
    Avoided(oneshot::Sender<usize>),
}

/// What the I/O tasks tell the driver by.
#[derive(Clone)]
pub struct DriverHandle {
    inputs: mpsc::UnboundedSender<DriverInput>,
    last_id: Rc<Cell<u64>>,
}

impl DriverHandle {
    /// A handle, and where what it is told arrives.
    pub fn new() -> (DriverHandle, mpsc::UnboundedReceiver<DriverInput>) {
        let (inputs, arriving) = mpsc::unbounded_channel();
        (DriverHandle { inputs, last_id: Rc::default() }, arriving)
    }

    /// Hands over a request. Its answer comes at once or later; a receiver that is closed means that it failed.
    pub fn request(
        &self,
        mut new: NewRequest,
        message: Rc<Message>,
        client: Client,
        attempts: Attempts,
    ) -> (RequestId, oneshot::Receiver<Answer>) {
        new.id = RequestId(self.last_id.get() + 1);
        self.last_id.set(new.id.0);
        let (id, (sender, receiver)) = (new.id, oneshot::channel());
        self.tell(DriverInput::Request(new, message, client, attempts, sender));
        (id, receiver)
    }

    /// Nobody waits for this request any more: nothing is owed or sent for it from here on.
    pub fn client_disconnected(&self, id: RequestId) {
        self.tell(DriverInput::ClientGone(id));
    }

    pub fn endpoint_update(&self, scope: UpdateScope, entries: Vec<Endpoint>) {
        self.tell(DriverInput::Backends(scope, entries));
    }

    /// A message from the peer of this rank.
    pub fn gossip_received(&self, from: u32, message: Vec<u8>) {
        self.tell(DriverInput::Told(from, message));
    }

    /// What others have learned.
    pub fn import_learned_state(&self, told: Vec<LearnedState>) {
        self.tell(DriverInput::Learn(told));
    }

    /// What was learned here; nothing where the decisions panic over it.
    pub async fn learned_state(&self) -> Option<LearnedState> {
        let (sender, receiver) = oneshot::channel();
        self.tell(DriverInput::State(sender));
        receiver.await.ok()
    }

    /// How many listed nodes the decisions avoid by choice.
    pub async fn ejected_count(&self) -> usize {
        let (sender, receiver) = oneshot::channel();
        self.tell(DriverInput::Avoided(sender));
        receiver.await.unwrap_or_default()
    }

    pub(crate) fn tell(&self, input: DriverInput) {
        // The driver ends only with the process.
        let _ = self.inputs.send(input);
    }
}
