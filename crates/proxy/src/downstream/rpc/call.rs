//! One call of a JSON-RPC client: validated and accepted like a request, then submitted and answered.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jsonrpc::Call;
use tokio::time::Instant;

use super::response::{encode_request_error, CallId};
use crate::downstream::connection::DownstreamConnection;
use crate::downstream::dispatch::dispatch;
use crate::downstream::error::{into_result, InvalidRequest, RequestError};
use crate::downstream::request::{self, AcceptOutcome, AcceptedRequest};
use crate::downstream::ListenerState;
use crate::exchange::{DisconnectProbe, FinalResponse, RpcCall, UpstreamResponse};
use crate::metrics::{RequestOutcome, RequestRecorder};
use crate::panic_guard::catch_panic;
use crate::rpc_mapping;

/// A validated call; nothing has been sent upstream.
pub struct PreparedCall {
    /// The id as the client sent it; `None` for a notification or an unknown id.
    pub id: CallId,
    /// The normalized id that no other open call of the connection may have; `None` if the call reserves
    /// none.
    pub open_id: Option<String>,
    /// Whether no response is sent.
    pub is_notification: bool,
    state: CallState,
    recorder: RequestRecorder,
}

enum CallState {
    Accepted(Box<AcceptedRequest>),
    Replayed(FinalResponse),
    /// The request that the call is mapped to is invalid or rejected.
    Rejected(RequestError),
    /// The message is invalid; holds the encoded response.
    Invalid(Vec<u8>),
    /// The message gets no response.
    Ignored,
}

impl PreparedCall {
    /// Creates a call in place of a message that is not a call and gets no response. `is_alone` is true if
    /// the message is not part of a batch; it is then handled as a notification.
    pub fn ignored(is_alone: bool) -> PreparedCall {
        PreparedCall::new(None, is_alone, CallState::Ignored)
    }

    /// Creates a call in place of an invalid message, with its encoded response.
    pub fn invalid(id: CallId, response: Vec<u8>) -> PreparedCall {
        PreparedCall::new(id, false, CallState::Invalid(response))
    }

    fn new(id: CallId, is_notification: bool, state: CallState) -> PreparedCall {
        PreparedCall { id, open_id: None, is_notification, state, recorder: RequestRecorder::default() }
    }

    /// Validates a call and accepts or rejects it. `frame` is the frame that the call was read from; its
    /// bytes are shared, not copied.
    pub fn accept(
        listener: &ListenerState,
        connection: &DownstreamConnection,
        call: &Call<'_>,
        frame: &Bytes,
    ) -> PreparedCall {
        let id: CallId = call.id.map(ToOwned::to_owned);
        let is_notification = id.is_none();
        let mut prepared = PreparedCall::new(id, is_notification, CallState::Ignored);
        prepared.state = match route_and_accept(listener, connection, call, frame, &prepared.recorder) {
            Ok(AcceptOutcome::Accepted(accepted)) => CallState::Accepted(accepted),
            Ok(AcceptOutcome::Replayed(response)) => CallState::Replayed(response),
            Err(error) => {
                prepared.recorder.record(error.outcome());
                CallState::Rejected(error)
            }
        };
        prepared
    }

    /// Whether the limit on connections rejects the call, which closes its connection.
    pub fn is_over_connection_limit(&self) -> bool {
        matches!(&self.state, CallState::Rejected(error) if error.is_connection_limit())
    }

    /// The time that the client waits; `None` if the call is not submitted.
    pub fn client_timeout(&self) -> Option<Duration> {
        match &self.state {
            CallState::Accepted(accepted) => Some(accepted.client_timeout),
            _ => None,
        }
    }

    /// Replaces the client timeout of a call that is submitted.
    pub fn limit_timeout(&mut self, timeout: Duration) {
        if let CallState::Accepted(accepted) = &mut self.state {
            accepted.client_timeout = timeout;
        }
    }

    /// Submits the call, waits for its final response and encodes that; `None` if the call gets no response.
    pub async fn execute(
        self,
        listener: &ListenerState,
        disconnect_probe: &DisconnectProbe,
        received_at: Instant,
    ) -> Option<Vec<u8>> {
        let id = self.id.as_deref();
        let response = match self.state {
            CallState::Accepted(accepted) => {
                catch_panic(dispatch(listener, *accepted, disconnect_probe, received_at)).await
            }
            CallState::Replayed(response) => Some(response),
            CallState::Rejected(error) => return Some(encode_request_error(id, &error)),
            CallState::Invalid(response) => return Some(response),
            CallState::Ignored => return None,
        };
        Some(match response.map_or(Err(RequestError::Internal), into_result) {
            Ok(UpstreamResponse { headers, body }) => {
                self.recorder.record(RequestOutcome::Served);
                let body = body.buffered().unwrap_or_default();
                jsonrpc::encode_response(id, &rpc_mapping::http_response_to_result(&headers, &body))
            }
            Err(error) => {
                self.recorder.record(error.outcome());
                encode_request_error(id, &error)
            }
        })
    }
}

/// Routes a call by its equivalent HTTP request and accepts it.
fn route_and_accept(
    listener: &ListenerState,
    connection: &DownstreamConnection,
    call: &Call<'_>,
    frame: &Bytes,
    recorder: &RequestRecorder,
) -> Result<AcceptOutcome, RequestError> {
    let frontend = &listener.frontend;
    let router = Rc::clone(&frontend.router);
    let (mut head, class_of_method) = router.route_call(call)?;
    let body = rpc_mapping::call_to_http_body(&head, call, frame);
    let body_bytes = body.len() as u64;
    let mut routed = request::route(&*router, &connection.router_state, &mut head, body_bytes)?;
    if class_of_method.is_some_and(|class| class != routed.class) {
        return Err(InvalidRequest::MethodClassMismatch.into());
    }
    recorder.set_counters(routed.counters.take());
    recorder.on_received();
    let params = call.params.map(|params| frame.slice_ref(params.get().as_bytes()));
    let rpc_call = RpcCall { method: (*call.method).into(), params, received_over_http: false };
    routed.accept(head, body.into(), Some(rpc_call), &frontend.ids)
}
