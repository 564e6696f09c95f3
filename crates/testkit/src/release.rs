//! A latch that a test can release.

use std::sync::{Condvar, Mutex};

use crate::TEST_TIMEOUT;

/// Blocks waiting threads until it is released. It stays released.
#[derive(Debug, Default)]
pub struct Release {
    released: Mutex<bool>,
    changed: Condvar,
}

impl Release {
    /// Releases all threads that wait, now or later.
    pub fn release(&self) {
        *self.released.lock().expect("unpoisoned") = true;
        self.changed.notify_all();
    }

    /// Waits for the release. Returns without an error if [`TEST_TIMEOUT`] passes before it.
    pub fn wait(&self) {
        let released = self.released.lock().expect("unpoisoned");
        let wait = self.changed.wait_timeout_while(released, TEST_TIMEOUT, |released| !*released);
        drop(wait.expect("unpoisoned"));
    }
}
