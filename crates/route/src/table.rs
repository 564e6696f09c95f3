//! The table of routes: built once, looked up for each request.
//!
//! Hosts are found by their names, paths by a trie of segments: a lookup costs by the length of the path and the routes
//! that end at one node of the trie, not by the number of routes.

use std::collections::HashMap;

use crate::conflict::find_conflicts;
use crate::host_map::HostMap;
use crate::pattern::Segment;
use crate::{Conflict, HostPattern, NormalizedRequest, PathPattern, RequestAttributes, Route, RouteMatcher};

/// Routes, ready to be looked up.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    nodes: Vec<Node>,
    /// The roots of the tries of paths.
    roots: HostMap<NodeIndex>,
}

/// The index of a route; `u32` to halve the lists' memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RouteIndex(u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NodeIndex(u32);

/// A node of a trie.
#[derive(Clone, Debug, Default)]
struct Node {
    literals: HashMap<Box<str>, NodeIndex>,
    parameter: Option<NodeIndex>,
    /// The routes whose path ends here.
    exact_routes: Option<Box<NodeRoutes>>,
    /// The routes that match all paths below this one.
    prefix_routes: Option<Box<NodeRoutes>>,
}

/// The routes that end at one node, each list with the most specific first.
#[derive(Clone, Debug, Default)]
struct NodeRoutes {
    any_tenant: Vec<RouteIndex>,
    /// Many tenants may share a host and a path.
    by_tenant: HashMap<Box<str>, Vec<RouteIndex>>,
}

impl RouteTable {
    /// Builds a table.
    ///
    /// # Errors
    /// The pairs of routes in conflict, in order; the first 100 of them.
    pub fn build(routes: Vec<Route>) -> Result<RouteTable, Vec<Conflict>> {
        let conflicts = find_conflicts(&routes);
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        let mut table = RouteTable { routes, ..RouteTable::default() };
        let mut order: Vec<RouteIndex> = (0..table.routes.len() as u32).map(RouteIndex).collect();
        // So that the lists of each node are in order.
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

    /// The index of the node that is added next.
    fn next_node(&self) -> NodeIndex {
        NodeIndex(self.nodes.len() as u32)
    }

    fn node(&self, index: NodeIndex) -> &Node {
        &self.nodes[index.0 as usize]
    }

    fn node_mut(&mut self, index: NodeIndex) -> &mut Node {
        &mut self.nodes[index.0 as usize]
    }

    // ---- Looking up ----

    /// The most specific route for a request.
    #[must_use]
    pub fn lookup(&self, request: &NormalizedRequest<'_>) -> Option<&Route> {
        self.lookup_index(request).map(|index| &self.routes[index])
    }

    /// The index of the most specific route for a request.
    #[must_use]
    pub fn lookup_index(&self, request: &NormalizedRequest<'_>) -> Option<usize> {
        let path = request.path.strip_prefix('/')?;
        let mut roots = self.roots.matching(request.host);
        let route = roots.find_map(|root| self.find(*root, Some(path), &request.attributes))?;
        Some(route.0 as usize)
    }

    /// Looks on from a node with the rest of the path; none stands for its end.
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

    /// The most specific route of a node that matches the rest of the request.
    fn choose(&self, routes: Option<&NodeRoutes>, request: &RequestAttributes<'_>) -> Option<RouteIndex> {
        let routes = routes?;
        let of_tenant = request.tenant.and_then(|tenant| routes.by_tenant.get(tenant));
        let of_tenant = of_tenant.and_then(|routes| self.first_match(routes, request));
        let of_any_tenant = self.first_match(&routes.any_tenant, request);
        let matching = of_tenant.into_iter().chain(of_any_tenant);
        matching.min_by_key(|route| self.route(*route).matches.qualifiers())
    }

    fn first_match(&self, routes: &[RouteIndex], request: &RequestAttributes<'_>) -> Option<RouteIndex> {
        routes.iter().copied().find(|route| self.route(*route).matches.matches_attributes(request))
    }
}
