//! The interface between the downstream side and the modes: the routing of requests, and the handling of a
//! pool's rejection.

use std::any::Any;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decide::{EndpointFilter, Micros, Semantics};
use hyper::http::request::Parts;
use hyper::StatusCode;
use jsonrpc::Call;

use crate::exchange::{AttemptCounter, Execution, MAX_BUFFERED_BODY_BYTES};
use crate::idempotency_keys::KeyScope;
use crate::inbox::DriverHandle;
use crate::metrics::{RequestCounters, RequestOutcome};
use crate::request_ids::OpenRequestIds;

/// The header with the priority class that a client requests.
pub const CLASS_HEADER: &str = "x-priority-class";
/// The header with the tenant of a request.
pub const TENANT_HEADER: &str = "x-tenant-id";

/// Routes requests.
pub trait Router {
    /// Routes a request by its head, which the router may normalize. `id` is the id of the request,
    /// `announced_body_bytes` the announced length of its body ([`MAX_BUFFERED_BODY_BYTES`] if none is
    /// announced; the body may then be longer), `router_state` the state that the router attaches to the
    /// client's connection.
    ///
    /// # Errors
    /// Returns the rejection to answer with.
    fn route(
        &self,
        head: &mut Parts,
        id: &str,
        announced_body_bytes: u64,
        router_state: &RouterConnectionState,
    ) -> Result<RouteDecision, Rejection>;

    /// Returns the HTTP head by which a JSON-RPC call is routed, and the index of its class if the method
    /// alone determines the class.
    ///
    /// # Errors
    /// Returns an error if there is no such method or its `params` cannot be converted.
    fn route_call(&self, _call: &Call<'_>) -> Result<(Parts, Option<usize>), Rejection> {
        Err(StatusCode::NOT_FOUND.into())
    }

    /// Generates an id for a request that arrived without one; `None` if clients must send an id.
    fn generate_request_id(&self) -> Option<String>;

    /// Whether the pools have endpoint lists, so that requests can be served.
    fn is_ready(&self) -> bool;

    /// The longest client timeout that is known before any request arrives; 0 if none is known.
    fn longest_client_timeout(&self) -> Duration {
        Duration::ZERO
    }

    /// Whether the process is killed soon after [`Router::longest_client_timeout`] has passed since the
    /// signal to terminate, even if requests are open.
    fn has_termination_deadline(&self) -> bool {
        false
    }

    /// Whether this proxy may be the only one available to clients while it shuts down.
    fn may_shut_down_alone(&self) -> bool {
        false
    }

    /// The largest request body, in bytes. Bodies over [`MAX_BUFFERED_BODY_BYTES`] are streamed.
    fn max_body_bytes(&self) -> u64 {
        MAX_BUFFERED_BODY_BYTES as u64
    }

    /// Whether `Retry-After` is in whole seconds, as the HTTP standard requires.
    fn retry_after_in_whole_seconds(&self) -> bool;
}

/// State that a router attaches to a client's connection while the connection is open.
pub type RouterConnectionState = RefCell<Option<Box<dyn Any>>>;

/// The value of a retry time if none is known.
pub const NO_RETRY_AFTER: Micros = 0;

/// The rejection of a request before any attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The status to answer with.
    pub status: StatusCode,
    /// The limit or the state of the idempotency key that rejects the request; the value of
    /// `x-refusal-cause`.
    pub cause: Option<&'static str>,
    /// The expected time until capacity is available, in microseconds, or [`NO_RETRY_AFTER`].
    pub retry_after: Micros,
}

impl Rejection {
    /// The outcome under which the request is counted.
    pub fn request_outcome(&self) -> RequestOutcome {
        if matches!(self.status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            RequestOutcome::Rejected
        } else {
            RequestOutcome::Failed
        }
    }
}

impl From<StatusCode> for Rejection {
    fn from(status: StatusCode) -> Self {
        Rejection { status, cause: None, retry_after: NO_RETRY_AFTER }
    }
}

/// The route of a request: the pools, and the properties that follow from the route.
pub struct RouteDecision {
    /// The open ids among which the request's id must be unique; `None` for all ids of the listener.
    pub open_request_ids: Option<OpenRequestIds>,
    /// The index of the class.
    pub class: usize,
    /// The semantics of the class, which decide whether the request may be retried.
    pub semantics: Semantics,
    /// The deadline of the class, in microseconds from the arrival of the request.
    pub deadline: Micros,
    /// The index of the tenant in the settings of the balancer; `None` if it is not listed there.
    pub tenant: Option<usize>,
    /// The JSON-RPC method to call; `None` if the class has none or no pool speaks JSON-RPC.
    pub rpc_method: Option<Arc<str>>,
    /// The scope of the idempotency key; `None` if the class has no keys.
    pub key_scope: Option<KeyScope>,
    /// The counters of the route; `None` if requests are not counted.
    pub counters: Option<Rc<RequestCounters>>,
    /// The pools that the request may be sent to.
    pub pools: Box<dyn PoolSequence>,
}

/// The pools that a request may be sent to, in order; the next pool is tried if the current one rejects the
/// request.
pub trait PoolSequence {
    /// The driver of the current pool.
    fn driver(&self) -> &DriverHandle;

    /// The endpoints of the current pool that the request may use; `None` for all.
    fn endpoint_filter(&self) -> Option<Arc<EndpointFilter>>;

    /// The maximum number of attempts in the current and later pools; 0 for the number in the settings.
    fn max_attempts(&self) -> usize {
        0
    }

    /// The counter of the attempts that are started.
    fn attempt_counter(&self) -> AttemptCounter {
        AttemptCounter::default()
    }

    /// Handles the rejection of the request by the current pool. On [`RejectionOutcome::NextPool`] the next
    /// pool becomes current. `execution` indicates whether an attempt may have been executed in the current
    /// pool.
    fn on_rejected(&mut self, execution: Execution) -> RejectionOutcome;
}

/// The consequence of a pool's rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionOutcome {
    /// The rejection is the final response.
    Final,
    /// The next pool is tried.
    NextPool,
    /// The request may have been executed and must not be tried again, so it fails.
    Failed,
}

/// Returns the only value of a header; `None` if the header is absent.
///
/// # Errors
/// Returns 400 if the header is not text, or is repeated: this proxy and endpoints could then pick different
/// values.
pub fn single_header_value<'a>(
    headers: &'a hyper::HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, StatusCode> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(StatusCode::BAD_REQUEST);
    }
    first.map(|value| value.to_str()).transpose().map_err(|_| StatusCode::BAD_REQUEST)
}
