//! The platform's rule for when a change of the list counts as notified to a process: six seconds after the
//! first time at which discovery had the change and could be reached, but not before the process started. The
//! calls that the process made have no effect.
//!
//! The rule does not depend on the state of the process's own watch, so it can be used to check that watch.

use decide::{EndpointId, EndpointState, Micros};

use crate::discovery::ListChange;
use crate::{Fleet, SECOND};

/// The time after which a change counts as notified, while discovery can be reached.
const NOTIFIED_AFTER: Micros = 6 * SECOND;

/// Returns the time from which the removal of this endpoint from use counts as notified to a process that
/// started at `started_at`. Returns `None` if the endpoint is in use.
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

/// Returns the time at which a change counts as notified. If discovery has an outage before that time, the
/// period starts again at the end of the outage.
fn change_notified_at(fleet: &Fleet, changed_at: Micros) -> Micros {
    let reachable_from = match fleet.outage {
        Some(outage) if outage.start < changed_at + NOTIFIED_AFTER && changed_at < outage.end => outage.end,
        _ => changed_at,
    };
    reachable_from + NOTIFIED_AFTER
}
