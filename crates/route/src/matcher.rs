//! What a route asks of a request, and how specific that is.

use std::cmp::Reverse;

use crate::pattern::SegmentRank;
use crate::route::is_empty_or_contains;
use crate::{HostPattern, NormalizedRequest, PathPattern, RequestAttributes};

/// What a route asks of a request; an empty field asks nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatcher {
    /// The host.
    pub host: HostPattern,
    /// The path.
    pub path: PathPattern,
    /// Any one of these methods.
    pub methods: Vec<String>,
    /// All of these headers with these values; names in lower case, each once.
    pub headers: Vec<(String, String)>,
    /// The class that the client requests.
    pub class: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// Any one of these zones of clients.
    pub zones: Vec<String>,
}

/// How specific a route is; the smallest comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Specificity {
    host: HostRank,
    path: Vec<SegmentRank>,
    qualifiers: Qualifiers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HostRank {
    Exact,
    /// By the length of the name.
    Subdomains(Reverse<usize>),
    Any,
}

/// Steps 3 to 7 of the order of routes; see the crate's documentation.
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

    /// Whether a request matches in all but host and path.
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

    /// How specific it is.
    #[must_use]
    pub fn specificity(&self) -> Specificity {
        let host = match &self.host {
            HostPattern::Exact(_) => HostRank::Exact,
            HostPattern::Subdomains(name) => HostRank::Subdomains(Reverse(name.len())),
            HostPattern::Any => HostRank::Any,
        };
        Specificity { host, path: self.path.ranks(), qualifiers: self.qualifiers() }
    }

    /// Whether some request matches both, as far as methods, headers and zones go.
    pub(crate) fn overlaps(&self, other: &RouteMatcher) -> bool {
        have_common_name(&self.methods, &other.methods)
            && have_common_name(&self.zones, &other.zones)
            && self.headers.iter().all(|(name, value)| other.allows_header(name, value))
    }

    /// Whether it does not require another value of this header.
    fn allows_header(&self, name: &str, value: &str) -> bool {
        let required = self.headers.iter().find(|(required, _)| required == name);
        required.is_none_or(|(_, required_value)| required_value == value)
    }
}

fn is_none_or_equal(required: Option<&str>, given: Option<&str>) -> bool {
    required.is_none() || required == given
}

/// Whether two lists, of which an empty one allows any name, allow a common one.
fn have_common_name(one: &[String], other: &[String]) -> bool {
    one.is_empty() || other.is_empty() || one.iter().any(|name| other.contains(name))
}
