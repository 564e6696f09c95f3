//! A folder of the file system that at most one process locks.

use std::fs::{self, File, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use crate::{FileStorage, MAX_FILE_BYTES};

/// The name of the file that a process locks while it holds the folder.
const LOCK_NAME: &str = "lock";

/// The reason for which a folder cannot be opened.
#[derive(Debug)]
pub enum OpenError {
    /// Another process holds the lock of the folder.
    InUse,
    /// The operating system returned this error.
    Io(io::Error),
}

impl std::fmt::Display for OpenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OpenError::InUse => f.write_str("another process uses it"),
            OpenError::Io(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for OpenError {}

/// A folder of the file system, with or without a lock.
pub struct Folder {
    path: PathBuf,
    _lock: Option<File>,
}

impl Folder {
    /// Returns an existing folder without a lock, for reading or if the folder is protected by other means.
    #[must_use]
    pub fn without_lock(path: &Path) -> Folder {
        Folder { path: path.to_owned(), _lock: None }
    }

    /// Creates the folder if it is missing, and locks it for this process.
    ///
    /// # Errors
    /// Returns an error if another process holds the lock, or if the folder cannot be created or locked.
    pub fn open(path: &Path) -> Result<Folder, OpenError> {
        fs::create_dir_all(path).map_err(OpenError::Io)?;
        let lock = File::options().create(true).truncate(false).write(true).open(path.join(LOCK_NAME));
        let lock = lock.map_err(OpenError::Io)?;
        // The operating system releases the lock when the process ends, even by a kill.
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.to_owned(), _lock: Some(lock) }),
            Err(TryLockError::WouldBlock) => Err(OpenError::InUse),
            Err(TryLockError::Error(error)) => Err(OpenError::Io(error)),
        }
    }
}

impl FileStorage for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.path)?;
        let name = |entry: io::Result<fs::DirEntry>| entry.map(|entry| entry.file_name().into_string().ok());
        entries.filter_map(|entry| name(entry).transpose()).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        // A store does not write larger files.
        File::open(self.path.join(name))?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                format!("larger than the limit of {MAX_FILE_BYTES} bytes"),
            ));
        }
        Ok(bytes)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.path.join(name))?.write_all(bytes)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        File::open(self.path.join(name))?.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
}
