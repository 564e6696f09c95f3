//! The key `match` of a route.

use route::{HostPattern, PathPattern, RouteMatcher};

use super::MatcherFile;
use crate::checker::{is_token, Checker, NameIndex, SpannedString};

/// The header fields that `match` has a key for, and that key.
const FIELDS_WITH_KEYS: [(&str, &str); 3] =
    [("host", "host"), ("x-priority-class", "class"), ("x-tenant-id", "tenant")];

impl Checker<'_> {
    pub(super) fn matcher(&mut self, file: &MatcherFile, tenants: &[String]) -> RouteMatcher {
        let mut matcher = RouteMatcher::default();
        if let Some(host) = &file.host {
            matcher.host = HostPattern::parse(host.get_ref()).unwrap_or_else(|error| {
                self.report(host.span(), format!("`host`: {error}"), None);
                HostPattern::Any
            });
        }
        if let Some(path) = &file.path {
            matcher.path = PathPattern::parse(path.get_ref()).unwrap_or_else(|error| {
                self.report(path.span(), format!("`path`: {error}"), None);
                PathPattern::default()
            });
        }
        for method in &file.methods {
            self.match_method(method, &mut matcher);
        }
        for (name, value) in &file.headers {
            self.match_header(name, value, &mut matcher);
        }
        matcher.class = file.class.as_ref().map(|class| class.get_ref().clone());
        if let Some(tenant) = &file.tenant {
            let names: NameIndex = tenants.iter().cloned().zip(0..).collect();
            self.resolve("tenant", tenant, &names);
            matcher.tenant = Some(tenant.get_ref().clone());
        }
        for zone in &file.zones {
            // A route may match any zone: clients' zones come from listeners or from a header.
            self.zones.intern(zone.get_ref());
            matcher.zones.push(zone.get_ref().clone());
        }
        matcher
    }

    fn match_method(&mut self, method: &SpannedString, matcher: &mut RouteMatcher) {
        let name = method.get_ref();
        if !is_token(name) || name.bytes().any(|byte| byte.is_ascii_lowercase()) {
            let help = format!("methods are in capitals; write {:?}", name.to_ascii_uppercase());
            self.report(method.span(), format!("`methods`: {name:?} is no method"), Some(help));
        }
        if matcher.methods.contains(name) {
            self.report(method.span(), format!("`methods`: {name} is there twice"), None);
        }
        matcher.methods.push(name.clone());
    }

    fn match_header(&mut self, name: &str, value: &SpannedString, matcher: &mut RouteMatcher) {
        let field = name.to_ascii_lowercase();
        if !is_token(name) {
            self.report(value.span(), format!("`headers`: {name:?} is no header field"), None);
        }
        if let Some((_, key)) = FIELDS_WITH_KEYS.iter().find(|(reserved, _)| *reserved == field) {
            let help = format!("write match.{key} instead");
            self.report(value.span(), format!("`headers`: {field} has a key of its own"), Some(help));
        }
        if matcher.headers.iter().any(|(other, _)| *other == field) {
            self.report(value.span(), format!("`headers`: {field} is there twice"), None);
        }
        matcher.headers.push((field, value.get_ref().clone()));
    }
}
