//! Counts attempts when they are written to their connection.

use std::cell::RefCell;

use prometheus_client::metrics::counter::Counter;

/// Counts a message at the next write of which the kernel accepts bytes.
#[derive(Default)]
pub struct NextWriteCounter(RefCell<Option<Counter>>);

impl NextWriteCounter {
    /// Increments `counter` at the next write, even if that does not complete the message.
    pub fn count_next_write(&self, counter: &Counter) {
        *self.0.borrow_mut() = Some(counter.clone());
    }

    /// Cancels the counting of the message.
    pub fn cancel(&self) {
        self.0.take();
    }

    /// Increments the counter set by [`Self::count_next_write`], if any; called when the kernel has accepted
    /// bytes.
    pub fn on_write(&self) {
        if let Some(counter) = self.0.take() {
            counter.inc();
        }
    }
}
