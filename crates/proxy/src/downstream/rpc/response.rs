//! Encodes the responses to JSON-RPC clients: results, errors and batches.

use decide::Micros;
use hyper::StatusCode;
use jsonrpc::{code, encode_batch, encode_error, InvalidMessage};
use serde_json::json;
use serde_json::value::RawValue;

use crate::downstream::error::{DownstreamError, RequestError, UpstreamError};
use crate::idempotency_keys;

/// The maximum total size of a batch's responses, in bytes; responses beyond it are replaced by errors.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// The cause that clients receive if load is shed.
const LOAD_CAUSE: &str = "load";

const REJECTED: &str = "refused; trying again is harmless";
const INTERNAL_FAULT: &str = "a fault of the proxy";

/// The id of a call as the client sent it; `None` for a notification or an unknown id.
pub type CallId = Option<Box<RawValue>>;

/// The response to a call, with the call's id.
pub struct CallResponse {
    /// `None` if the id is unknown.
    pub id: CallId,
    /// The encoded message.
    pub message: Vec<u8>,
}

/// A JSON-RPC error without the id of its call.
struct RpcError {
    code: i64,
    message: &'static str,
    /// The `data` member, as JSON.
    data: Option<String>,
}

impl RpcError {
    fn new(code: i64, message: &'static str) -> RpcError {
        RpcError { code, message, data: None }
    }
}

/// Encodes the response to a call that failed.
pub fn encode_request_error(id: Option<&RawValue>, error: &RequestError) -> Vec<u8> {
    let RpcError { code, message, data } = rpc_error(error);
    encode_error(id, code, message, data.as_deref())
}

/// Encodes the response to an invalid message.
pub fn encode_invalid_message(invalid: &InvalidMessage<'_>) -> Vec<u8> {
    encode_error(invalid.id, invalid.code, invalid.reason, None)
}

/// Encodes the response to a call with the same id as an open call of the connection.
pub fn encode_duplicate_id(id: &RawValue) -> Vec<u8> {
    encode_error(Some(id), code::CONFLICT, "a call with this id is open here", None)
}

fn rpc_error(error: &RequestError) -> RpcError {
    match error {
        RequestError::Downstream(error) => {
            let data = error.cause().map(|cause| rejection_data(cause, error.retry_after()));
            RpcError { data, ..downstream_error(error) }
        }
        RequestError::Upstream(UpstreamError::Shed { retry_after }) => {
            let data = Some(rejection_data(LOAD_CAUSE, *retry_after));
            RpcError { data, ..RpcError::new(code::REJECTED, REJECTED) }
        }
        RequestError::Upstream(UpstreamError::Failed) => {
            RpcError::new(code::FAILED, "failed; it may have run")
        }
        RequestError::Upstream(UpstreamError::TimedOut) => {
            RpcError::new(code::TIMED_OUT, "out of time; it may have run")
        }
        RequestError::Internal => RpcError::new(code::INTERNAL_ERROR, INTERNAL_FAULT),
    }
}

fn downstream_error(error: &DownstreamError) -> RpcError {
    let (code, message) = match error.status() {
        StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => (code::METHOD_NOT_FOUND, "no such method"),
        StatusCode::CONFLICT if error.cause() == Some(idempotency_keys::RESPONSE_EVICTED_CAUSE) => {
            (code::CONFLICT, "a request with this key was served, and its answer is not held any more")
        }
        StatusCode::CONFLICT if error.cause() == Some(idempotency_keys::RESULT_UNKNOWN_CAUSE) => {
            (code::CONFLICT, "a request with this key may have run, and its result is not known")
        }
        StatusCode::CONFLICT => (code::CONFLICT, "a request with this id or key is open"),
        StatusCode::FORBIDDEN => (code::INVALID_PARAMS, "not this tenant's"),
        StatusCode::PAYLOAD_TOO_LARGE => (code::TOO_LARGE, "more bytes than are taken"),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => (code::REJECTED, REJECTED),
        status if status.is_client_error() => (code::INVALID_PARAMS, "params that cannot be taken"),
        _ => (code::INTERNAL_ERROR, INTERNAL_FAULT),
    };
    RpcError::new(code, message)
}

/// The `data` member of a rejection as JSON: the cause, and the time to wait before a retry unless
/// `retry_after` is 0.
fn rejection_data(cause: &str, retry_after: Micros) -> String {
    let mut data = json!({ "cause": cause });
    if retry_after > 0 {
        let milliseconds = retry_after.saturating_add(999) / 1000;
        data["retryAfterMs"] = milliseconds.into();
    }
    data.to_string()
}

/// Encodes the response to a batch from the responses to its calls; `None` if there are none.
pub fn encode_bounded_batch(responses: impl Iterator<Item = CallResponse>) -> Option<Vec<u8>> {
    let mut total_bytes = 0;
    let bounded = responses.map(|CallResponse { id, message }| {
        if total_bytes + message.len() > MAX_BATCH_BYTES {
            let reason = "it ran, and its answer found no room in the batch's";
            return encode_error(id.as_deref(), code::TOO_LARGE, reason, None);
        }
        total_bytes += message.len();
        message
    });
    encode_batch(&bounded.collect::<Vec<_>>())
}
