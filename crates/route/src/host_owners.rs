//! Ownership of hosts: each host has at most one owner, and patterns of different owners do not overlap.

use crate::host_map::HostMap;
use crate::HostPattern;

/// The owners of hosts, by host pattern.
#[derive(Clone, Debug)]
pub struct HostOwners<T> {
    owners: HostMap<T>,
}

impl<T> Default for HostOwners<T> {
    fn default() -> Self {
        HostOwners { owners: HostMap::default() }
    }
}

impl<T: Clone + PartialEq> HostOwners<T> {
    /// Assigns the hosts of a pattern to an owner.
    ///
    /// # Errors
    /// If the pattern overlaps with one of another owner, returns that owner. [`HostPattern::Any`] overlaps
    /// with every pattern.
    pub fn insert(&mut self, pattern: &HostPattern, owner: T) -> Result<(), T> {
        if let Some(other) = self.conflicting_owner(pattern, &owner) {
            return Err(other.clone());
        }
        self.owners.set(pattern.clone(), owner);
        Ok(())
    }

    /// Finds another owner with a pattern that overlaps with this one.
    fn conflicting_owner(&self, pattern: &HostPattern, owner: &T) -> Option<&T> {
        let is_other = |existing: &&T| *existing != owner;
        match pattern {
            HostPattern::Any => self.owners.values().find(is_other),
            HostPattern::Exact(name) => {
                let exact = self.owners.exact(name).filter(is_other);
                exact.or_else(|| self.wildcard_owner(name).filter(is_other))
            }
            HostPattern::Subdomains(name) => {
                let below = self.owners.below(name).find(is_other);
                below.or_else(|| self.wildcard_owner(name).filter(is_other))
            }
        }
    }

    /// The owner of the most specific wildcard pattern that matches this name.
    fn wildcard_owner(&self, name: &str) -> Option<&T> {
        self.owners.matching_wildcards(name).next()
    }

    /// The owner of a host in normal form.
    #[must_use]
    pub fn owner(&self, host: &str) -> Option<&T> {
        self.owners.matching(host).next()
    }
}
