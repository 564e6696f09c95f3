//! A watched file with a list in discovery's form, replaced by a rename or written in place.
//!
//! The file is looked at in short intervals rather than through the kernel's notices: those differ by file system,
//! are lost under load, and miss a folder that is mounted anew. A list that cannot be read, or is no whole list,
//! changes nothing: JSON that is cut off is no JSON, so a half-written list is never taken for a short one.

use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use config::parse_full_list;
use decide::UpdateScope;
use tokio::time::{sleep, Instant};

use crate::log::say;
use crate::membership::EndpointRegistry;

/// How often the file is looked at.
const LOOK: Duration = Duration::from_millis(200);
/// The largest list that is read, in bytes.
const MOST_LIST: u64 = 8 << 20;

/// What tells one state of a file from another.
type Mark = (u64, u64, i64, i64);

/// Watches a file for as long as it is polled.
pub struct FileWatch {
    pub pool: String,
    pub path: PathBuf,
    pub registry: EndpointRegistry,
    mark: Option<Mark>,
    said: Option<String>,
}

impl FileWatch {
    pub fn new(pool: String, path: PathBuf, roster: EndpointRegistry) -> FileWatch {
        FileWatch { pool, path, registry: roster, mark: None, said: None }
    }

    pub async fn run(mut self) {
        loop {
            self.look();
            sleep(LOOK).await;
        }
    }

    fn look(&mut self) {
        let mark = mark(&self.path);
        if mark.is_some() && mark == self.mark {
            if self.said.is_none() {
                self.registry.heard.set(Instant::now());
            }
            return;
        }
        match self.read() {
            Ok(()) => self.said = None,
            Err(fault) => {
                // A fault that stays is said once.
                if self.said.as_ref() != Some(&fault) {
                    say(format_args!(
                        "pool `{}`: keeping the list as it was: {}: {fault}",
                        self.pool,
                        self.path.display()
                    ));
                }
                self.said = Some(fault);
            }
        }
        self.mark = mark;
    }

    fn read(&mut self) -> Result<(), String> {
        let size = fs::metadata(&self.path).map_err(|e| e.to_string())?.len();
        if size > MOST_LIST {
            return Err(format!("{size} bytes are too many for a list"));
        }
        let list = parse_full_list(&fs::read_to_string(&self.path).map_err(|e| e.to_string())?)?;
        // Checked as a whole, and applied in the form in which it came.
        let nodes = list.clone().nodes()?.len();
        self.registry.apply(list, UpdateScope::Full);
        say(format_args!("pool `{}`: {nodes} nodes from {}", self.pool, self.path.display()));
        Ok(())
    }
}

fn mark(path: &Path) -> Option<Mark> {
    let meta = fs::metadata(path).ok()?;
    Some((meta.ino(), meta.size(), meta.mtime(), meta.mtime_nsec()))
}
