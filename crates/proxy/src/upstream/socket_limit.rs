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
    /// A limit of so many sockets.
    pub fn new(max: usize) -> SocketLimit {
        SocketLimit { max: Cell::new(max), open: Rc::default(), has_logged_exhaustion: Cell::new(false) }
    }

    /// Changes the limit; open sockets over it stay.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// The number of open sockets over the limit.
    pub fn excess(&self) -> usize {
        self.open.get().saturating_sub(self.max.get())
    }

    /// Whether no further socket may be opened.
    pub fn is_reached(&self) -> bool {
        self.open.get() >= self.max.get()
    }

    /// Counts a socket for as long as its slot lives.
    pub fn open(&self) -> DescriptorGuard {
        DescriptorGuard::new(&self.open)
    }

    /// Logs, once, that the limit kept an attempt from being sent.
    pub fn log_exhaustion(&self) {
        if !self.has_logged_exhaustion.replace(true) {
            log_line(format_args!("all {} sockets for backends are in use", self.max.get()));
        }
    }
}
