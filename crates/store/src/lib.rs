//! A store of numbered versions on disk.
//!
//! [`VersionStore`] is the interface; [`DiskStore`] implements it with an embedded transactional database
//! (redb: one file, copy on write, atomic commits). The two newest versions are also copied to separate
//! files, so that damage to the database loses only older versions: at the start the newest version with a
//! valid checksum is used, from the database or from a copy.
#![warn(missing_docs)]

mod disk;
mod record;

pub use disk::{DiskStore, OpenedStore};
pub use record::Record;

/// The reason why a version or value could not be stored or read, as one line of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError(pub String);

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StoreError {}

/// A store of versions, numbered from 1, and of a few small values by name.
pub trait VersionStore: Send {
    /// Stores a version. It is durable when this returns.
    ///
    /// # Errors
    /// Returns an error if the version was not stored. The newest version is then the previous one.
    fn append(&mut self, record: &Record) -> Result<(), StoreError>;

    /// Returns the version with this number. `None` if it is not stored or is damaged.
    fn get(&self, number: u64) -> Option<Record>;

    /// Returns at most `max` of the newest versions, newest first, without their bodies.
    fn list(&self, max: usize) -> Vec<Record>;

    /// Stores a value under a name.
    ///
    /// # Errors
    /// Returns an error if the value was not stored.
    fn put(&mut self, name: &str, value: &str) -> Result<(), StoreError>;

    /// Returns the value stored under a name. `None` if there is none or the store is damaged.
    fn value(&self, name: &str) -> Option<String>;
}

/// The number of retained versions. Older versions are removed.
pub const RETAINED_VERSIONS: u64 = 1_000;
