//! Lookup of an HTTP request's route in a configuration snapshot.

use std::rc::Rc;
use std::sync::Arc;

use config::Listener;
use decide::{Micros, Semantics};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{header, HeaderMap, StatusCode, Uri};
use route::{HeaderFields, RawRequest, RequestAttributes, RouteMatch};

use crate::idempotency_keys::{KeyScope, KeyTable};
use crate::router::{single_header_value, Rejection, CLASS_HEADER, TENANT_HEADER};
use crate::snapshot::{PoolSelection, ServingSnapshot};

/// The port that is omitted from a normalized `Host` field.
const DEFAULT_PORT: u16 = 80;

/// The headers of a request, in the form that the route table reads.
struct RequestHeaders<'a>(&'a HeaderMap);

impl HeaderFields for RequestHeaders<'_> {
    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name)?.to_str().ok()
    }
}

/// The properties of a request that follow from its route.
pub struct ResolvedRoute {
    /// The index of the class.
    pub class: usize,
    /// The semantics of the class, which decide whether the request may be retried.
    pub semantics: Semantics,
    /// The deadline of the class, in microseconds from the arrival of the request.
    pub deadline: Micros,
    /// The JSON-RPC method to call; `None` if the class has none or no pool speaks JSON-RPC.
    pub rpc_method: Option<Arc<str>>,
    /// The scope of the idempotency key; `None` if the class has no keys.
    pub key_scope: Option<KeyScope>,
}

/// Finds the route of a request and normalizes the head, so that the endpoint receives the host and path that
/// the route was looked up by. `id` is the id of the request, `keys` the table of the idempotency keys.
///
/// # Errors
/// Returns the rejection to answer with if the head is ambiguous or no route matches.
pub fn resolve(
    snapshot: Rc<ServingSnapshot>,
    listener: &Listener,
    head: &mut Parts,
    id: &str,
    keys: &KeyTable,
) -> Result<(PoolSelection, ResolvedRoute), Rejection> {
    let headers = RequestHeaders(&head.headers);
    let request = raw_request(head, &headers, listener)?;
    let found = snapshot.config.table.resolve(&request);
    let found =
        found.map_err(|error| StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST))?;
    let route = &snapshot.config.table.routes()[found.route];
    let preferred = route.preferred(&found.request(request.attributes), id);
    let route_index = found.route;
    let class = route.class;
    let changes = HeadChanges::new(&request, found);
    changes.apply(head)?;
    let resolved = resolved_route(&snapshot, class, keys);
    Ok((PoolSelection::new(snapshot, route_index, preferred), resolved))
}

fn raw_request<'a>(
    head: &'a Parts,
    headers: &'a RequestHeaders<'a>,
    listener: &'a Listener,
) -> Result<RawRequest<'a>, StatusCode> {
    let tenant = single_header_value(&head.headers, TENANT_HEADER)?;
    let zone = listener.zone_header.as_deref().and_then(|name| headers.get(name));
    let host = single_header_value(&head.headers, header::HOST.as_str())?.unwrap_or_default();
    let class = single_header_value(&head.headers, CLASS_HEADER)?;
    let attributes = RequestAttributes {
        method: head.method.as_str(),
        class,
        tenant,
        zone: zone.unwrap_or(&listener.zone),
        headers,
    };
    Ok(RawRequest { host, path: head.uri.path(), attributes })
}

/// The differences between a request as received and its normal form.
struct HeadChanges {
    path: Option<String>,
    host: Option<String>,
}

impl HeadChanges {
    fn new(request: &RawRequest<'_>, found: RouteMatch<'_>) -> HeadChanges {
        let host = match found.host.port {
            Some(port) if port != DEFAULT_PORT => format!("{}:{port}", found.host.name),
            _ => found.host.name.into_owned(),
        };
        HeadChanges {
            path: (*found.path != *request.path).then(|| found.path.into_owned()),
            host: (host != request.host).then_some(host),
        }
    }

    fn apply(self, head: &mut Parts) -> Result<(), StatusCode> {
        if let Some(path) = self.path {
            let target = match head.uri.query() {
                Some(query) => format!("{path}?{query}"),
                None => path,
            };
            let target = PathAndQuery::try_from(target).map_err(|_| StatusCode::BAD_REQUEST)?;
            head.uri = Uri::from(target);
        }
        if let Some(host) = self.host {
            let host = HeaderValue::try_from(host).map_err(|_| StatusCode::BAD_REQUEST)?;
            head.headers.insert(header::HOST, host);
        }
        Ok(())
    }
}

/// The properties of a request that follow from the class of its route.
fn resolved_route(snapshot: &ServingSnapshot, class: usize, keys: &KeyTable) -> ResolvedRoute {
    let class_config = &snapshot.config.classes[class];
    let semantics = class_config.parameters.semantics;
    let key_scope = match semantics {
        Semantics::Deduplicated { window, .. } => {
            Some(KeyScope { table: keys.clone(), class: class_config.name.as_str().into(), window })
        }
        Semantics::Idempotent | Semantics::AtMostOnce => None,
    };
    ResolvedRoute {
        class,
        semantics,
        deadline: class_config.parameters.deadline,
        rpc_method: snapshot.methods[class].clone(),
        key_scope,
    }
}
