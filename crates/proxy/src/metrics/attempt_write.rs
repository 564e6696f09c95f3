//! Counting of attempts when their last byte is written.

use std::cell::RefCell;

use prometheus_client::metrics::counter::Counter;

/// Counts a message once the kernel has accepted its last byte.
#[derive(Default)]
pub struct NextWriteCounter(RefCell<Option<Counter>>);

impl NextWriteCounter {
    /// Marks the next write as the last one of a message that `counter` counts.
    pub fn count_next_write(&self, counter: &Counter) {
        *self.0.borrow_mut() = Some(counter.clone());
    }

    /// Cancels the counting of the message.
    pub fn cancel(&self) {
        self.0.take();
    }

    /// Counts a marked message; called when the kernel has accepted bytes.
    pub fn on_write(&self) {
        if let Some(counter) = self.0.take() {
            counter.inc();
        }
    }
}
