//! The state of a request between the routing of its head and the arrival of its body.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decide::{Micros, NewRequest, RequestId, Semantics};
use hyper::body::Body;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request};

use super::{AcceptOutcome, AcceptedRequest};
use crate::body::{self, MessageBody, StreamedResponseLimit};
use crate::downstream::error::{InvalidRequest, RequestError};
use crate::exchange::{
    remove_hop_by_hop, ClientTimeout, RpcCall, IDEMPOTENCY_KEY_HEADER, MAX_BUFFERED_BODY_BYTES,
    REQUEST_ID_HEADER, TIMEOUT_HEADER,
};
use crate::idempotency_keys::{KeyLookup, KeyScope};
use crate::metrics::RequestCounters;
use crate::request_ids::OpenRequestIds;
use crate::router::{single_header_value, PoolSequence, Rejection, Router, RouterConnectionState};

/// The longest client timeout, in milliseconds: one day.
const MAX_CLIENT_TIMEOUT_MS: u64 = 24 * 3600 * 1000;
/// The maximum length of a request id or an idempotency key, in bytes.
const MAX_TOKEN_BYTES: usize = 128;
/// The header with the client's estimate of the work, in microseconds on a standard core.
const WORK_HEADER: &str = "x-cost";
/// The header by which a client marks a retry.
const RETRY_HEADER: &str = "x-retried";
const RETRY_VALUE: &str = "1";

/// A request with a routed head; the body may still be arriving.
pub struct RoutedRequest {
    decision_input: NewRequest,
    request_id: String,
    idempotency_key: Option<String>,
    /// Whether the request must not be executed twice.
    is_unsafe: bool,
    /// The open ids that the request's id must differ from; `None` for all ids of the listener.
    open_ids: Option<OpenRequestIds>,
    key_scope: Option<KeyScope>,
    rpc_method: Option<Arc<str>>,
    pools: Box<dyn PoolSequence>,
    /// The index of the class.
    pub class: usize,
    /// The counters of the class; `None` if the request is not counted.
    pub counters: Option<Rc<RequestCounters>>,
    /// The time that the client waits for the response.
    pub client_timeout: Duration,
    /// The maximum size of the request's and the response's body in bytes; `None` if they may not be
    /// streamed.
    streaming_limit: Option<u64>,
}

/// Validates and routes a head. `announced_body_bytes` has the meaning that it has in [`Router::route`].
///
/// # Errors
/// Returns an error if the head is invalid or the router rejects the request.
pub fn route(
    router: &dyn Router,
    router_state: &RouterConnectionState,
    head: &mut Parts,
    announced_body_bytes: u64,
) -> Result<RoutedRequest, RequestError> {
    let request_id = ensure_request_id(router, &mut head.headers)?;
    if announced_body_bytes > router.max_body_bytes() {
        return Err(InvalidRequest::BodyTooLarge.into());
    }
    let decision = router.route(head, &request_id, announced_body_bytes, router_state)?;
    let idempotency_key = idempotency_key(&head.headers, decision.semantics)?;
    let client_timeout = client_timeout(&head.headers, decision.deadline)?;
    let decision_input = NewRequest {
        id: RequestId(0),
        class: decision.class,
        tenant: decision.tenant,
        // Known once the pool is.
        lacks_key: false,
        time_left: 0,
        work: estimated_work(&head.headers)?,
        is_retry: header_value(&head.headers, RETRY_HEADER)? == Some(RETRY_VALUE),
        endpoint_filter: decision.pools.endpoint_filter(),
        max_attempts: decision.pools.max_attempts(),
        downstream_connections: None,
        body_pending: 0,
    };
    Ok(RoutedRequest {
        decision_input,
        request_id,
        idempotency_key,
        is_unsafe: decision.semantics == Semantics::AtMostOnce,
        open_ids: decision.open_request_ids,
        key_scope: decision.key_scope,
        rpc_method: decision.rpc_method,
        pools: decision.pools,
        class: decision.class,
        counters: decision.counters,
        client_timeout,
        streaming_limit: None,
    })
}

impl RoutedRequest {
    /// Allows the request's and the response's body to be streamed if the router accepts larger bodies than
    /// are buffered. JSON-RPC endpoints receive complete messages only, so their requests are never streamed.
    pub fn allow_streaming(&mut self, router: &dyn Router) {
        let limit = Some(router.max_body_bytes()).filter(|bytes| *bytes > MAX_BUFFERED_BODY_BYTES as u64);
        self.streaming_limit = limit.filter(|_| self.rpc_method.is_none());
    }

    /// Whether the body may be streamed.
    pub fn may_stream(&self) -> bool {
        self.streaming_limit.is_some()
    }

    /// Accepts the request with its body: reserves the id, and the idempotency key if there is one.
    ///
    /// # Errors
    /// Returns an error if another open request has the same id or key, or the key cannot be reserved.
    pub fn accept(
        mut self,
        mut head: Parts,
        body: MessageBody,
        call: Option<RpcCall>,
        listener_ids: &OpenRequestIds,
    ) -> Result<AcceptOutcome, RequestError> {
        let open_ids = self.open_ids.as_ref().unwrap_or(listener_ids);
        let id_claim = open_ids.claim(&self.request_id).ok_or(InvalidRequest::DuplicateRequestId)?;
        let reserved_key = match self.reserve_key()? {
            Some(KeyLookup::Reserved(key)) => Some(key),
            Some(KeyLookup::Replayed(response)) => return Ok(AcceptOutcome::Replayed(response)),
            None => None,
        };
        if let Some(stream) = body.streaming() {
            // A streamed body cannot be sent again.
            self.decision_input.max_attempts = 1;
            if stream.completed_at().is_none() {
                self.decision_input.body_pending = max_arrival_time(&body, self.streaming_limit);
            }
        }
        self.prepare_head(&mut head, &body, call, reserved_key.is_some());
        Ok(AcceptOutcome::Accepted(Box::new(AcceptedRequest {
            decision_input: self.decision_input,
            message: Rc::new(Request::from_parts(head, body)),
            pools: self.pools,
            client_timeout: self.client_timeout,
            reserved_key,
            id_claim,
            is_unsafe: self.is_unsafe,
        })))
    }

    /// Reserves the idempotency key; `None` if the request has no key.
    fn reserve_key(&mut self) -> Result<Option<KeyLookup>, Rejection> {
        match self.key_scope.take().zip(self.idempotency_key.take()) {
            Some((scope, key)) => scope.reserve(&key).map(Some),
            None => Ok(None),
        }
    }

    /// Converts a head to the form in which it is sent upstream.
    fn prepare_head(&self, head: &mut Parts, body: &MessageBody, call: Option<RpcCall>, has_key: bool) {
        remove_hop_by_hop(&mut head.headers);
        head.extensions.clear();
        head.version = hyper::Version::HTTP_11;
        if body.streaming().is_some() {
            head.extensions.insert(ClientTimeout(self.client_timeout));
        }
        // A response that is stored for replay must be buffered.
        if let Some(bytes) = self.streaming_limit.filter(|_| !has_key) {
            head.extensions.insert(StreamedResponseLimit(bytes));
        }
        if let Some(call) = call.or_else(|| self.rpc_method.clone().map(call_over_http)) {
            head.extensions.insert(call);
        }
    }
}

/// The maximum time that a body may still take to arrive, in microseconds.
fn max_arrival_time(body: &MessageBody, streaming_limit: Option<u64>) -> Micros {
    let bytes = body.size_hint().exact().or(streaming_limit).unwrap_or(MAX_BUFFERED_BODY_BYTES as u64);
    body::max_transfer_time(bytes).as_micros() as Micros
}

fn call_over_http(method: Arc<str>) -> RpcCall {
    RpcCall { method, params: None, received_over_http: true }
}

/// Returns the id of a request; generates one if the request has none and the router generates ids.
fn ensure_request_id(router: &dyn Router, headers: &mut HeaderMap) -> Result<String, InvalidRequest> {
    if header_value(headers, REQUEST_ID_HEADER)?.is_none() {
        if let Some(id) = router.generate_request_id().and_then(|id| HeaderValue::try_from(id).ok()) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
    }
    let id = header_value(headers, REQUEST_ID_HEADER)?.filter(|id| is_valid_token(id));
    id.map(str::to_owned).ok_or(InvalidRequest::MalformedRequestId)
}

/// Returns the idempotency key if the class uses keys. For other classes the key is only validated.
fn idempotency_key(headers: &HeaderMap, semantics: Semantics) -> Result<Option<String>, InvalidRequest> {
    let is_required = matches!(semantics, Semantics::Deduplicated { .. });
    let key = header_value(headers, IDEMPOTENCY_KEY_HEADER)?;
    let is_invalid = key.map_or(is_required, |key| !is_valid_token(key));
    if is_invalid {
        return Err(InvalidRequest::MalformedIdempotencyKey);
    }
    Ok(key.filter(|_| is_required).map(str::to_owned))
}

/// Returns the time that the client waits; the deadline of the class if the request has no timeout header.
fn client_timeout(headers: &HeaderMap, class_deadline: Micros) -> Result<Duration, InvalidRequest> {
    let range = 1..=MAX_CLIENT_TIMEOUT_MS;
    let milliseconds = match header_value(headers, TIMEOUT_HEADER)? {
        Some(text) => parse_digits(text)
            .filter(|milliseconds| range.contains(milliseconds))
            .ok_or(InvalidRequest::TimeoutOutOfRange)?,
        None => (class_deadline / 1000).clamp(1, MAX_CLIENT_TIMEOUT_MS as i64) as u64,
    };
    Ok(Duration::from_millis(milliseconds))
}

/// Returns the client's estimate of the work in microseconds. Malformed or zero estimates are ignored,
/// because the estimate is only a hint.
///
/// # Errors
/// Returns an error if the header is repeated or not text.
fn estimated_work(headers: &HeaderMap) -> Result<Option<Micros>, InvalidRequest> {
    let work = header_value(headers, WORK_HEADER)?.and_then(parse_digits);
    Ok(work.and_then(|micros| Micros::try_from(micros).ok()).filter(|micros| *micros > 0))
}

/// Returns the only value of a header; `None` if the header is absent.
fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, InvalidRequest> {
    single_header_value(headers, name).map_err(|_| InvalidRequest::AmbiguousHeader)
}

/// Whether the text is a valid id or key: 1 to [`MAX_TOKEN_BYTES`] printable characters, none of which ends
/// or separates header values.
fn is_valid_token(text: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    (1..=MAX_TOKEN_BYTES).contains(&text.len()) && text.bytes().all(is_valid)
}

/// Parses a whole number that consists of digits only.
fn parse_digits(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}
