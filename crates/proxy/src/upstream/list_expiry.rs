//! The expiry of the endpoint list: while the list is too old, nothing is sent, as endpoints may have been replaced.

use std::cell::Cell;

use membership::ExpiryCause;
use tokio::time::Instant;

use crate::log::log_line;

/// The time in which the endpoint list is too old to send to any endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ListExpiry {
    /// Its begin.
    pub from: Instant,
    /// Its end, exclusive.
    pub until: Instant,
    /// Why the list was not confirmed.
    pub cause: ExpiryCause,
}

impl ListExpiry {
    fn contains(&self, at: Instant) -> bool {
        self.from <= at && at < self.until
    }
}

/// Checks for expiry, and logs when it begins to have an effect and when that ends.
#[derive(Default)]
pub struct ListExpiryCheck {
    expiry: Cell<Option<ListExpiry>>,
    /// An attempt was not sent because of it, and that was logged.
    has_logged: Cell<bool>,
}

impl ListExpiryCheck {
    /// Sets the time of expiry; none where the list does not expire.
    pub fn set(&self, expiry: Option<ListExpiry>) {
        self.expiry.set(expiry);
        let is_current = expiry.is_none_or(|expiry| Instant::now() < expiry.from);
        if is_current && self.has_logged.replace(false) {
            log_line(format_args!("sending again: the list is up to date"));
        }
    }

    /// Whether the list has expired. Call it only when there is something to send, as it logs.
    pub fn is_expired(&self) -> bool {
        let now = Instant::now();
        let Some(expiry) = self.expiry.get().filter(|expiry| expiry.contains(now)) else { return false };
        if !self.has_logged.replace(true) {
            log_line(format_args!("sending nothing: {}", log_text(expiry.cause)));
        }
        true
    }
}

/// The cause in the words of the log.
fn log_text(cause: ExpiryCause) -> &'static str {
    match cause {
        ExpiryCause::Unconfirmed => "discovery has not confirmed the list that this process started with",
        ExpiryCause::CallsFailed => "calls to discovery failed, and it may have told others of a drain",
        ExpiryCause::ResponseMissing => "discovery may have told of a drain that was not heard",
    }
}
