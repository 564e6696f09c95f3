//! The limit of sockets to the endpoints of a pool.

use std::cell::Cell;
use std::rc::Rc;

use crate::log::log_line;
use crate::socket::DescriptorGuard;

/// Counts open sockets against a limit.
pub struct SocketLimit {
    max: Cell<usize>,
    open: Rc<Cell<usize>>,
    has_logged_exhaustion: Cell<bool>,
}

impl SocketLimit {
    /// Creates a limit of `max` sockets.
    pub fn new(max: usize) -> SocketLimit {
        SocketLimit { max: Cell::new(max), open: Rc::default(), has_logged_exhaustion: Cell::new(false) }
    }

    /// Changes the limit. Open sockets in excess of it stay open.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// The number of open sockets over the limit.
    pub fn excess(&self) -> usize {
        self.open.get().saturating_sub(self.max.get())
    }

    /// Whether the limit is reached, so that no further socket may be opened.
    pub fn is_reached(&self) -> bool {
        self.open.get() >= self.max.get()
    }

    /// Counts a socket as open until the returned guard is dropped.
    pub fn open(&self) -> DescriptorGuard {
        DescriptorGuard::new(&self.open)
    }

    /// Logs that an attempt was not sent because of the limit. Logs only the first time.
    pub fn log_exhaustion(&self) {
        if !self.has_logged_exhaustion.replace(true) {
            let max = self.max.get();
            log_line(format_args!("all {max} sockets to endpoints are in use: not sending the attempt"));
        }
    }
}
