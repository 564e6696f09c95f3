//! The table of routes, which is built once and searched for each request.
//!
//! Hosts are looked up in hash maps, paths in a trie of segments. The cost of a lookup depends on the length
//! of the path, on the number of nodes of the trie that match the beginning of the path (a literal and a
//! parameter may both match a segment), and on the number of routes that end at one node, but not on the
//! total number of routes.

use std::collections::HashMap;

use crate::conflict::find_conflicts;
use crate::host_map::HostMap;
use crate::pattern::Segment;
use crate::{Conflict, HostPattern, NormalizedRequest, PathPattern, RequestAttributes, Route, RouteMatcher};

/// An immutable table of routes, indexed by host and path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    nodes: Vec<Node>,
    /// The root of the trie of paths for each host pattern.
    roots: HostMap<NodeIndex>,
}

/// The index of a route; a `u32` halves the memory of the lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RouteIndex(u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NodeIndex(u32);

/// A node of the trie of path segments.
#[derive(Clone, Debug, Default)]
struct Node {
    literals: HashMap<Box<str>, NodeIndex>,
    parameter: Option<NodeIndex>,
    /// The routes whose pattern ends at this node without `/*`.
    exact_routes: Option<Box<NodeRoutes>>,
    /// The routes whose pattern ends at this node with `/*`.
    prefix_routes: Option<Box<NodeRoutes>>,
}

/// The routes that end at one node; each list begins with the most specific route.
#[derive(Clone, Debug, Default)]
struct NodeRoutes {
    any_tenant: Vec<RouteIndex>,
    /// The routes for one tenant, by its name; hashed because many tenants may share a host and a path.
    by_tenant: HashMap<Box<str>, Vec<RouteIndex>>,
}

impl RouteTable {
    /// Builds a table from routes in any order.
    ///
    /// # Errors
    /// If routes are in conflict, returns the pairs, ordered by the later route; at most 100.
    pub fn build(routes: Vec<Route>) -> Result<RouteTable, Vec<Conflict>> {
        let conflicts = find_conflicts(&routes);
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        let mut table = RouteTable { routes, ..RouteTable::default() };
        let mut order: Vec<RouteIndex> = (0..table.routes.len() as u32).map(RouteIndex).collect();
        // Sorted, so that the lists of each node are in order of specificity.
        order.sort_by_key(|route| table.route(*route).matches.qualifiers());
        for route in order {
            table.insert(route);
        }
        Ok(table)
    }

    /// The routes in the order in which they were given.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    fn route(&self, index: RouteIndex) -> &Route {
        &self.routes[index.0 as usize]
    }

    // ---- Building ----

    fn insert(&mut self, route: RouteIndex) {
        let RouteMatcher { host, path, tenant, .. } = self.route(route).matches.clone();
        let PathPattern { segments, is_prefix } = path;
        let mut index = self.root_for(host);
        for segment in segments {
            index = self.child_for(index, segment);
        }
        let node = self.node_mut(index);
        let routes = if is_prefix { &mut node.prefix_routes } else { &mut node.exact_routes };
        let routes = routes.get_or_insert_default();
        match tenant {
            Some(tenant) => routes.by_tenant.entry(tenant.into()).or_default().push(route),
            None => routes.any_tenant.push(route),
        }
    }

    fn root_for(&mut self, host: HostPattern) -> NodeIndex {
        let new = self.next_node();
        let root = *self.roots.get_or_insert(host, new);
        if root == new {
            self.nodes.push(Node::default());
        }
        root
    }

    fn child_for(&mut self, parent: NodeIndex, segment: Segment) -> NodeIndex {
        let new = self.next_node();
        let node = self.node_mut(parent);
        let child = match segment {
            Segment::Literal(text) => *node.literals.entry(text.into()).or_insert(new),
            Segment::Parameter(_) => *node.parameter.get_or_insert(new),
        };
        if child == new {
            self.nodes.push(Node::default());
        }
        child
    }

    /// The index of the next node to be added.
    fn next_node(&self) -> NodeIndex {
        NodeIndex(self.nodes.len() as u32)
    }

    fn node(&self, index: NodeIndex) -> &Node {
        &self.nodes[index.0 as usize]
    }

    fn node_mut(&mut self, index: NodeIndex) -> &mut Node {
        &mut self.nodes[index.0 as usize]
    }

    // ---- Lookup ----

    /// Finds the most specific route for a request.
    #[must_use]
    pub fn lookup(&self, request: &NormalizedRequest<'_>) -> Option<&Route> {
        self.lookup_index(request).map(|index| &self.routes[index])
    }

    /// Finds the index of the most specific route for a request.
    #[must_use]
    pub fn lookup_index(&self, request: &NormalizedRequest<'_>) -> Option<usize> {
        let path = request.path.strip_prefix('/')?;
        let mut roots = self.roots.matching(request.host);
        let route = roots.find_map(|root| self.find(*root, Some(path), &request.attributes))?;
        Some(route.0 as usize)
    }

    /// Continues a lookup from a node with the rest of the path; `None` at the end of the path. If no route
    /// is found below the literal child, backtracks to the parameter, then to the prefix routes of this node.
    fn find(
        &self,
        index: NodeIndex,
        rest: Option<&str>,
        request: &RequestAttributes<'_>,
    ) -> Option<RouteIndex> {
        let node = self.node(index);
        let Some(rest) = rest else { return self.choose(node.exact_routes.as_deref(), request) };
        let (segment, next) = match rest.split_once('/') {
            Some((segment, next)) => (segment, Some(next)),
            None => (rest, None),
        };
        let literal = node.literals.get(segment).copied();
        let parameter = node.parameter.filter(|_| !segment.is_empty());
        literal
            .and_then(|child| self.find(child, next, request))
            .or_else(|| parameter.and_then(|child| self.find(child, next, request)))
            .or_else(|| self.choose(node.prefix_routes.as_deref(), request))
    }

    /// Chooses the most specific of the routes at a node whose conditions the attributes of the request meet.
    fn choose(&self, routes: Option<&NodeRoutes>, request: &RequestAttributes<'_>) -> Option<RouteIndex> {
        let routes = routes?;
        let tenant_route = request.tenant.and_then(|tenant| routes.by_tenant.get(tenant));
        let tenant_route = tenant_route.and_then(|routes| self.first_match(routes, request));
        let any_tenant_route = self.first_match(&routes.any_tenant, request);
        let matching = tenant_route.into_iter().chain(any_tenant_route);
        matching.min_by_key(|route| self.route(*route).matches.qualifiers())
    }

    fn first_match(&self, routes: &[RouteIndex], request: &RequestAttributes<'_>) -> Option<RouteIndex> {
        routes.iter().copied().find(|route| self.route(*route).matches.matches_attributes(request))
    }
}
