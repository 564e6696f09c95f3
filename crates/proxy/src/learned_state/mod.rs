//! Learned state outlives the process: it is written to a folder periodically and at the end, by a thread of its own, and read at
//! the start. A fault here is logged, and has no other effect.

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

/// Learned state as it was read, and its age at that time.
pub struct SavedState {
    snapshot: LearnedSnapshot,
    age: learned_state::Micros,
    read_at: Instant,
}

impl SavedState {
    /// Reads the newest undamaged file of a folder, which another process, such as an ending one, may still hold.
    pub fn read(folder: &Path) -> Option<SavedState> {
        match atomic_file::newest_valid(&Folder::without_lock(folder), decode_logged) {
            Ok(snapshot) => snapshot.map(SavedState::new),
            // Nothing was written yet.
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
            Err(error) => {
                log_line(format_args!("knowledge: cannot be read: {error}"));
                None
            }
        }
    }

    /// Decodes a snapshot, as far as it is undamaged.
    pub fn decode(bytes: &[u8]) -> Option<SavedState> {
        learned_state::decode(bytes).ok().map(|(snapshot, _)| SavedState::new(snapshot))
    }

    fn new(snapshot: LearnedSnapshot) -> SavedState {
        let age = snapshot.age(unix_ms());
        if age == MAX_AGE {
            log_line(format_args!("knowledge: very old, or a clock is wrong: it counts for nothing"));
        } else {
            log_line(format_args!("knowledge: from {:.0} s ago", age as f64 / MICROS_PER_SECOND));
        }
        SavedState { snapshot, age, read_at: Instant::now() }
    }

    /// The learned state of a pool.
    pub fn pool(&self, name: &str) -> Option<SavedPool> {
        let record = self.snapshot.pools.iter().find(|pool| pool.name == name)?;
        Some(SavedPool { record: record.clone(), age_when_read: self.age, read_at: self.read_at })
    }
}

/// The learned state of a pool as it was read, and its age at that time.
pub struct SavedPool {
    /// The learned state.
    pub record: PoolRecord,
    age_when_read: learned_state::Micros,
    read_at: Instant,
}

impl SavedPool {
    /// Its age by now.
    pub fn age(&self) -> learned_state::Micros {
        self.age_when_read.saturating_add(self.read_at.elapsed().as_micros() as u64)
    }
}

/// Decodes a snapshot, and logs whether a part of it is damaged.
fn decode_logged(bytes: &[u8]) -> Option<LearnedSnapshot> {
    let (snapshot, skipped) = learned_state::decode(bytes).ok()?;
    if skipped.damaged > 0 || skipped.truncated {
        log_line(format_args!("knowledge: read in part, {} sections are damaged", skipped.damaged));
    }
    Some(snapshot)
}

/// The snapshot, as written now.
pub fn timestamped(snapshot: LearnedSnapshot) -> LearnedSnapshot {
    LearnedSnapshot { written_ms: Some(unix_ms()), ..snapshot }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
