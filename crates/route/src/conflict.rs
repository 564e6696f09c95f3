//! Conflicts: routes that are equally specific and overlap.

use std::collections::HashMap;
use std::fmt;

use crate::matcher::Qualifiers;
use crate::{HostPattern, Route};

/// The most conflicts that are reported.
const MAX_CONFLICTS: usize = 100;

/// Two routes of equal specificity that one request would match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The index of one route.
    pub first: usize,
    /// The index of the other, which is larger.
    pub second: usize,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "routes {} and {} tie", self.first, self.second)
    }
}

/// What is equal for two routes in conflict, beside what is compared pair by pair.
#[derive(PartialEq, Eq, Hash)]
struct ConflictKey<'a> {
    host: &'a HostPattern,
    /// The path without the names of its parameters.
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

/// The conflicts among routes, in order; the first [`MAX_CONFLICTS`] of them.
pub fn find_conflicts(routes: &[Route]) -> Vec<Conflict> {
    let mut routes_by_key: HashMap<ConflictKey<'_>, Vec<usize>> = HashMap::new();
    let mut conflicts = Vec::new();
    for (second, route) in routes.iter().enumerate() {
        let alike = routes_by_key.entry(ConflictKey::new(route)).or_default();
        for &first in alike.iter().filter(|index| routes[**index].matches.overlaps(&route.matches)) {
            conflicts.push(Conflict { first, second });
            if conflicts.len() == MAX_CONFLICTS {
                return conflicts;
            }
        }
        alike.push(second);
    }
    conflicts
}
