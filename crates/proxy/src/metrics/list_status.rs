//! The gauge of the state of a pool's endpoint list: whether it is confirmed, and how the last call to
//! discovery went.

use std::cell::RefCell;

use membership::{CallResult, ListStatus, WatchStatus};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use super::Labels;

/// The label that says whether the list is confirmed.
const LIST_LABEL: &str = "list";
/// The label that says how the last call to discovery went.
const LAST_CALL_LABEL: &str = "last_call";

/// The gauge of one pool: 1 for its present state. The gauge of [`ListStatusGauge::default`] is not exposed.
#[derive(Debug, Default)]
pub struct ListStatusGauge {
    family: Family<Labels, Gauge>,
    pool: Labels,
    exposed: RefCell<Option<Labels>>,
}

impl ListStatusGauge {
    pub(super) fn new(family: &Family<Labels, Gauge>, pool: Labels) -> ListStatusGauge {
        ListStatusGauge { family: family.clone(), pool, exposed: RefCell::default() }
    }

    /// Replaces the exposed state.
    pub fn set(&self, status: WatchStatus) {
        let mut labels = self.pool.clone();
        labels.push((LIST_LABEL, list_label(status.list).to_owned()));
        labels.push((LAST_CALL_LABEL, call_label(status.last_call).to_owned()));
        self.remove();
        self.family.get_or_create(&labels).set(1);
        self.exposed.replace(Some(labels));
    }

    fn remove(&self) {
        if let Some(labels) = self.exposed.take() {
            self.family.remove(&labels);
        }
    }
}

impl Drop for ListStatusGauge {
    fn drop(&mut self) {
        self.remove();
    }
}

fn list_label(list: ListStatus) -> &'static str {
    match list {
        ListStatus::Absent => "absent",
        ListStatus::Confirmed => "confirmed",
        ListStatus::Unconfirmed => "unconfirmed",
    }
}

fn call_label(result: CallResult) -> &'static str {
    match result {
        CallResult::Pending => "pending",
        CallResult::Answered => "answered",
        CallResult::Silent => "silent",
        CallResult::ConnectionRefused => "refused",
        CallResult::Rejected => "rejected",
        CallResult::ConnectTimedOut => "connect_timeout",
        CallResult::ConnectionLost => "connection_lost",
        CallResult::Incomplete => "incomplete",
    }
}
