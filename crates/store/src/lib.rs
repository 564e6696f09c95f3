//! A store of numbered versions on disk.
//!
//! [`VersionStore`] is the interface; [`DiskStore`] implements it with an embedded transactional database (redb: one file,
//! copy on write, atomic commits). The two newest versions are also copied to files of their own, so that damage to the
//! database loses history alone: at the start the newest version with a valid checksum serves, wherever it is found.
#![warn(missing_docs)]

mod disk;
mod record;

pub use disk::{DiskStore, OpenedStore};
pub use record::Record;

/// Why something could not be stored or read, in a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError(pub String);

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StoreError {}

/// Versions, numbered from 1, and a few small values by name.
pub trait VersionStore: Send {
    /// Stores a version, durably when this returns.
    ///
    /// # Errors
    /// It was not stored; the newest version is the previous one.
    fn append(&mut self, record: &Record) -> Result<(), StoreError>;

    /// The version of a number, if it is stored and intact.
    fn get(&self, number: u64) -> Option<Record>;

    /// At most `max` of the newest versions, newest first, without their bodies.
    fn list(&self, max: usize) -> Vec<Record>;

    /// Stores a value under a name.
    ///
    /// # Errors
    /// It was not stored.
    fn put(&mut self, name: &str, value: &str) -> Result<(), StoreError>;

    /// The value of a name.
    fn value(&self, name: &str) -> Option<String>;
}

/// The number of versions that are retained; older ones are removed.
pub const RETAINED_VERSIONS: u64 = 1_000;
