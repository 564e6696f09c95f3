//! Writes learned state to a folder in a separate thread, so that a slow disk delays no request.

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use atomic_file::{AtomicFileStore, Folder, OpenError};
use config::LearnedStateSettings;
use learned_state::LearnedSnapshot;
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

use super::timestamped;
use crate::log::log_line;

/// The maximum time to submit the last write, and again the maximum time to wait for its end. Both are
/// bounded so that a disk that hangs does not block the shutdown.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which the last write is submitted again while the thread is busy.
const RESUBMIT_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why a snapshot is not written.
#[derive(Debug)]
enum StateWriteError {
    /// The folder cannot be opened.
    Open(OpenError),
    /// The folder cannot be listed or written.
    Io(io::Error),
}

impl fmt::Display for StateWriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateWriteError::Open(error) => error.fmt(f),
            StateWriteError::Io(error) => error.fmt(f),
        }
    }
}

impl From<OpenError> for StateWriteError {
    fn from(error: OpenError) -> Self {
        StateWriteError::Open(error)
    }
}

impl From<io::Error> for StateWriteError {
    fn from(error: io::Error) -> Self {
        StateWriteError::Io(error)
    }
}

/// A snapshot to write.
struct WriteJob {
    snapshot: LearnedSnapshot,
    /// Notified when the write has succeeded or failed; `None` if nothing waits for it.
    done: Option<oneshot::Sender<()>>,
}

/// A handle of the thread that writes learned state. The thread ends when the handle is dropped.
pub struct StateWriter {
    jobs: mpsc::SyncSender<WriteJob>,
    interval: Duration,
}

impl StateWriter {
    /// Starts the thread, which opens the folder. If that fails it tries again at each write.
    pub fn start(settings: &LearnedStateSettings) -> StateWriter {
        let (jobs, job_receiver) = mpsc::sync_channel(1);
        let writer = FolderWriter::new(settings.folder.clone(), settings.files);
        let thread = thread::Builder::new().name("learned-state".to_owned());
        if let Err(error) = thread.spawn(move || writer.run(&job_receiver)) {
            log_line(format_args!("learned state: cannot start the writer thread: {error}: not writing it"));
        }
        StateWriter { jobs, interval: settings.write_interval }
    }

    /// Writes the state once per interval, for as long as it is polled.
    pub async fn write_periodically(&self, state: impl AsyncFn() -> LearnedSnapshot) {
        loop {
            tokio::time::sleep(self.interval).await;
            // If the previous snapshot is still queued it is recent enough, so a slow disk gets no second
            // one.
            let _ = self.jobs.try_send(WriteJob { snapshot: timestamped(state().await), done: None });
        }
    }

    /// Writes the state for the last time: submits the write and waits for its end, each for at most
    /// [`LAST_WRITE_TIMEOUT`].
    pub async fn write_last(&self, snapshot: LearnedSnapshot) {
        let (done, written) = oneshot::channel();
        let mut job = WriteJob { snapshot: timestamped(snapshot), done: Some(done) };
        let deadline = Instant::now() + LAST_WRITE_TIMEOUT;
        while let Err(mpsc::TrySendError::Full(unsent)) = self.jobs.try_send(job) {
            if Instant::now() >= deadline {
                return;
            }
            job = unsent;
            tokio::time::sleep(RESUBMIT_INTERVAL).await;
        }
        let _ = timeout(LAST_WRITE_TIMEOUT, written).await;
    }
}

/// The state of the writer thread.
struct FolderWriter {
    folder: PathBuf,
    max_files: usize,
    store: Option<AtomicFileStore<Folder>>,
    logged_fault: Option<String>,
}

impl FolderWriter {
    fn new(folder: PathBuf, max_files: usize) -> FolderWriter {
        FolderWriter { folder, max_files, store: None, logged_fault: None }
    }

    fn run(mut self, jobs: &mpsc::Receiver<WriteJob>) {
        let opened = self.open().map(|_| ());
        self.log(opened);
        while let Ok(WriteJob { snapshot, done }) = jobs.recv() {
            let written = self.write(&snapshot);
            self.log(written);
            if let Some(done) = done {
                let _ = done.send(());
            }
        }
    }

    fn write(&mut self, snapshot: &LearnedSnapshot) -> Result<(), StateWriteError> {
        let store = self.open()?;
        Ok(store.put(&learned_state::encode(snapshot))?)
    }

    fn open(&mut self) -> Result<&mut AtomicFileStore<Folder>, StateWriteError> {
        let store = match self.store.take() {
            Some(store) => store,
            None => AtomicFileStore::open(Folder::open(&self.folder)?, self.max_files)?,
        };
        Ok(self.store.insert(store))
    }

    /// Logs a fault when it first occurs, and when it is over.
    fn log(&mut self, result: Result<(), StateWriteError>) {
        let folder = self.folder.display();
        match result.map_err(|error| error.to_string()) {
            Err(fault) if self.logged_fault.as_ref() != Some(&fault) => {
                log_line(format_args!(
                    "learned state: cannot write to {folder}: {fault}: retrying periodically"
                ));
                self.logged_fault = Some(fault);
            }
            Ok(()) if self.logged_fault.is_some() => {
                log_line(format_args!("learned state: writing to {folder} again"));
                self.logged_fault = None;
            }
            _ => {}
        }
    }
}
