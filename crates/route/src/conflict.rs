//! Detection of conflicts: pairs of routes that are equally specific and match a common request.

use std::collections::HashMap;
use std::fmt;

use crate::matcher::Qualifiers;
use crate::{HostPattern, Route};

/// The maximum number of conflicts that are reported.
const MAX_CONFLICTS: usize = 100;

/// Two routes of equal specificity that match a common request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The index of the earlier route.
    pub first: usize,
    /// The index of the later route.
    pub second: usize,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "routes {} and {} are equally specific and match a common request", self.first, self.second)
    }
}

/// The properties that are equal for any two routes in conflict. Routes with equal keys are compared in pairs
/// by [`crate::RouteMatcher::overlaps`].
#[derive(PartialEq, Eq, Hash)]
struct ConflictKey<'a> {
    host: &'a HostPattern,
    /// The path pattern without the names of its parameters.
    path: String,
    qualifiers: Qualifiers,
    class: Option<&'a str>,
    tenant: Option<&'a str>,
}

impl<'a> ConflictKey<'a> {
    fn new(route: &'a Route) -> ConflictKey<'a> {
        let matches = &route.matches;
        ConflictKey {
            host: &matches.host,
            path: matches.path.shape(),
            qualifiers: matches.qualifiers(),
            class: matches.class.as_deref(),
            tenant: matches.tenant.as_deref(),
        }
    }
}

/// Finds the conflicts among routes, in the order of the later route; at most [`MAX_CONFLICTS`].
pub fn find_conflicts(routes: &[Route]) -> Vec<Conflict> {
    let mut routes_by_key: HashMap<ConflictKey<'_>, Vec<usize>> = HashMap::new();
    let mut conflicts = Vec::new();
    for (second, route) in routes.iter().enumerate() {
        let same_key = routes_by_key.entry(ConflictKey::new(route)).or_default();
        for &first in same_key.iter().filter(|index| routes[**index].matches.overlaps(&route.matches)) {
            conflicts.push(Conflict { first, second });
            if conflicts.len() == MAX_CONFLICTS {
                return conflicts;
            }
        }
        same_key.push(second);
    }
    conflicts
}
