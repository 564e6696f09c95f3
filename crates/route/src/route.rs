//! A route: the requests that it matches, and the pools and endpoints to which they are forwarded.

use crate::{Fallback, NormalizedRequest, PoolId, RouteMatcher, Split, SplitKey};

/// A route from a set of requests to pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name, by which operators refer to the route.
    pub name: String,
    /// The conditions on the requests that the route matches.
    pub matches: RouteMatcher,
    /// The class of the requests, as an index into the classes of the configuration.
    pub class: usize,
    /// The endpoints that the route may use.
    pub scope: EndpointScope,
    /// The preferred pools, with their weights.
    pub split: Split,
    /// The fallback pools, in the order of preference.
    pub fallbacks: Vec<Fallback>,
}

impl Route {
    /// Selects the preferred pool for a request. The request id is hashed if the request has no split key.
    #[must_use]
    pub fn preferred(&self, request: &NormalizedRequest<'_>, request_id: &str) -> PoolId {
        let key = match &self.split.key {
            SplitKey::RequestId => None,
            SplitKey::Header(name) => request.attributes.headers.get(name),
            SplitKey::PathParameter(name) => self.matches.path.parameter(request.path, name),
        };
        self.split.choose(key.unwrap_or(request_id).as_bytes())
    }

    /// The pools that the route may use.
    pub fn pools(&self) -> impl Iterator<Item = PoolId> + '_ {
        self.split.pools().chain(self.fallbacks.iter().map(|fallback| fallback.pool))
    }
}

/// The endpoints that a route may use in each pool; an empty list allows all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EndpointScope {
    /// The allowed zones of endpoints.
    pub zones: Vec<String>,
    /// The allowed kinds of machine.
    pub machine_kinds: Vec<String>,
    /// The allowed cells.
    pub cells: Vec<u64>,
}

impl EndpointScope {
    /// Whether all endpoints are allowed.
    #[must_use]
    pub fn is_all(&self) -> bool {
        self.zones.is_empty() && self.machine_kinds.is_empty() && self.cells.is_empty()
    }

    /// Whether an endpoint with these properties is allowed.
    #[must_use]
    pub fn allows(&self, zone: &str, machine_kind: &str, cell: Option<u64>) -> bool {
        is_empty_or_contains(&self.zones, zone)
            && is_empty_or_contains(&self.machine_kinds, machine_kind)
            && (self.cells.is_empty() || cell.is_some_and(|cell| self.cells.contains(&cell)))
    }
}

/// Whether a list allows a name; an empty list allows any name.
pub(crate) fn is_empty_or_contains(names: &[String], name: &str) -> bool {
    names.is_empty() || names.iter().any(|allowed| allowed == name)
}
