//! The expiry of the endpoint list. While the list is too old nothing is sent, because endpoints may have
//! been replaced.

use std::cell::Cell;

use membership::ExpiryCause;
use tokio::time::Instant;

use crate::log::log_line;

/// The period in which the endpoint list is too old to send to any endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ListExpiry {
    /// When the earliest change that was not received counts as notified.
    pub notified_from: Instant,
    /// The start of the period, inclusive.
    pub from: Instant,
    /// The end of the period, exclusive.
    pub until: Instant,
    /// The reason why the list was not confirmed in time.
    pub cause: ExpiryCause,
}

impl ListExpiry {
    fn contains(&self, at: Instant) -> bool {
        self.from <= at && at < self.until
    }
}

/// Checks whether the list has expired, and logs when that first stops an attempt and when it is over.
#[derive(Default)]
pub struct ListExpiryCheck {
    expiry: Cell<Option<ListExpiry>>,
    /// Whether it was logged that an attempt was not sent because of the current expiry.
    has_logged: Cell<bool>,
}

impl ListExpiryCheck {
    /// Sets the period of expiry; `None` if the list does not expire.
    pub fn set(&self, expiry: Option<ListExpiry>) {
        self.expiry.set(expiry);
        let is_current = expiry.is_none_or(|expiry| Instant::now() < expiry.from);
        if is_current && self.has_logged.replace(false) {
            log_line(format_args!("endpoint list confirmed: sending requests again"));
        }
    }

    /// When a change that is received now counts as notified: from now on, or already from an earlier time if
    /// the list was not confirmed since.
    pub fn notified_at(&self) -> Instant {
        let now = Instant::now();
        self.expiry.get().map_or(now, |expiry| expiry.notified_from.min(now))
    }

    /// Whether the list has expired. Must be called only when there is an attempt to send, because it logs
    /// that the attempt is not sent.
    pub fn is_expired(&self) -> bool {
        let now = Instant::now();
        let Some(expiry) = self.expiry.get().filter(|expiry| expiry.contains(now)) else { return false };
        if !self.has_logged.replace(true) {
            log_line(format_args!("endpoint list expired: {}: sending no requests", log_text(expiry.cause)));
        }
        true
    }
}

/// The cause of an expiry as it is logged.
fn log_text(cause: ExpiryCause) -> &'static str {
    match cause {
        ExpiryCause::Unconfirmed => "discovery has not confirmed the list that this process started with",
        ExpiryCause::AddressChanged => {
            "the agent that the new configuration names has not confirmed the list"
        }
        ExpiryCause::ResponseLate => {
            "the response of the agent came late, and it may not have the latest changes"
        }
        ExpiryCause::ProcessStopped => {
            "this process did not run for a while, and may not have read a response of the agent"
        }
        ExpiryCause::CallsFailed => {
            "calls to discovery failed, and other proxies may have been notified of a drain"
        }
        ExpiryCause::ResponseMissing => {
            "a response of discovery was not received, and it may have listed a draining endpoint"
        }
    }
}
