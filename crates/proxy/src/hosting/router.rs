//! Routing of the requests of one listener in the hosted mode: determines the tenant, enforces its limits and
//! looks up the route in its configuration.

use std::rc::Rc;

use config::Listener;
use hyper::http::request::Parts;
use hyper::{header, StatusCode};
use jsonrpc::Call;

use super::limits::{priority_rank, ConnectionPermit, LimitedPools};
use super::tenant::HostedTenant;
use super::tenants::HostedTenants;
use crate::request_ids::RequestIdGenerator;
use crate::route_lookup::{resolve, ResolvedRoute};
use crate::router::{
    single_header_value, Rejection, RouteDecision, Router, RouterConnectionState, TENANT_HEADER,
};
use crate::rpc_mapping;

/// Routes the requests of one listener to the pools of their tenants.
pub(super) struct TenantRouter {
    pub hosted: Rc<HostedTenants>,
    pub listener: Listener,
    pub id_generator: RequestIdGenerator,
}

impl TenantRouter {
    /// Returns the tenant of a request; rejects the request if its tenant header names another tenant.
    fn tenant_of_request(&self, head: &Parts) -> Result<Rc<HostedTenant>, Rejection> {
        let host = single_header_value(&head.headers, header::HOST.as_str())?.unwrap_or_default();
        let tenant = self.tenant_of_host(host)?;
        let claimed = single_header_value(&head.headers, TENANT_HEADER)?;
        if claimed.is_some_and(|claimed| claimed != tenant.name()) {
            return Err(StatusCode::FORBIDDEN.into());
        }
        Ok(tenant)
    }

    /// Returns the listener's tenant if it has one, else the tenant that owns this host.
    fn tenant_of_host(&self, host: &str) -> Result<Rc<HostedTenant>, Rejection> {
        let host = route::normalize::host(host).map_err(|_| StatusCode::BAD_REQUEST)?;
        let name = match &self.listener.tenant {
            Some(tenant) => Some(tenant.clone()),
            None => self.hosted.owner_of_host(&host.name),
        };
        let tenant = name.and_then(|name| self.hosted.get(&name));
        Ok(tenant.ok_or(StatusCode::NOT_FOUND)?)
    }

    /// Counts a connection towards this tenant's limit, and no longer towards that of another tenant that it
    /// served before.
    fn admit_connection(
        &self,
        tenant: &HostedTenant,
        connection: &RouterConnectionState,
    ) -> Result<(), Rejection> {
        let mut state = connection.borrow_mut();
        let permit = state.as_ref().and_then(|state| state.downcast_ref::<ConnectionPermit>());
        if permit.is_some_and(|permit| permit.tenant == tenant.id) {
            return Ok(());
        }
        let permit = ConnectionPermit::acquire(&self.hosted.limiter, tenant.id)?;
        // The assignment drops the permit of the former tenant. The drop borrows the limiter mutably, so the
        // limiter must not be borrowed here.
        *state = Some(Box::new(permit));
        Ok(())
    }
}

impl Router for TenantRouter {
    fn route(
        &self,
        head: &mut Parts,
        id: &str,
        body: u64,
        connection: &RouterConnectionState,
    ) -> Result<RouteDecision, Rejection> {
        let tenant = self.tenant_of_request(head)?;
        self.admit_connection(&tenant, connection)?;
        let snapshot = tenant.snapshot_for_request(&self.hosted.pool_context());
        let (selection, resolved) = resolve(Rc::clone(&snapshot), &self.listener, head, id, &tenant.keys)?;
        let ResolvedRoute { class, semantics, deadline, rpc_method, key_scope } = resolved;
        let counters = selection.counters();
        let rank = priority_rank(&snapshot.config, class);
        let pools = LimitedPools::admit(&self.hosted, tenant.id, rank, body, selection)?;
        Ok(RouteDecision {
            open_request_ids: Some(tenant.request_ids.clone()),
            class,
            semantics,
            deadline,
            tenant: None,
            rpc_method,
            key_scope,
            counters,
            pools: Box::new(pools),
        })
    }

    fn route_call(&self, call: &Call<'_>) -> Result<(Parts, Option<usize>), Rejection> {
        let config = self.tenant_of_host(&self.listener.host)?.config();
        Ok(rpc_mapping::call_to_http_head(&config.methods, &self.listener.host, call)?)
    }

    fn generate_request_id(&self) -> Option<String> {
        Some(self.id_generator.next())
    }

    fn is_ready(&self) -> bool {
        self.hosted.is_ready()
    }

    fn retry_after_in_whole_seconds(&self) -> bool {
        true
    }
}
