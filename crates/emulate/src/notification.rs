//! When a change of the list counts as known to a process, by the operators' term alone: six seconds after discovery had it
//! and could be reached, whatever the process has asked or not, and at the earliest when it started.
//!
//! Nothing of what the process's own watch believes goes in here.

use decide::{EndpointId, EndpointState, Micros};

use crate::{Fleet, S};

/// What discovery had and could be reached for counts as known after this.
const COUNTS_AFTER: Micros = 6 * S;

/// From when on the last change that took this node out of use counts as known to a process that started then; None where it
/// is in use.
pub fn latest(
    fleet: &Fleet,
    changes: &[(Micros, EndpointId, EndpointState)],
    node: EndpointId,
    started: Option<Micros>,
) -> Option<Micros> {
    let (made, _, stage) = changes.iter().rev().find(|(_, id, _)| *id == node)?;
    (*stage != EndpointState::Ready).then(|| counts_from(fleet, *made).max(started.unwrap_or(0)))
}

/// An outage has the time count anew from its end.
fn counts_from(fleet: &Fleet, made: Micros) -> Micros {
    let reached = match fleet.outage {
        Some((begin, end)) if begin < made + COUNTS_AFTER && made < end => end,
        _ => made,
    };
    reached + COUNTS_AFTER
}
