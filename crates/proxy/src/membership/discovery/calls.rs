//! The calls to discovery that are in flight, each in a separate task.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use membership::CallId;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

use super::call::{call, CallProgress, Connection};
use crate::panic_guard::catch_panic;

/// The calls to discovery that are in flight.
pub(super) struct Calls {
    tasks: JoinSet<()>,
    handles: BTreeMap<CallId, AbortHandle>,
    progress_sender: mpsc::UnboundedSender<(CallId, CallProgress)>,
    progress: mpsc::UnboundedReceiver<(CallId, CallProgress)>,
    /// The connection of the last response, for the next call.
    idle: Option<Connection>,
}

impl Calls {
    /// Creates an empty set of calls.
    pub fn new() -> Calls {
        let (progress_sender, progress) = mpsc::unbounded_channel();
        Calls { tasks: JoinSet::new(), handles: BTreeMap::new(), progress_sender, progress, idle: None }
    }

    /// Starts a call.
    pub fn start(&mut self, id: CallId, address: SocketAddr, path: String) {
        let sender = self.progress_sender.clone();
        let idle = self.idle.take();
        let task = self.tasks.spawn_local(async move {
            let report = |progress| {
                // Sending fails if the pool and with it the receiver was dropped, which is harmless.
                let _ = sender.send((id, progress));
            };
            let ended = catch_panic(call(address, &path, idle, &report)).await;
            report(ended.unwrap_or(CallProgress::ResponseTruncated));
        });
        self.handles.insert(id, task);
    }

    /// Waits for the next report of any call.
    pub async fn next_progress(&mut self) -> Option<(CallId, CallProgress)> {
        self.progress.recv().await
    }

    /// Whether the call is in flight.
    pub fn contains(&self, id: CallId) -> bool {
        self.handles.contains_key(&id)
    }

    /// Aborts a call in flight.
    pub fn close(&mut self, id: CallId) {
        if let Some(task) = self.handles.remove(&id) {
            task.abort();
        }
        self.reap_tasks();
    }

    /// Removes a call that has ended.
    pub fn remove(&mut self, id: CallId) {
        self.handles.remove(&id);
        self.reap_tasks();
    }

    /// Keeps a connection for the next call.
    pub fn set_idle(&mut self, connection: Connection) {
        self.idle = Some(connection);
    }

    /// Closes the connection kept for the next call.
    pub fn close_idle(&mut self) {
        self.idle = None;
    }

    fn reap_tasks(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }
}
