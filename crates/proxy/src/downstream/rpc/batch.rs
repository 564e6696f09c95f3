//! Batches of calls, which are executed concurrently and answered together.

use std::rc::Rc;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::call::PreparedCall;
use super::response::{encode_bounded_batch, CallResponse};
use crate::downstream::ListenerState;
use crate::exchange::DisconnectProbe;

/// An executed call of a batch.
struct BatchEntry {
    /// The position of the call in the batch.
    position: usize,
    /// `None` if the call gets no response.
    response: Option<CallResponse>,
}

/// Executes calls concurrently and encodes their responses in the order of the calls; `None` if there are no
/// responses.
pub async fn execute_batch(
    mut calls: Vec<PreparedCall>,
    listener: Rc<ListenerState>,
    disconnect_probe: DisconnectProbe,
    received_at: Instant,
) -> Option<Vec<u8>> {
    limit_to_shortest_timeout(&mut calls);
    let mut responses: Vec<Option<CallResponse>> = Vec::new();
    responses.resize_with(calls.len(), || None);
    let mut running: JoinSet<BatchEntry> = JoinSet::new();
    for (position, call) in calls.into_iter().enumerate() {
        let listener = Rc::clone(&listener);
        let disconnect_probe = disconnect_probe.clone();
        running.spawn_local(async move {
            let id = call.id.clone();
            let message = call.execute(&listener, &disconnect_probe, received_at).await;
            BatchEntry { position, response: message.map(|message| CallResponse { id, message }) }
        });
    }
    while let Some(Ok(entry)) = running.join_next().await {
        responses[entry.position] = entry.response;
    }
    encode_bounded_batch(responses.into_iter().flatten())
}

/// Limits all calls of a batch to the shortest client timeout among them, because the batch is answered only
/// when its last call ends.
fn limit_to_shortest_timeout(calls: &mut [PreparedCall]) {
    let Some(shortest) = calls.iter().filter_map(PreparedCall::client_timeout).min() else { return };
    for call in calls {
        call.limit_timeout(shortest);
    }
}
