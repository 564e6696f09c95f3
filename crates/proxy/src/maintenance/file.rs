//! The maintenance file in the folder that a process shares with its successor.

use std::cell::Cell;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;

const FILE_NAME: &str = "amberlever.maintenance";
/// The name of a file that is being written.
const TEMPORARY_NAME: &str = "amberlever.maintenance.new";
const LOCK_NAME: &str = "amberlever.maintenance.lock";

/// Tells one content of the file from another.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    modified: Option<SystemTime>,
}

impl FileVersion {
    fn of(path: &Path) -> Option<FileVersion> {
        let metadata = fs::metadata(path).ok()?;
        Some(FileVersion { inode: metadata.ino(), modified: metadata.modified().ok() })
    }
}

/// The file, and which content of it was read or written last.
pub(super) struct MaintenanceFile {
    folder: PathBuf,
    version: Cell<Option<FileVersion>>,
}

impl MaintenanceFile {
    /// The file in this folder, not read yet.
    pub fn new(folder: PathBuf) -> MaintenanceFile {
        MaintenanceFile { folder, version: Cell::new(None) }
    }

    /// Where it is.
    pub fn path(&self) -> PathBuf {
        self.folder.join(FILE_NAME)
    }

    /// Locks the file for a change, so that changes that two processes make at once are both kept; `None` where it cannot be
    /// locked.
    pub fn lock(&self) -> Option<File> {
        let path = self.folder.join(LOCK_NAME);
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path).ok()?;
        lock.lock().ok()?;
        Some(lock)
    }

    /// The content, where it is not the one that was read or written last; `Some(None)` where that cannot be read.
    pub fn read_if_changed(&self) -> Option<Option<Vec<u8>>> {
        let path = self.path();
        let version = FileVersion::of(&path);
        if version.is_none() || version == self.version.get() {
            return None;
        }
        self.version.set(version);
        let has_valid_size = fs::metadata(&path).is_ok_and(|metadata| metadata.len() <= MAX_FILE_BYTES);
        Some(if has_valid_size { fs::read(&path).ok() } else { None })
    }

    /// Replaces the content. It is not synced: it is for processes that follow on this machine.
    ///
    /// # Errors
    /// The file cannot be written or renamed.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let path = self.path();
        let temporary = self.folder.join(TEMPORARY_NAME);
        let written = fs::write(&temporary, bytes).and_then(|()| fs::rename(&temporary, &path));
        self.version.set(FileVersion::of(&path));
        written
    }
}
