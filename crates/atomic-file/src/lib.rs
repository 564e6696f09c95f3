//! Files that are replaced atomically: a crash at any moment, or a power loss that drops, tears and reorders all that was not
//! synced, leaves either the previous file or the new one.
//!
//! Each [`AtomicFileStore::put`] writes a new file under a temporary name, syncs it, renames it to its number, and syncs the folder.
//! Only then are older files removed, down to a given count. [`AtomicFileStore::newest_valid`] returns the newest file that its
//! decoder accepts, so that damage costs one file and not all.
#![warn(missing_docs)]

mod folder;
mod storage;
mod store;

pub use folder::{Folder, OpenError};
pub use storage::FileStorage;
pub use store::{newest_valid, AtomicFileStore};

/// The largest file that is written or read, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 << 20;
