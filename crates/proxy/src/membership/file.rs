//! A watched file with an endpoint list in the format of discovery, replaced by a rename or written in place.
//!
//! The file is checked at short intervals instead of with the kernel's file notifications, because those
//! differ by file system, are lost under load, and miss a folder that is mounted again. A list that cannot be
//! read, or is not a full list, changes nothing. Truncated JSON cannot be parsed, so a half-written list is
//! never mistaken for a short one.

use std::fmt;
use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use config::parse_full_list;
use decide::UpdateScope;
use tokio::time::{sleep, Instant};

use crate::log::log_line;
use crate::membership::{EndpointRegistry, MAX_LIST_BYTES};

/// The interval at which the file is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The reason why a file is not applied.
#[derive(Debug)]
enum ListFileError {
    /// The file cannot be read.
    Io(io::Error),
    /// The file is larger than [`MAX_LIST_BYTES`].
    TooLarge { bytes: u64 },
    /// The content is not a valid full list.
    Invalid(String),
}

impl fmt::Display for ListFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListFileError::Io(error) => error.fmt(f),
            ListFileError::TooLarge { bytes } => {
                write!(f, "the file has {bytes} bytes, at most {MAX_LIST_BYTES} are allowed")
            }
            ListFileError::Invalid(fault) => f.write_str(fault),
        }
    }
}

impl From<io::Error> for ListFileError {
    fn from(error: io::Error) -> Self {
        ListFileError::Io(error)
    }
}

/// Identifies a content of the file, so that a change is detected even if the file is written in place.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ListFileFingerprint {
    inode: u64,
    size: u64,
    modified_s: i64,
    modified_ns: i64,
}

impl ListFileFingerprint {
    fn of(path: &Path) -> Option<ListFileFingerprint> {
        let metadata = fs::metadata(path).ok()?;
        Some(ListFileFingerprint {
            inode: metadata.ino(),
            size: metadata.size(),
            modified_s: metadata.mtime(),
            modified_ns: metadata.mtime_nsec(),
        })
    }
}

/// Watches a file that lists the endpoints of a pool.
pub struct FileWatch {
    pool: String,
    path: PathBuf,
    registry: EndpointRegistry,
    /// The fingerprint of the content that was read last.
    fingerprint: Option<ListFileFingerprint>,
    logged_fault: Option<String>,
}

impl FileWatch {
    /// Creates a watch of the file that lists the endpoints of this pool.
    pub fn new(pool: String, path: PathBuf, registry: EndpointRegistry) -> FileWatch {
        FileWatch { pool, path, registry, fingerprint: None, logged_fault: None }
    }

    /// Applies the file whenever it changes, for as long as it is polled.
    pub async fn run(mut self) {
        loop {
            self.check();
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn check(&mut self) {
        let fingerprint = ListFileFingerprint::of(&self.path);
        if fingerprint.is_some() && fingerprint == self.fingerprint {
            if self.logged_fault.is_none() {
                self.registry.last_contact.set(Instant::now());
            }
            return;
        }
        match self.read() {
            Ok(()) => self.logged_fault = None,
            Err(error) => self.log_fault(error.to_string()),
        }
        self.fingerprint = fingerprint;
    }

    /// Logs a fault. A fault that persists is logged only once.
    fn log_fault(&mut self, fault: String) {
        if self.logged_fault.as_ref() != Some(&fault) {
            let (pool, path) = (&self.pool, self.path.display());
            log_line(format_args!("pool `{pool}`: cannot apply {path}: {fault}: keeping the previous list"));
        }
        self.logged_fault = Some(fault);
    }

    fn read(&mut self) -> Result<(), ListFileError> {
        let bytes = fs::metadata(&self.path)?.len();
        if bytes > MAX_LIST_BYTES as u64 {
            return Err(ListFileError::TooLarge { bytes });
        }
        let text = fs::read_to_string(&self.path)?;
        let list = parse_full_list(&text).map_err(ListFileError::Invalid)?;
        // All entries are validated first; the list is then applied in its original form.
        let endpoint_count = list.clone().into_endpoints().map_err(ListFileError::Invalid)?.len();
        self.registry.apply(list, UpdateScope::Full);
        let (pool, path) = (&self.pool, self.path.display());
        log_line(format_args!("pool `{pool}`: applied {endpoint_count} endpoints from {path}"));
        Ok(())
    }
}
