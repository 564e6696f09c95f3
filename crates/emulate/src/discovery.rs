//! The simulated discovery service. It serves calls one after another, rejects calls that would be queued for
//! too long, and may truncate a response or not respond. A change counts as notified at most two seconds after
//! discovery starts to write a response with it, even if the response does not arrive.

use decide::{EndpointId, EndpointState, Micros};
use fastrand::Rng;

use crate::{Fleet, MILLISECOND, SECOND};

/// The longest time in the queue. Calls that would be queued for longer are rejected.
const QUEUE_LIMIT: Micros = 2 * SECOND;
/// The minimum number of proxies for which discovery is sized.
const MIN_PROXIES: usize = 8;
/// A call within this time after the last response continues the same watch, and is not queued.
const WATCH_CONTINUES: Micros = 200 * MILLISECOND;
/// The time that a response takes to reach the proxy.
const RESPONSE_LATENCY: Micros = 2 * MILLISECOND;
/// The time from the start of writing a response until its changes count as notified.
const NOTIFIED_AFTER_WRITE: Micros = 2 * SECOND;

/// A change of the list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The time from which discovery has the change.
    pub at: Micros,
    pub endpoint: EndpointId,
    pub state: EndpointState,
}

/// The end of a call, with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEnd {
    /// The response brings the changes up to a version.
    Completed {
        at: Micros,
        version: usize,
    },
    Truncated {
        at: Micros,
    },
    Rejected {
        at: Micros,
    },
    /// There is no response. The changes that it would have brought count as notified from this time on.
    Silent {
        notified_at: Micros,
    },
}

/// The changes up to a version. They count as notified even though the response with them does not arrive.
#[derive(Clone, Copy, Debug)]
pub struct MissedChanges {
    pub notified_at: Micros,
    pub version: usize,
}

/// A call of a proxy for changes.
#[derive(Clone, Copy, Debug)]
pub struct PollRequest {
    /// The version of the list that the proxy has.
    pub known_version: usize,
    /// The time for which discovery may wait for a change.
    pub wait: Micros,
    /// The time of the last response to the proxy.
    pub last_response_at: Option<Micros>,
}

pub struct Discovery {
    /// The changes of the whole run, in the order of their times.
    pub changes: Vec<ListChange>,
    /// The time at which all queued calls have been served.
    busy_until: Micros,
    pub queued_calls: u64,
    pub rejected_calls: u64,
}

impl Discovery {
    /// Creates a discovery service with the changes of the fleet's release: at each step the oldest endpoint
    /// starts to drain and a new one takes its place.
    pub fn new(fleet: &Fleet) -> Discovery {
        let mut changes = Vec::new();
        if let Some(release) = fleet.release {
            let end = release.end.max(release.start + 1);
            let times = (0..).map(|step| release.start + release.interval * step);
            for (at, oldest) in times.take_while(|at| *at < end).zip(0_u32..) {
                let new = EndpointId(oldest + fleet.endpoints as u32);
                changes.push(ListChange { at, endpoint: new, state: EndpointState::Ready });
                changes.push(ListChange { at, endpoint: EndpointId(oldest), state: EndpointState::Draining });
            }
        }
        Discovery { changes, busy_until: 0, queued_calls: 0, rejected_calls: 0 }
    }

    /// Returns the number of changes that discovery has at a time.
    fn version(&self, at: Micros) -> usize {
        self.changes.partition_point(|change| change.at <= at)
    }

    /// Serves a call for changes. Returns how the call ends, and the changes that it misses.
    pub fn serve(
        &mut self,
        fleet: &Fleet,
        rng: &mut Rng,
        now: Micros,
        request: PollRequest,
    ) -> (CallEnd, Option<MissedChanges>) {
        let Some(served_from) = self.enqueue(fleet, now, request.last_response_at) else {
            self.rejected_calls += 1;
            return (CallEnd::Rejected { at: now + QUEUE_LIMIT }, None);
        };
        let wait_ends = now + request.wait;
        let next_change = self.changes.get(request.known_version);
        let changed_at = next_change.map_or(wait_ends, |change| change.at).max(served_from);
        let responds_at = changed_at.min(wait_ends.max(served_from));
        if let Some(outage) = fleet.outage {
            if (served_from..=responds_at).contains(&outage.start) {
                return (CallEnd::Rejected { at: outage.start }, None);
            }
        }
        let version = self.version(responds_at);
        let missed =
            |notified_at| (version > request.known_version).then_some(MissedChanges { notified_at, version });
        let draw = rng.f64();
        if draw < fleet.silent_fraction {
            let notified_at = wait_ends + NOTIFIED_AFTER_WRITE;
            (CallEnd::Silent { notified_at }, missed(notified_at))
        } else if draw < fleet.silent_fraction + fleet.truncated_fraction {
            let end = CallEnd::Truncated { at: responds_at + RESPONSE_LATENCY };
            (end, missed(responds_at + NOTIFIED_AFTER_WRITE))
        } else {
            (CallEnd::Completed { at: responds_at + RESPONSE_LATENCY, version }, None)
        }
    }

    /// Returns the time from which a call is served, or `None` if it is rejected.
    fn enqueue(&mut self, fleet: &Fleet, now: Micros, last_response_at: Option<Micros>) -> Option<Micros> {
        if fleet.outage.is_some_and(|outage| outage.contains(now)) {
            return None;
        }
        if last_response_at.is_some_and(|at| now <= at + WATCH_CONTINUES) {
            return Some(now);
        }
        self.queued_calls += 1;
        let service_time = fleet.discovery_round / fleet.proxies.max(MIN_PROXIES) as Micros;
        let served_from = self.busy_until.max(now) + service_time;
        if served_from > now + QUEUE_LIMIT {
            return None;
        }
        self.busy_until = served_from;
        Some(served_from)
    }
}
