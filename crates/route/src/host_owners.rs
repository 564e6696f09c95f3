//! The owners of hosts: each host belongs to one, and none can take a host of another.

use crate::host_map::HostMap;
use crate::HostPattern;

/// The owners of hosts.
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
    /// Gives the hosts of a pattern to an owner.
    ///
    /// # Errors
    /// Another owner, of some of these hosts or of all hosts above them. [`HostPattern::Any`] leaves none to others.
    pub fn insert(&mut self, pattern: &HostPattern, owner: T) -> Result<(), T> {
        if let Some(other) = self.other_owner(pattern, &owner) {
            return Err(other.clone());
        }
        self.owners.set(pattern.clone(), owner);
        Ok(())
    }

    /// An owner other than this one that the pattern collides with.
    fn other_owner(&self, pattern: &HostPattern, owner: &T) -> Option<&T> {
        let is_other = |known: &&T| *known != owner;
        match pattern {
            HostPattern::Any => self.owners.values().find(is_other),
            HostPattern::Exact(name) => {
                let exact = self.owners.exact(name).filter(is_other);
                exact.or_else(|| self.owner_above(name).filter(is_other))
            }
            HostPattern::Subdomains(name) => {
                let below = self.owners.below(name).find(is_other);
                below.or_else(|| self.owner_above(name).filter(is_other))
            }
        }
    }

    /// The owner of the closest pattern that matches this host and others.
    fn owner_above(&self, name: &str) -> Option<&T> {
        self.owners.matching_as_subdomain(name).next()
    }

    /// The owner of a host in normal form.
    #[must_use]
    pub fn owner(&self, host: &str) -> Option<&T> {
        self.owners.matching(host).next()
    }
}
