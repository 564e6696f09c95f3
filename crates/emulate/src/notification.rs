//! When a change of the list counts as notified to a process, by the platform's rule alone: six seconds after discovery had it and
//! could be reached, whatever calls the process made, and at the earliest when the process started.
//!
//! It is computed without regard to the state of the process's own watch.

use decide::{EndpointId, EndpointState, Micros};

use crate::discovery::ListChange;
use crate::{Fleet, SECOND};

/// Changes that a reachable discovery had count as notified after this.
const NOTIFIED_AFTER: Micros = 6 * SECOND;

/// From when on the last change that removed this endpoint from use counts as notified to a process that started at `started_at`;
/// `None` where the endpoint is in use.
pub fn removal_notified_at(
    fleet: &Fleet,
    changes: &[ListChange],
    endpoint: EndpointId,
    started_at: Option<Micros>,
) -> Option<Micros> {
    let last_change = changes.iter().rev().find(|change| change.endpoint == endpoint)?;
    let notified_at = change_notified_at(fleet, last_change.at).max(started_at.unwrap_or(0));
    (last_change.state != EndpointState::Ready).then_some(notified_at)
}

/// An outage makes the time count anew from its end.
fn change_notified_at(fleet: &Fleet, changed_at: Micros) -> Micros {
    let reachable_from = match fleet.outage {
        Some(outage) if outage.start < changed_at + NOTIFIED_AFTER && changed_at < outage.end => outage.end,
        _ => changed_at,
    };
    reachable_from + NOTIFIED_AFTER
}
