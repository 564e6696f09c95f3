//! The conditions that a route sets for requests, and their specificity.

use std::cmp::Reverse;

use crate::pattern::SegmentRank;
use crate::route::is_empty_or_contains;
use crate::{HostPattern, NormalizedRequest, PathPattern, RequestAttributes};

/// The conditions that a route sets for requests; an empty field sets none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatcher {
    /// The pattern of the host.
    pub host: HostPattern,
    /// The pattern of the path.
    pub path: PathPattern,
    /// The accepted methods.
    pub methods: Vec<String>,
    /// The required headers with their values. Names are in lower case, and each occurs once.
    pub headers: Vec<(String, String)>,
    /// The class that the client has requested.
    pub class: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// The accepted zones of clients.
    pub zones: Vec<String>,
}

/// The specificity of a route; the smallest value is the most specific.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Specificity {
    host: HostRank,
    path: Vec<SegmentRank>,
    qualifiers: Qualifiers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HostRank {
    Exact,
    /// Compared by the length of the name; the longest is the most specific.
    Subdomains(Reverse<usize>),
    Any,
}

/// The criteria 3 to 7 of the precedence of routes; see the documentation of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Qualifiers {
    has_methods: Reverse<bool>,
    header_count: Reverse<usize>,
    has_class: Reverse<bool>,
    has_tenant: Reverse<bool>,
    has_zones: Reverse<bool>,
}

impl RouteMatcher {
    /// Whether a request matches.
    #[must_use]
    pub fn matches(&self, request: &NormalizedRequest<'_>) -> bool {
        self.host.matches(request.host)
            && self.path.matches(request.path)
            && self.matches_attributes(&request.attributes)
    }

    /// Whether a request matches, without regard to host and path.
    pub(crate) fn matches_attributes(&self, request: &RequestAttributes<'_>) -> bool {
        is_empty_or_contains(&self.methods, request.method)
            && is_none_or_equal(self.class.as_deref(), request.class)
            && is_none_or_equal(self.tenant.as_deref(), request.tenant)
            && is_empty_or_contains(&self.zones, request.zone)
            && self.headers.iter().all(|(name, value)| request.headers.get(name) == Some(value))
    }

    pub(crate) fn qualifiers(&self) -> Qualifiers {
        Qualifiers {
            has_methods: Reverse(!self.methods.is_empty()),
            header_count: Reverse(self.headers.len()),
            has_class: Reverse(self.class.is_some()),
            has_tenant: Reverse(self.tenant.is_some()),
            has_zones: Reverse(!self.zones.is_empty()),
        }
    }

    /// Computes the specificity.
    #[must_use]
    pub fn specificity(&self) -> Specificity {
        let host = match &self.host {
            HostPattern::Exact(_) => HostRank::Exact,
            HostPattern::Subdomains(name) => HostRank::Subdomains(Reverse(name.len())),
            HostPattern::Any => HostRank::Any,
        };
        Specificity { host, path: self.path.ranks(), qualifiers: self.qualifiers() }
    }

    /// Whether some request meets the conditions on methods, headers and zones of both matchers.
    pub(crate) fn overlaps(&self, other: &RouteMatcher) -> bool {
        have_common_name(&self.methods, &other.methods)
            && have_common_name(&self.zones, &other.zones)
            && self.headers.iter().all(|(name, value)| other.allows_header(name, value))
    }

    /// Whether the conditions allow this value of a header.
    fn allows_header(&self, name: &str, value: &str) -> bool {
        let required = self.headers.iter().find(|(required, _)| required == name);
        required.is_none_or(|(_, required_value)| required_value == value)
    }
}

fn is_none_or_equal(required: Option<&str>, given: Option<&str>) -> bool {
    required.is_none() || required == given
}

/// Whether two lists allow a common name; an empty list allows any name.
fn have_common_name(one: &[String], other: &[String]) -> bool {
    one.is_empty() || other.is_empty() || one.iter().any(|name| other.contains(name))
}
