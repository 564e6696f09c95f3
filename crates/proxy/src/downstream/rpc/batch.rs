//! The calls of a batch, which are executed at the same time and answered together.

use std::rc::Rc;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::call::PreparedCall;
use super::response::{encode_bounded_batch, CallResponse};
use crate::downstream::ListenerState;
use crate::exchange::DisconnectProbe;

/// A call of a batch that has been executed.
struct BatchEntry {
    /// Its place in the batch.
    position: usize,
    /// None where it gets no response.
    response: Option<CallResponse>,
}

/// Executes calls at the same time, and encodes their responses in the order of the calls. None where there are none.
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

/// All calls of a batch wait for the last of them, so none may take longer than the shortest client timeout.
fn limit_to_shortest_timeout(calls: &mut [PreparedCall]) {
    let Some(shortest) = calls.iter().filter_map(PreparedCall::client_timeout).min() else { return };
    for call in calls {
        call.limit_timeout(shortest);
    }
}
