//! Tasks that are aborted when their owner is dropped.

use std::future::Future;

use tokio::task::{spawn_local, AbortHandle};

/// Local tasks that are aborted when the set is dropped.
#[derive(Default)]
pub(super) struct TaskSet(Vec<AbortHandle>);

impl TaskSet {
    pub fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.0.push(spawn_local(task).abort_handle());
    }
}

impl Drop for TaskSet {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}
