//! What a front needs of the rest: where a request goes, and what becomes of it when it is refused there.

use std::any::Any;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decide::platform_settings::NameTable;
use decide::{Class, EndpointFilter, Micros, Semantics, Settings};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use jsonrpc::Call;

use crate::body::MOST_FLOW;
use crate::exchange::{Attempts, MOST_BODY};
use crate::idempotency_keys::KeyScope;
use crate::inbox::DriverHandle;
use crate::metrics::{RequestCounters, RequestOutcome};
use crate::request_ids::OpenRequestIds;

/// Says where requests go.
pub trait Router {
    /// Where a request goes, by its head; may bring the head into a normal form. `id` is the request's own.
    ///
    /// `body` is the most bytes that its body may take; `connection` is where it came in.
    ///
    /// # Errors
    /// What to turn it away with.
    fn route(
        &self,
        head: &mut Parts,
        id: &str,
        body: u64,
        connection: &Connection,
    ) -> Result<RouteDecision, Rejection>;

    /// A call in the form of HTTP, by whose head it then has its way; and the class, by index, if the method alone says
    /// it.
    ///
    /// # Errors
    /// There is no such method, or its `params` cannot be read.
    fn route_call(&self, _call: &Call<'_>) -> Result<(Parts, Option<usize>), Rejection> {
        Err(StatusCode::NOT_FOUND.into())
    }

    /// An id for a request that came without one. None where callers have to give it.
    fn new_id(&self) -> Option<String>;

    /// Is there a list of nodes?
    fn is_ready(&self) -> bool;

    /// The longest time that a client may wait for an answer, as far as that is known before any has.
    fn longest_wait(&self) -> Duration {
        Duration::ZERO
    }

    /// Is that all that counts, and does a kill follow the word to end that soon?
    fn has_termination_deadline(&self) -> bool {
        false
    }

    /// May callers have nowhere else to go while this proxy ends?
    fn may_end_alone(&self) -> bool {
        false
    }

    /// The largest body, in bytes. One that is larger than what is held whole flows.
    fn largest_body(&self) -> u64 {
        MOST_BODY as u64
    }

    /// Is `Retry-After` in whole seconds, as ordinary clients read it?
    fn whole_seconds(&self) -> bool;
}

/// What a router keeps with a caller's connection for as long as that is open.
pub type Connection = RefCell<Option<Box<dyn Any>>>;

/// What a request is turned away with, before anything is sent on for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub status: StatusCode,
    /// Why, where that is a limit.
    pub cause: Option<&'static str>,
    /// When there may be room; 0 says nothing.
    pub retry_after: Micros,
}

impl Rejection {
    /// What it is counted as.
    pub fn fate(&self) -> RequestOutcome {
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

/// Where a request goes, and what is then known of it.
pub struct RouteDecision {
    /// The ids of open requests that its own must differ from, where these are not all of the front's.
    pub ids: Option<OpenRequestIds>,
    pub class: usize,
    pub semantics: Semantics,
    pub deadline: Micros,
    pub tenant: Option<usize>,
    /// What it is called in JSON-RPC, where a pool speaks that.
    pub method: Option<Arc<str>>,
    /// Where its key is known, if it has one.
    pub key_scope: Option<KeyScope>,
    /// Where it is counted, if it is.
    pub counters: Option<Rc<RequestCounters>>,
    pub pools: Box<dyn PoolSequence>,
}

/// The pools that a request passes through, from one to the next where it is refused.
pub trait PoolSequence {
    /// The decisions that it is handed to.
    fn driver(&self) -> &DriverHandle;

    /// The nodes that it may use, where not all.
    fn endpoint_filter(&self) -> Option<Arc<EndpointFilter>>;

    /// The attempts that it may have from here on; 0 leaves that to the settings.
    fn max_attempts(&self) -> usize {
        0
    }

    /// Counts those that are begun.
    fn attempt_counter(&self) -> Attempts {
        Attempts::default()
    }

    /// What a refusal there comes to; `never_ran` where no attempt can have run.
    fn on_rejected(&mut self, never_ran: bool) -> RejectionOutcome;
}

/// What a refusal comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionOutcome {
    /// That is the answer.
    Final,
    /// It goes on to the next pool.
    NextPool,
    /// It may have run, and would be tried elsewhere: a refusal would promise too much.
    Failed,
}

/// The platform's one pool, whose classes stand in the path and tell the method.
pub struct PlatformRouter {
    pub handle: DriverHandle,
    pub names: NameTable,
    pub settings: Settings,
    /// Says whether there is a list of backends.
    pub ready: Rc<std::cell::Cell<bool>>,
    /// Where its classes are counted.
    pub counts: Vec<Rc<RequestCounters>>,
}

struct SinglePool(DriverHandle);

impl PoolSequence for SinglePool {
    fn driver(&self) -> &DriverHandle {
        &self.0
    }

    fn endpoint_filter(&self) -> Option<Arc<EndpointFilter>> {
        None
    }

    fn on_rejected(&mut self, _: bool) -> RejectionOutcome {
        RejectionOutcome::Final
    }
}

impl Router for PlatformRouter {
    fn route(&self, head: &mut Parts, _: &str, _: u64, _: &Connection) -> Result<RouteDecision, Rejection> {
        let first = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let named = single_header_value(&head.headers, CLASS_HEADER)?.unwrap_or(first);
        let class = self.names.class(named).ok_or(StatusCode::NOT_FOUND)?;
        if self.names.class(first).is_some_and(|of_path| of_path != class) {
            return Err(StatusCode::BAD_REQUEST.into());
        }
        let Class { semantics, deadline, .. } = self.settings.classes[class];
        let method = match semantics {
            Semantics::Idempotent => Method::GET,
            Semantics::Deduplicated { .. } | Semantics::AtMostOnce => Method::POST,
        };
        if head.method != method {
            return Err(StatusCode::METHOD_NOT_ALLOWED.into());
        }
        let tenant = match single_header_value(&head.headers, TENANT_HEADER)? {
            // Where there are no tenants the name says nothing.
            Some(name) if !self.settings.tenants.is_empty() => {
                Some(self.names.tenant(name).ok_or(StatusCode::BAD_REQUEST)?)
            }
            _ => None,
        };
        let course = Box::new(SinglePool(self.handle.clone()));
        let counts = self.counts.get(class).cloned();
        Ok(RouteDecision {
            ids: None,
            class,
            semantics,
            deadline,
            tenant,
            method: None,
            key_scope: None,
            counters: counts,
            pools: course,
        })
    }

    fn new_id(&self) -> Option<String> {
        None
    }

    fn is_ready(&self) -> bool {
        self.ready.get()
    }

    fn longest_wait(&self) -> Duration {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or_default().max(0) as u64)
    }

    fn has_termination_deadline(&self) -> bool {
        true
    }

    fn may_end_alone(&self) -> bool {
        self.settings.may_shut_down_alone()
    }

    fn largest_body(&self) -> u64 {
        MOST_FLOW
    }

    fn whole_seconds(&self) -> bool {
        false
    }
}

/// The class that a caller names.
pub const CLASS_HEADER: &str = "x-priority-class";
/// The tenant.
pub const TENANT_HEADER: &str = "x-tenant-id";

/// The one value of a header, if it is there; repeated ones could be read in two ways.
pub fn single_header_value<'a>(
    headers: &'a hyper::HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, StatusCode> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(StatusCode::BAD_REQUEST);
    }
    first.map(|v| v.to_str()).transpose().map_err(|_| StatusCode::BAD_REQUEST)
}
