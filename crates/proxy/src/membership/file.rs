//! A watched file with a list in discovery's form, replaced by a rename or written in place.
//!
//! The file is checked at short intervals rather than through the kernel's notices: those differ by file system, are lost under
//! load, and miss a folder that is mounted anew. A list that cannot be read, or is not a full list, changes nothing: truncated
//! JSON cannot be parsed, so a half-written list is never taken for a short one.

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

/// How often the file is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Why a file is not applied.
#[derive(Debug)]
enum ListFileError {
    /// It cannot be read.
    Io(io::Error),
    /// It is larger than [`MAX_LIST_BYTES`].
    TooLarge { bytes: u64 },
    /// It is not a full list.
    Invalid(String),
}

impl fmt::Display for ListFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListFileError::Io(error) => error.fmt(f),
            ListFileError::TooLarge { bytes } => write!(f, "{bytes} bytes are too many for a list"),
            ListFileError::Invalid(fault) => f.write_str(fault),
        }
    }
}

impl From<io::Error> for ListFileError {
    fn from(error: io::Error) -> Self {
        ListFileError::Io(error)
    }
}

/// Tells one content of the file from another, also where it was written in place.
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

/// Watches a file for as long as it is polled.
pub struct FileWatch {
    pool: String,
    path: PathBuf,
    registry: EndpointRegistry,
    /// Of the content that was read last.
    fingerprint: Option<ListFileFingerprint>,
    logged_fault: Option<String>,
}

impl FileWatch {
    /// Watches a file that lists the endpoints of this pool.
    pub fn new(pool: String, path: PathBuf, registry: EndpointRegistry) -> FileWatch {
        FileWatch { pool, path, registry, fingerprint: None, logged_fault: None }
    }

    /// Applies the file whenever it changes.
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

    /// A fault that persists is logged once.
    fn log_fault(&mut self, fault: String) {
        if self.logged_fault.as_ref() != Some(&fault) {
            let (pool, path) = (&self.pool, self.path.display());
            log_line(format_args!("pool `{pool}`: keeping the list as it was: {path}: {fault}"));
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
        // Checked as a whole, and applied in the form in which it came.
        let endpoint_count = list.clone().into_endpoints().map_err(ListFileError::Invalid)?.len();
        self.registry.apply(list, UpdateScope::Full);
        log_line(format_args!("pool `{}`: {endpoint_count} nodes from {}", self.pool, self.path.display()));
        Ok(())
    }
}
