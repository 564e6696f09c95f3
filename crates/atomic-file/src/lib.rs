//! Files that are replaced atomically: a crash at any time, or a power loss that drops, tears and reorders
//! writes that were not synced, leaves either the previous file or the new one.
//!
//! Each [`AtomicFileStore::put`] writes a new file under a temporary name, syncs it, renames it to its
//! number, and syncs the folder. Only then are older files removed, down to a given number.
//! [`AtomicFileStore::newest_valid`] returns the newest file that the given decoder accepts, so that damage
//! loses one file and not all.
#![warn(missing_docs)]

mod folder;
mod storage;
mod store;

pub use folder::{Folder, OpenError};
pub use storage::FileStorage;
pub use store::{newest_valid, AtomicFileStore};

/// The largest file that is written or read, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 << 20;
