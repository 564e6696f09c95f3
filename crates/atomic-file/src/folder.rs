//! A folder of the file system, held by one process.

use std::fs::{self, File, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use crate::{Files, MOST_BYTES};

/// Held for as long as a process has the folder.
const LOCK: &str = "lock";

/// Why a folder cannot be had.
#[derive(Debug)]
pub enum Unopened {
    /// Another process has it.
    InUse,
    /// The system says why.
    Io(io::Error),
}

impl std::fmt::Display for Unopened {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unopened::InUse => f.write_str("another process uses it"),
            Unopened::Io(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for Unopened {}

/// A folder.
pub struct Folder {
    path: PathBuf,
    _lock: Option<File>,
}

impl Folder {
    /// One that is there, and that something else holds for this process.
    #[must_use]
    pub fn held(path: &Path) -> Folder {
        Folder { path: path.to_owned(), _lock: None }
    }

    /// Makes the folder where it is missing, and takes it for this process.
    ///
    /// # Errors
    /// Why it cannot be had.
    pub fn open(path: &Path) -> Result<Folder, Unopened> {
        fs::create_dir_all(path).map_err(Unopened::Io)?;
        let lock = File::options().create(true).truncate(false).write(true).open(path.join(LOCK));
        let lock = lock.map_err(Unopened::Io)?;
        // The system lets go of it when the process ends, however it does.
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.to_owned(), _lock: Some(lock) }),
            Err(TryLockError::WouldBlock) => Err(Unopened::InUse),
            Err(TryLockError::Error(fault)) => Err(Unopened::Io(fault)),
        }
    }
}

impl Files for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.path)?;
        let name = |entry: io::Result<fs::DirEntry>| entry.map(|e| e.file_name().into_string().ok());
        entries.filter_map(|entry| name(entry).transpose()).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        // One that is larger than any that was put is none of ours.
        File::open(self.path.join(name))?.take(MOST_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MOST_BYTES {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "too large"));
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
