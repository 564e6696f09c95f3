//! A route: which requests it matches, and where they go.

use crate::{Fallback, NormalizedRequest, PoolId, RouteMatcher, Split, SplitKey};

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for operators.
    pub name: String,
    /// The requests that it matches.
    pub matches: RouteMatcher,
    /// The class of its requests, by its index in the configuration.
    pub class: usize,
    /// The endpoints that it may use.
    pub scope: EndpointScope,
    /// The preferred pools.
    pub split: Split,
    /// The other pools, in order.
    pub fallbacks: Vec<Fallback>,
}

impl Route {
    /// The preferred pool for a request. `id` replaces a split key that the request does not have.
    #[must_use]
    pub fn preferred(&self, request: &NormalizedRequest<'_>, id: &str) -> PoolId {
        let key = match &self.split.key {
            SplitKey::RequestId => None,
            SplitKey::Header(name) => request.attributes.headers.get(name),
            SplitKey::PathParameter(name) => self.matches.path.parameter(request.path, name),
        };
        self.split.choose(key.unwrap_or(id).as_bytes())
    }

    /// All pools that it may use.
    pub fn pools(&self) -> impl Iterator<Item = PoolId> + '_ {
        self.split.pools().chain(self.fallbacks.iter().map(|fallback| fallback.pool))
    }
}

/// The endpoints that a route may use in each pool; empty lists allow all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EndpointScope {
    /// Zones of endpoints.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub machine_kinds: Vec<String>,
    /// Cells.
    pub cells: Vec<u64>,
}

impl EndpointScope {
    /// Whether it allows all endpoints.
    #[must_use]
    pub fn is_all(&self) -> bool {
        self.zones.is_empty() && self.machine_kinds.is_empty() && self.cells.is_empty()
    }

    /// Whether it allows an endpoint with these properties.
    #[must_use]
    pub fn allows(&self, zone: &str, machine_kind: &str, cell: Option<u64>) -> bool {
        is_empty_or_contains(&self.zones, zone)
            && is_empty_or_contains(&self.machine_kinds, machine_kind)
            && (self.cells.is_empty() || cell.is_some_and(|cell| self.cells.contains(&cell)))
    }
}

/// Whether a list of names allows this one; an empty list allows any.
pub(crate) fn is_empty_or_contains(names: &[String], name: &str) -> bool {
    names.is_empty() || names.iter().any(|allowed| allowed == name)
}
