//! Persistence of learned state. The state is written to a folder periodically and at shutdown, by a separate
//! thread, and read at startup. A fault here is logged and has no other effect.

pub mod names;
mod writer;

pub use writer::StateWriter;

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use atomic_file::Folder;
use learned_state::{LearnedSnapshot, PoolRecord, MAX_AGE};
use tokio::time::Instant;

use crate::log::log_line;

const MICROS_PER_SECOND: f64 = 1e6;

/// Learned state of all pools as it was read, with its age at that time.
pub struct SavedState {
    snapshot: LearnedSnapshot,
    age: learned_state::Micros,
    read_at: Instant,
}

impl SavedState {
    /// Reads the newest undamaged file of a folder, without locking the folder, because another process that
    /// is shutting down may still hold the lock.
    pub fn read(folder: &Path) -> Option<SavedState> {
        match atomic_file::newest_valid(&Folder::without_lock(folder), decode_logged) {
            Ok(snapshot) => snapshot.map(SavedState::new),
            // Nothing has been written yet.
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
            Err(error) => {
                let folder = folder.display();
                log_line(format_args!("learned state: cannot read {folder}: {error}: starting without it"));
                None
            }
        }
    }

    /// Decodes the undamaged sections of a snapshot. Returns `None` if it is too large or its head
    /// cannot be read.
    pub fn decode(bytes: &[u8]) -> Option<SavedState> {
        learned_state::decode(bytes).ok().map(|(snapshot, _)| SavedState::new(snapshot))
    }

    fn new(snapshot: LearnedSnapshot) -> SavedState {
        let age = snapshot.age(unix_ms());
        if age == MAX_AGE {
            log_line(format_args!("learned state: very old, or a clock is wrong: giving it no weight"));
        } else {
            log_line(format_args!("learned state: written {:.0} s ago", age as f64 / MICROS_PER_SECOND));
        }
        SavedState { snapshot, age, read_at: Instant::now() }
    }

    /// The learned state of the pool with this name, if any.
    pub fn pool(&self, name: &str) -> Option<SavedPool> {
        let record = self.snapshot.pools.iter().find(|pool| pool.name == name)?;
        Some(SavedPool { record: record.clone(), age_when_read: self.age, read_at: self.read_at })
    }
}

/// The learned state of a pool as it was read, with its age at that time.
pub struct SavedPool {
    /// The learned state by names.
    pub record: PoolRecord,
    age_when_read: learned_state::Micros,
    read_at: Instant,
}

impl SavedPool {
    /// The current age of the learned state, in microseconds.
    pub fn age(&self) -> learned_state::Micros {
        self.age_when_read.saturating_add(self.read_at.elapsed().as_micros() as u64)
    }
}

/// Decodes a snapshot and logs if sections of it are damaged or missing.
fn decode_logged(bytes: &[u8]) -> Option<LearnedSnapshot> {
    let (snapshot, skipped) = learned_state::decode(bytes).ok()?;
    if skipped.damaged > 0 || skipped.truncated {
        let (damaged, truncated) = (skipped.damaged, skipped.truncated);
        log_line(format_args!(
            "learned state: read in part: skipping {damaged} damaged sections, truncated: {truncated}"
        ));
    }
    Some(snapshot)
}

/// Sets the write time of a snapshot to now.
pub fn timestamped(snapshot: LearnedSnapshot) -> LearnedSnapshot {
    LearnedSnapshot { written_ms: Some(unix_ms()), ..snapshot }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
