//! The types exchanged between the downstream side (connections of clients) and the upstream side (attempts
//! at endpoints): a request, the result of one attempt, the final response.
//!
//! This module does no I/O and makes no decisions.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decide::{LoadReport, Micros, Outcome};
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Request};

use crate::body::MessageBody;

/// The largest body that is buffered, in bytes. A buffered body can be sent again by a retry; a larger body
/// is streamed if the route allows it, and rejected otherwise.
pub const MAX_BUFFERED_BODY_BYTES: usize = config::MAX_BUFFERED_BODY_BYTES as usize;
/// The largest head of a message, in bytes. This is roughly the memory that an HTTP connection uses.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with the idempotency key of a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The header with the remaining time of a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// A request as it is sent to an endpoint.
pub type UpstreamRequest = Request<MessageBody>;

/// How long the client waits for the response, from the last byte of its request. An extension of an
/// [`UpstreamRequest`] whose body is streamed.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeout(pub Duration);

/// The JSON-RPC form of a request. An extension of its [`UpstreamRequest`].
#[derive(Clone, Debug)]
pub struct RpcCall {
    /// The method to call.
    pub method: Arc<str>,
    /// The `params` as the client sent them over JSON-RPC; `None` if it sent none, or if the request came
    /// over HTTP.
    pub params: Option<Bytes>,
    /// Whether the client sent the request over HTTP, in which case its HTTP method and path carry
    /// information.
    pub received_over_http: bool,
}

/// Reports whether the client that waits for a response has disconnected.
#[derive(Clone, Default)]
pub struct DisconnectProbe(Option<Rc<dyn Fn() -> bool>>);

impl DisconnectProbe {
    /// Creates a probe that calls `is_disconnected`. The default probe never reports a disconnect.
    pub fn new(is_disconnected: impl Fn() -> bool + 'static) -> DisconnectProbe {
        DisconnectProbe(Some(Rc::new(is_disconnected)))
    }

    /// Whether the client has closed the connection or its sending side. If so, no further attempt is
    /// started.
    pub fn is_disconnected(&self) -> bool {
        self.0.as_ref().is_some_and(|is_disconnected| is_disconnected())
    }
}

/// Counts the attempts that were started for a request over all pools. Clones share the count, so that it can
/// still be read after the client has disconnected.
#[derive(Clone, Debug, Default)]
pub struct AttemptCounter(Rc<AttemptCounts>);

#[derive(Debug, Default)]
struct AttemptCounts {
    started: Cell<usize>,
    is_write_started: Cell<bool>,
    is_key_missing: Cell<bool>,
}

impl AttemptCounter {
    /// The number of attempts started so far.
    pub fn started(&self) -> usize {
        self.0.started.get()
    }

    /// Counts the start of an attempt.
    pub fn increment(&self) {
        self.0.started.set(self.0.started.get() + 1);
    }

    /// Records that an attempt is being written, so that the request may be executed.
    pub fn note_write(&self) {
        self.0.is_write_started.set(true);
    }

    /// Whether any attempt was written, at least in part.
    pub fn is_write_started(&self) -> bool {
        self.0.is_write_started.get()
    }

    /// Records that a pool sends the request without its idempotency key.
    pub fn note_missing_key(&self) {
        self.0.is_key_missing.set(true);
    }

    /// Whether endpoints may have received the request without its idempotency key.
    pub fn started_without_key(&self) -> bool {
        self.0.is_key_missing.get() && self.started() > 0
    }
}

/// The response of an endpoint, without hop-by-hop headers.
#[derive(Clone, Debug)]
pub struct UpstreamResponse {
    /// The headers of the response, whose status is always 200.
    pub headers: HeaderMap,
    /// The body of the response, buffered or streamed.
    pub body: MessageBody,
}

/// Whether an endpoint may have executed an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No attempt can have been executed, so a retry in another pool is safe as well.
    RuledOut,
    /// An attempt may have been executed.
    Possible,
}

/// The final response to a client.
#[derive(Debug)]
pub enum FinalResponse {
    /// The response of an endpoint.
    Served(UpstreamResponse),
    /// The balancer rejected the request. A retry by the client is safe.
    Rejected {
        /// The time after which to retry, in microseconds from now, or
        /// [`NO_RETRY_AFTER`](crate::router::NO_RETRY_AFTER).
        retry_after: Micros,
        /// Whether an attempt may have been executed.
        execution: Execution,
    },
    /// There is no response, and the request may have been executed.
    Failed,
    /// There is no response because an attempt timed out, and the request may have been executed.
    TimedOut,
}

/// The result of an attempt or of a health check.
pub struct AttemptResult {
    /// The outcome of the attempt or health check.
    pub outcome: Outcome,
    /// The load that the endpoint reported, if any.
    pub load_report: Option<LoadReport>,
    /// The response of an attempt whose outcome is [`Outcome::Ok`]; `None` otherwise.
    pub response: Option<UpstreamResponse>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load_report: None, response: None }
    }
}

/// Removes the headers that apply to a single connection, and those that hyper writes itself.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed_by_connection: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').filter_map(|name| name.trim().parse().ok()))
        .collect();
    let fixed = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    for name in listed_by_connection.iter().chain(&fixed) {
        headers.remove(name);
    }
}
