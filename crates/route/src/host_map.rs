//! A map from host patterns to values, with lookup by pattern and by host.

use std::collections::HashMap;

use crate::HostPattern;

/// A map from host patterns to values.
#[derive(Clone, Debug)]
pub struct HostMap<T> {
    exact: HashMap<String, T>,
    /// The values for the subdomains of a name, by that name.
    subdomains: HashMap<String, T>,
    any: Option<T>,
}

impl<T> Default for HostMap<T> {
    fn default() -> Self {
        HostMap { exact: HashMap::new(), subdomains: HashMap::new(), any: None }
    }
}

impl<T> HostMap<T> {
    /// Returns the value for a pattern. If there is none, inserts `value` and returns it.
    pub fn get_or_insert(&mut self, pattern: HostPattern, value: T) -> &mut T {
        match pattern {
            HostPattern::Exact(name) => self.exact.entry(name).or_insert(value),
            HostPattern::Subdomains(name) => self.subdomains.entry(name).or_insert(value),
            HostPattern::Any => self.any.get_or_insert(value),
        }
    }

    /// Sets the value for a pattern.
    pub fn set(&mut self, pattern: HostPattern, value: T) {
        match pattern {
            HostPattern::Exact(name) => drop(self.exact.insert(name, value)),
            HostPattern::Subdomains(name) => drop(self.subdomains.insert(name, value)),
            HostPattern::Any => self.any = Some(value),
        }
    }

    /// The value for the pattern that matches this name only.
    pub fn exact(&self, name: &str) -> Option<&T> {
        self.exact.get(name)
    }

    /// The values for the patterns that match this host, most specific first. The host is in normal form.
    pub fn matching<'a, 'h>(&'a self, host: &'h str) -> impl Iterator<Item = &'a T> + use<'a, 'h, T> {
        self.exact.get(host).into_iter().chain(self.matching_wildcards(host))
    }

    /// The values for the wildcard patterns that match this host, most specific first.
    pub fn matching_wildcards<'a, 'h>(
        &'a self,
        host: &'h str,
    ) -> impl Iterator<Item = &'a T> + use<'a, 'h, T> {
        let dots = host.match_indices('.').filter(|_| !self.subdomains.is_empty());
        let suffixes = dots.map(|(dot, _)| &host[dot + 1..]);
        suffixes.filter_map(|suffix| self.subdomains.get(suffix)).chain(&self.any)
    }

    /// The values for the patterns that match only subdomains of this name.
    pub fn below<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a T> + use<'a, 'n, T> {
        let subdomains_of_name = HostPattern::Subdomains(name.to_owned());
        let pattern = subdomains_of_name.clone();
        let exact = self.exact.iter().filter(move |(host, _)| pattern.matches(host));
        let is_below = move |host: &str| host == name || subdomains_of_name.matches(host);
        let subdomains = self.subdomains.iter().filter(move |(host, _)| is_below(host));
        exact.chain(subdomains).map(|(_, value)| value)
    }

    /// The values for all patterns.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.exact.values().chain(self.subdomains.values()).chain(&self.any)
    }
}
