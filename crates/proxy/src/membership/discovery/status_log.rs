//! Logs and exposes the status of a watch whenever it changes.

use membership::{CallResult, ListStatus, WatchStatus};

use crate::log::log_line;
use crate::metrics::ListStatusGauge;

/// Reports each change of the status of one watch.
#[derive(Default)]
pub struct StatusReport {
    gauge: ListStatusGauge,
    last: Option<WatchStatus>,
    /// Whether the last logged line says that the list is unconfirmed.
    logged_unconfirmed: bool,
}

impl StatusReport {
    /// Creates a report that sets this gauge.
    pub fn new(gauge: ListStatusGauge) -> StatusReport {
        StatusReport { gauge, last: None, logged_unconfirmed: false }
    }

    /// Reports the present status of the watch.
    pub(super) fn update(&mut self, status: WatchStatus) {
        if self.last.replace(status) == Some(status) {
            return;
        }
        self.gauge.set(status);
        self.log(status);
    }

    fn log(&mut self, status: WatchStatus) {
        let is_unconfirmed = status.list == ListStatus::Unconfirmed;
        if let Some(problem) = problem(status.last_call).filter(|_| status.list != ListStatus::Absent) {
            let state = if is_unconfirmed { "unconfirmed" } else { "confirmed before, still in use" };
            log_line(format_args!("endpoint list {state}: {problem}"));
            self.logged_unconfirmed = is_unconfirmed;
        } else if self.logged_unconfirmed && !is_unconfirmed {
            log_line(format_args!("endpoint list confirmed by discovery"));
            self.logged_unconfirmed = false;
        }
    }
}

/// What went wrong with a call, as it is logged.
fn problem(result: CallResult) -> Option<&'static str> {
    Some(match result {
        CallResult::Pending | CallResult::Answered => return None,
        CallResult::Silent => "discovery took the call and does not respond",
        CallResult::ConnectionRefused => "discovery refused the connection",
        CallResult::Rejected => "discovery responded with an error",
        CallResult::ConnectTimedOut => "no connection to discovery was established",
        CallResult::ConnectionLost => "the connection to discovery broke",
        CallResult::Incomplete => "the response of discovery broke off or cannot be parsed",
    })
}
