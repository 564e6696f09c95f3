//! Files that are replaced atomically: a crash at any time, or a power loss that drops, tears and reorders
//! writes that were not synced, leaves either the previous file or the new one.
//!
//! Each [`AtomicFileStore::put`] writes a new file under a temporary name, syncs it, renames it to the next
//! number, and syncs the folder. Then the oldest files above the configured number of files are removed.
//! [`AtomicFileStore::newest_valid`] returns the newest file that the given decoder accepts, so that an older
//! file is used if the newest one is damaged.
#![warn(missing_docs)]

mod folder;
mod storage;
mod store;

pub use folder::{Folder, OpenError};
pub use storage::FileStorage;
pub use store::{newest_valid, AtomicFileStore};

/// The maximum size of a file that is written or read, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 << 20;
