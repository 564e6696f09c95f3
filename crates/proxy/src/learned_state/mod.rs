//! What was learned outlives the process: written to a folder every so often and at the end by a thread of its own, and
//! read at the start. Whatever fails here costs a line and nothing else.

pub mod names;

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use atomic_file::{Folder, Keeper};
use config::LearnedStateSettings;
use learned_state::Snapshot;
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

use crate::log::say;

/// The last writing is waited for so long: a disk that hangs does not hold up the end.
const LAST: Duration = Duration::from_secs(2);

/// What was learned before, as it was read, and how old it is.
pub struct SavedState {
    snapshot: Snapshot,
    age: learned_state::Micros,
    read: Instant,
}

impl SavedState {
    /// The newest sound file of a folder, which another process may still hold: an ending one, say.
    pub fn read(folder: &Path) -> Option<SavedState> {
        let sound = |bytes: &[u8]| {
            let (snapshot, faults) = learned_state::read(bytes).ok()?;
            if faults.damaged > 0 || faults.cut {
                say(format_args!("knowledge: read in part, {} sections are damaged", faults.damaged));
            }
            Some(snapshot)
        };
        match atomic_file::newest(&Folder::held(folder), sound) {
            Ok(snapshot) => snapshot.map(SavedState::of),
            // Nothing was kept yet.
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => None,
            Err(e) => {
                say(format_args!("knowledge: cannot be read: {e}"));
                None
            }
        }
    }

    /// What these bytes hold, as far as they are sound.
    pub fn decode(bytes: &[u8]) -> Option<SavedState> {
        learned_state::read(bytes).ok().map(|(snapshot, _)| SavedState::of(snapshot))
    }

    fn of(snapshot: Snapshot) -> SavedState {
        let age = snapshot.age(unix_ms());
        if age == learned_state::VERY_OLD {
            say(format_args!("knowledge: very old, or a clock is wrong: it counts for nothing"));
        } else {
            say(format_args!("knowledge: from {:.0} s ago", age as f64 / 1e6));
        }
        SavedState { snapshot, age, read: Instant::now() }
    }

    /// What it says of a pool.
    pub fn pool(&self, name: &str) -> Option<SavedPool> {
        let pool = self.snapshot.pools.iter().find(|p| p.name == name)?;
        Some(SavedPool { pool: pool.clone(), age: self.age, since: self.read })
    }
}

/// What is told of a pool, and how old it was at that time.
pub struct SavedPool {
    pub pool: learned_state::Pool,
    age: learned_state::Micros,
    since: Instant,
}

impl SavedPool {
    /// By now.
    pub fn age(&self) -> learned_state::Micros {
        self.age.saturating_add(self.since.elapsed().as_micros() as u64)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

struct Job {
    snapshot: Snapshot,
    done: Option<oneshot::Sender<()>>,
}

/// Writes what was learned. Its thread ends with it.
pub struct StateWriter {
    jobs: mpsc::SyncSender<Job>,
    every: Duration,
}

impl StateWriter {
    /// Takes the folder, as soon as it can be had.
    pub fn start(config: &LearnedStateSettings) -> StateWriter {
        let (jobs, waiting) = mpsc::sync_channel(1);
        let (folder, files) = (config.folder.clone(), config.files);
        let writer = thread::Builder::new().name("memory".to_owned());
        if let Err(e) = writer.spawn(move || write(&Writer { folder, files }, &waiting)) {
            say(format_args!("knowledge: not kept: {e}"));
        }
        StateWriter { jobs, every: config.every }
    }

    /// Writes what `state` says, every so often, for as long as it is polled.
    pub async fn keep(&self, state: impl AsyncFn() -> Snapshot) {
        loop {
            tokio::time::sleep(self.every).await;
            // One that waits still is newer than none; a slow disk gets no second.
            let _ = self.jobs.try_send(Job { snapshot: timestamped(state().await), done: None });
        }
    }

    /// Writes for the last time.
    pub async fn end(&self, snapshot: Snapshot) {
        let (done, written) = oneshot::channel();
        let mut job = Job { snapshot: timestamped(snapshot), done: Some(done) };
        let until = Instant::now() + LAST;
        while let Err(mpsc::TrySendError::Full(again)) = self.jobs.try_send(job) {
            if Instant::now() >= until {
                return;
            }
            job = again;
            tokio::time::sleep(LAST / 100).await;
        }
        let _ = timeout(LAST, written).await;
    }
}

/// The same, as written now.
pub fn timestamped(snapshot: Snapshot) -> Snapshot {
    Snapshot { written_ms: Some(unix_ms()), ..snapshot }
}

struct Writer {
    folder: PathBuf,
    files: usize,
}

impl Writer {
    fn open(&self, keeper: &mut Option<Keeper<Folder>>) -> Result<(), String> {
        if keeper.is_none() {
            let folder = Folder::open(&self.folder).map_err(|e| e.to_string())?;
            *keeper = Some(Keeper::open(folder, self.files).map_err(|e| e.to_string())?);
        }
        Ok(())
    }
}

fn write(writer: &Writer, jobs: &mpsc::Receiver<Job>) {
    let (mut keeper, mut fault) = (None, None::<String>);
    let mut tell = |result: Result<(), String>| match (&result, &fault) {
        // The same again is not said again.
        (Err(new), old) if old.as_ref() != Some(new) => {
            say(format_args!("knowledge: not kept in {}: {new}", writer.folder.display()));
            fault = result.err();
        }
        (Ok(()), Some(_)) => {
            say(format_args!("knowledge: kept in {} again", writer.folder.display()));
            fault = None;
        }
        _ => {}
    };
    tell(writer.open(&mut keeper));
    while let Ok(Job { snapshot, done }) = jobs.recv() {
        let written = writer.open(&mut keeper).and_then(|()| {
            let Some(keeper) = &mut keeper else { return Ok(()) };
            keeper.put(&learned_state::write(&snapshot)).map_err(|e| e.to_string())
        });
        tell(written);
        if let Some(done) = done {
            let _ = done.send(());
        }
    }
}
