//! The maintenance file in the folder that a process shares with its successor.

use std::cell::Cell;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The maximum size of a file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;

const FILE_NAME: &str = "amberlever.maintenance";
/// The name of the file while it is being written.
const TEMPORARY_NAME: &str = "amberlever.maintenance.new";
const LOCK_NAME: &str = "amberlever.maintenance.lock";

/// Identifies a content of the file. Every process replaces the file by a rename, which gives it another
/// inode, so the size is not compared.
#[derive(Clone, Copy, PartialEq, Eq)]
struct MaintenanceFileFingerprint {
    inode: u64,
    modified: Option<SystemTime>,
}

impl MaintenanceFileFingerprint {
    fn of(path: &Path) -> Option<MaintenanceFileFingerprint> {
        let metadata = fs::metadata(path).ok()?;
        Some(MaintenanceFileFingerprint { inode: metadata.ino(), modified: metadata.modified().ok() })
    }
}

/// The result of a check of the file.
pub(super) enum FileChange {
    /// There is no file, or the content is the one that was read or written last.
    Unchanged,
    /// The content has changed, and cannot be read or is larger than [`MAX_FILE_BYTES`].
    Unreadable,
    /// The content has changed.
    Content(Vec<u8>),
}

/// The maintenance file of a folder.
pub(super) struct MaintenanceFile {
    folder: PathBuf,
    /// The fingerprint of the content that was read or written last; `None` before the first read.
    fingerprint: Cell<Option<MaintenanceFileFingerprint>>,
}

impl MaintenanceFile {
    /// Refers to the file in a folder without reading it.
    pub fn new(folder: PathBuf) -> MaintenanceFile {
        MaintenanceFile { folder, fingerprint: Cell::new(None) }
    }

    /// The path of the file.
    pub fn path(&self) -> PathBuf {
        self.folder.join(FILE_NAME)
    }

    /// Locks the file for a change, so that concurrent changes by two processes are both kept. Returns `None`
    /// if it cannot be locked.
    pub fn lock(&self) -> Option<File> {
        let path = self.folder.join(LOCK_NAME);
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path).ok()?;
        lock.lock().ok()?;
        Some(lock)
    }

    /// Reads the content if it is not the one that was read or written last.
    pub fn read_if_changed(&self) -> FileChange {
        let path = self.path();
        let fingerprint = MaintenanceFileFingerprint::of(&path);
        if fingerprint.is_none() || fingerprint == self.fingerprint.get() {
            return FileChange::Unchanged;
        }
        self.fingerprint.set(fingerprint);
        let has_valid_size = fs::metadata(&path).is_ok_and(|metadata| metadata.len() <= MAX_FILE_BYTES);
        if !has_valid_size {
            return FileChange::Unreadable;
        }
        fs::read(&path).map_or(FileChange::Unreadable, FileChange::Content)
    }

    /// Replaces the content. The file is not synced to disk, because it is meant for later processes while
    /// the machine is up.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written or renamed.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let path = self.path();
        let temporary = self.folder.join(TEMPORARY_NAME);
        let written = fs::write(&temporary, bytes).and_then(|()| fs::rename(&temporary, &path));
        self.fingerprint.set(MaintenanceFileFingerprint::of(&path));
        written
    }
}
