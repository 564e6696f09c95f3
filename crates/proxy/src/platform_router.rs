//! The router of the platform's mode: one pool for all requests. The class is given by a header or the path,
//! and determines the HTTP method.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use decide::platform_settings::NameTable;
use decide::{EndpointFilter, Semantics, Settings};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};

use crate::body::MAX_STREAMED_BODY_BYTES;
use crate::exchange::Execution;
use crate::inbox::DriverHandle;
use crate::metrics::RequestCounters;
use crate::router::{
    single_header_value, PoolSequence, Rejection, RejectionOutcome, RouteDecision, Router,
    RouterConnectionState, CLASS_HEADER, TENANT_HEADER,
};

/// Routes every request to the platform's one pool.
pub struct PlatformRouter {
    /// The driver of the pool.
    pub driver: DriverHandle,
    /// The names of classes and tenants.
    pub names: NameTable,
    /// The settings of the classes and tenants.
    pub settings: Settings,
    /// Whether an endpoint list has been received.
    pub ready: Rc<Cell<bool>>,
    /// The request counters, by class index.
    pub class_counters: Vec<Rc<RequestCounters>>,
}

impl PlatformRouter {
    /// The index of the class named by the header, or by the first path segment if there is no header.
    /// Rejects a request whose header and path name different classes.
    fn class(&self, head: &Parts) -> Result<usize, StatusCode> {
        let path = head.uri.path().trim_start_matches('/');
        let first_segment = path.split('/').next().unwrap_or_default();
        let name = single_header_value(&head.headers, CLASS_HEADER)?.unwrap_or(first_segment);
        let class = self.names.class(name).ok_or(StatusCode::NOT_FOUND)?;
        if self.names.class(first_segment).is_some_and(|of_path| of_path != class) {
            return Err(StatusCode::BAD_REQUEST);
        }
        Ok(class)
    }

    /// The index of the tenant named by the header. If no tenants are configured, the name is ignored.
    fn tenant(&self, headers: &HeaderMap) -> Result<Option<usize>, StatusCode> {
        match single_header_value(headers, TENANT_HEADER)? {
            Some(name) if !self.settings.tenants.is_empty() => {
                self.names.tenant(name).map(Some).ok_or(StatusCode::BAD_REQUEST)
            }
            _ => Ok(None),
        }
    }
}

/// The HTTP method that requests with these semantics must have.
fn http_method(semantics: Semantics) -> Method {
    match semantics {
        Semantics::Idempotent => Method::GET,
        Semantics::Deduplicated { .. } | Semantics::AtMostOnce => Method::POST,
    }
}

impl Router for PlatformRouter {
    fn route(
        &self,
        head: &mut Parts,
        _: &str,
        _: u64,
        _: &RouterConnectionState,
    ) -> Result<RouteDecision, Rejection> {
        let class = self.class(head)?;
        let class_settings = &self.settings.classes[class];
        if head.method != http_method(class_settings.semantics) {
            return Err(StatusCode::METHOD_NOT_ALLOWED.into());
        }
        let tenant = self.tenant(&head.headers)?;
        Ok(RouteDecision {
            open_request_ids: None,
            class,
            semantics: class_settings.semantics,
            deadline: class_settings.deadline,
            tenant,
            rpc_method: None,
            key_scope: None,
            counters: self.class_counters.get(class).cloned(),
            pools: Box::new(SinglePool { driver: self.driver.clone() }),
        })
    }

    fn generate_request_id(&self) -> Option<String> {
        None
    }

    fn is_ready(&self) -> bool {
        self.ready.get()
    }

    fn longest_client_timeout(&self) -> Duration {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or_default().max(0) as u64)
    }

    fn has_termination_deadline(&self) -> bool {
        true
    }

    fn may_shut_down_alone(&self) -> bool {
        self.settings.may_shut_down_alone()
    }

    fn max_body_bytes(&self) -> u64 {
        MAX_STREAMED_BODY_BYTES
    }

    fn retry_after_in_whole_seconds(&self) -> bool {
        false
    }
}

/// A pool sequence of one pool without an endpoint filter.
struct SinglePool {
    driver: DriverHandle,
}

impl PoolSequence for SinglePool {
    fn driver(&self) -> &DriverHandle {
        &self.driver
    }

    fn endpoint_filter(&self) -> Option<Arc<EndpointFilter>> {
        None
    }

    fn on_rejected(&mut self, _: Execution) -> RejectionOutcome {
        RejectionOutcome::Final
    }
}
