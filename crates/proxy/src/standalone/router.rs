//! Routing of the requests of one listener in the standalone mode.

use std::rc::Rc;

use config::{Config, Listener};
use hyper::http::request::Parts;
use hyper::StatusCode;
use jsonrpc::Call;

use super::CurrentSnapshot;
use crate::idempotency_keys::KeyTable;
use crate::request_ids::RequestIdGenerator;
use crate::route_lookup::{resolve, ResolvedRoute};
use crate::router::{
    single_header_value, Rejection, RouteDecision, Router, RouterConnectionState, TENANT_HEADER,
};
use crate::rpc_mapping;

/// Routes the requests of one listener by the current snapshot.
pub(super) struct ListenerRouter {
    pub current: CurrentSnapshot,
    pub listener: Listener,
    pub id_generator: RequestIdGenerator,
    pub keys: KeyTable,
}

impl Router for ListenerRouter {
    fn route(
        &self,
        head: &mut Parts,
        id: &str,
        _: u64,
        _: &RouterConnectionState,
    ) -> Result<RouteDecision, Rejection> {
        let snapshot = Rc::clone(&self.current.borrow());
        check_tenant(&snapshot.config, head)?;
        let (pools, resolved) = resolve(snapshot, &self.listener, head, id, &self.keys)?;
        let ResolvedRoute { class, semantics, deadline, rpc_method, key_scope } = resolved;
        Ok(RouteDecision {
            open_request_ids: None,
            class,
            semantics,
            deadline,
            tenant: None,
            rpc_method,
            key_scope,
            counters: pools.counters(),
            pools: Box::new(pools),
        })
    }

    fn route_call(&self, call: &Call<'_>) -> Result<(Parts, Option<usize>), Rejection> {
        let snapshot = self.current.borrow();
        Ok(rpc_mapping::call_to_http_head(&snapshot.config.methods, &self.listener.host, call)?)
    }

    fn generate_request_id(&self) -> Option<String> {
        Some(self.id_generator.next())
    }

    fn is_ready(&self) -> bool {
        self.current.borrow().is_ready()
    }

    fn max_body_bytes(&self) -> u64 {
        self.current.borrow().config.limits.body_bytes
    }

    fn retry_after_in_whole_seconds(&self) -> bool {
        true
    }
}

/// Rejects a request of an unknown tenant if the configuration has tenants.
fn check_tenant(config: &Config, head: &Parts) -> Result<(), Rejection> {
    let Some(tenant) = single_header_value(&head.headers, TENANT_HEADER)? else { return Ok(()) };
    let is_known = config.tenants.is_empty() || config.tenants.iter().any(|known| known == tenant);
    if is_known {
        Ok(())
    } else {
        Err(StatusCode::BAD_REQUEST.into())
    }
}
