//! What the downstream side needs of the rest: where a request is routed, and what follows when a pool rejects it.

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
    /// Routes a request by its head, which it may normalize. `id` is the id of the request,
    /// `announced_body_bytes` the announced length of its body ([`MAX_BUFFERED_BODY_BYTES`] where none is announced, which
    /// is then not an upper bound), `router_state` the state that the router keeps for the client's connection.
    ///
    /// # Errors
    /// The rejection to answer with.
    fn route(
        &self,
        head: &mut Parts,
        id: &str,
        announced_body_bytes: u64,
        router_state: &RouterConnectionState,
    ) -> Result<RouteDecision, Rejection>;

    /// The HTTP head by which a JSON-RPC call is routed, and the index of its class where the method alone determines
    /// it.
    ///
    /// # Errors
    /// There is no such method, or its `params` cannot be read.
    fn route_call(&self, _call: &Call<'_>) -> Result<(Parts, Option<usize>), Rejection> {
        Err(StatusCode::NOT_FOUND.into())
    }

    /// An id for a request that came without one; none where clients have to give it.
    fn generate_request_id(&self) -> Option<String>;

    /// Whether there is an endpoint list.
    fn is_ready(&self) -> bool;

    /// The longest time that a client may wait for a response, as far as that is known before it sends a request.
    fn max_request_deadline(&self) -> Duration {
        Duration::ZERO
    }

    /// Whether the process is killed no later than [`Router::max_request_deadline`] after the signal to terminate.
    fn has_termination_deadline(&self) -> bool {
        false
    }

    /// Whether clients may have no other proxy to go to while this one shuts down.
    fn may_shut_down_alone(&self) -> bool {
        false
    }

    /// The largest request body, in bytes. One over [`MAX_BUFFERED_BODY_BYTES`] is streamed.
    fn max_body_bytes(&self) -> u64 {
        MAX_BUFFERED_BODY_BYTES as u64
    }

    /// Whether `Retry-After` is in whole seconds, as the HTTP standard has it.
    fn retry_after_in_whole_seconds(&self) -> bool;
}

/// The state that a router keeps with a client's connection for as long as that is open.
pub type RouterConnectionState = RefCell<Option<Box<dyn Any>>>;

/// Why a request is rejected before any attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The status to answer with.
    pub status: StatusCode,
    /// The limit, or the state of the idempotency key, that rejects it; as in `x-refusal-cause`.
    pub cause: Option<&'static str>,
    /// When capacity is expected, from now; 0 states no time.
    pub retry_after: Micros,
}

impl Rejection {
    /// The outcome that the request is counted under.
    pub fn request_outcome(&self) -> RequestOutcome {
        if self.status == StatusCode::TOO_MANY_REQUESTS {
            RequestOutcome::Rejected
        } else {
            RequestOutcome::Failed
        }
    }
}

impl From<StatusCode> for Rejection {
    fn from(status: StatusCode) -> Self {
        Rejection { status, cause: None, retry_after: 0 }
    }
}

/// Where a request is routed, and what follows from its route.
pub struct RouteDecision {
    /// The open request ids among which its own must be unique, where these are not all of the listener's.
    pub open_request_ids: Option<OpenRequestIds>,
    /// The index of its class.
    pub class: usize,
    /// Whether it may be retried.
    pub semantics: Semantics,
    /// The deadline of its class, from its arrival.
    pub deadline: Micros,
    /// The index of its tenant.
    pub tenant: Option<usize>,
    /// The JSON-RPC method to call, where a pool speaks JSON-RPC.
    pub rpc_method: Option<Arc<str>>,
    /// Where its idempotency key is looked up, if its class has keys.
    pub key_scope: Option<KeyScope>,
    /// The counters of its route, if it has any.
    pub counters: Option<Rc<RequestCounters>>,
    /// The pools that it may be sent to.
    pub pools: Box<dyn PoolSequence>,
}

/// The pools that a request may be sent to, one after the other as they reject it.
pub trait PoolSequence {
    /// The driver of the current pool.
    fn driver(&self) -> &DriverHandle;

    /// The endpoints of the current pool that the request may use, where not all.
    fn endpoint_filter(&self) -> Option<Arc<EndpointFilter>>;

    /// The most attempts in the current and later pools; 0 leaves that to the settings.
    fn max_attempts(&self) -> usize {
        0
    }

    /// Counts the attempts that are started.
    fn attempt_counter(&self) -> AttemptCounter {
        AttemptCounter::default()
    }

    /// What follows when the current pool rejects the request; with [`RejectionOutcome::NextPool`] the next one is
    /// current. `execution` tells whether an attempt can have been executed in the current pool.
    fn on_rejected(&mut self, execution: Execution) -> RejectionOutcome;
}

/// What follows when a pool rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionOutcome {
    /// The rejection is the final response.
    Final,
    /// The next pool is tried.
    NextPool,
    /// It may have been executed and must not be tried again, so it fails.
    Failed,
}

/// The one value of a header, if it is present.
///
/// # Errors
/// 400 if it is repeated, as clients and endpoints could pick different values, or is not text.
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
