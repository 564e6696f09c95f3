//! From the head of a request over HTTP to its route under a snapshot.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use config::Listener;
use decide::{Micros, Semantics};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{header, HeaderMap, StatusCode, Uri};
use route::{Fields, Sent};

use crate::idempotency_keys::{KeyScope, KeyTable};
use crate::router::{single_header_value, Rejection, CLASS_HEADER, TENANT_HEADER};
use crate::snapshot::{PoolSelection, Snapshot};

struct HeaderFields<'a>(&'a HeaderMap);

impl Fields for HeaderFields<'_> {
    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name)?.to_str().ok()
    }
}

/// Ids for requests that come without one.
pub struct RequestIdGenerator(Cell<u64>);

impl RequestIdGenerator {
    pub fn new(seed: u64, listener: usize) -> RequestIdGenerator {
        RequestIdGenerator(Cell::new(seed.wrapping_add((listener as u64) << 48)))
    }

    pub fn next(&self) -> String {
        // Steps of an odd number pass through all 64 bits before one comes again.
        let id = self.0.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.0.set(id);
        format!("{id:016x}")
    }
}

/// What is known of a request once it has its route.
pub struct ResolvedRoute {
    pub class: usize,
    pub semantics: Semantics,
    pub deadline: Micros,
    /// What it is called in JSON-RPC, where a pool speaks that.
    pub method: Option<Arc<str>>,
    /// Where its key is known.
    pub key_scope: Option<KeyScope>,
}

/// Finds the route of a request, and brings its head into the form that was routed by.
///
/// # Errors
/// What to turn it away with.
pub fn resolve(
    snapshot: Rc<Snapshot>,
    listener: &Listener,
    head: &mut Parts,
    id: &str,
    keys: &KeyTable,
) -> Result<(PoolSelection, ResolvedRoute), Rejection> {
    let config = &snapshot.config;
    let fields = HeaderFields(&head.headers);
    let tenant = single_header_value(&head.headers, TENANT_HEADER)?;
    let zone = listener.zone_header.as_deref().and_then(|name| fields.get(name));
    let sent = Sent {
        host: single_header_value(&head.headers, header::HOST.as_str())?.unwrap_or_default(),
        method: head.method.as_str(),
        path: head.uri.path(),
        class: single_header_value(&head.headers, CLASS_HEADER)?,
        tenant,
        zone: zone.unwrap_or(&listener.zone),
        fields: &fields,
    };
    let found = config
        .table
        .resolve(&sent)
        .map_err(|unrouted| StatusCode::from_u16(unrouted.status()).unwrap_or(StatusCode::BAD_REQUEST))?;
    let route = &config.table.routes()[found.route];
    let preferred = route.preferred(&sent.asked(&found.host.name, &found.path), id);
    let (place, class) = (found.route, route.class);
    // The node sees what was routed by.
    let path = (*found.path != *sent.path).then(|| found.path.into_owned());
    let host = match found.host.port {
        Some(port) if port != 80 => format!("{}:{port}", found.host.name),
        _ => found.host.name.into_owned(),
    };
    let host = (host != sent.host).then_some(host);
    if let Some(path) = path {
        let target = match head.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path,
        };
        let target = PathAndQuery::try_from(target).map_err(|_| StatusCode::BAD_REQUEST)?;
        head.uri = Uri::from(target);
    }
    if let Some(host) = host {
        let host = header::HeaderValue::try_from(host).map_err(|_| StatusCode::BAD_REQUEST)?;
        head.headers.insert(header::HOST, host);
    }
    let figures = &config.classes[class].parameters;
    let (semantics, deadline) = (figures.semantics, figures.deadline);
    let method = snapshot.methods[class].clone();
    let once = match semantics {
        Semantics::Deduplicated { window, .. } => {
            let class = config.classes[class].name.as_str().into();
            Some(KeyScope { table: keys.clone(), class, window })
        }
        Semantics::Idempotent | Semantics::AtMostOnce => None,
    };
    let known = ResolvedRoute { class, semantics, deadline, method, key_scope: once };
    Ok((PoolSelection::new(snapshot, place, preferred), known))
}
