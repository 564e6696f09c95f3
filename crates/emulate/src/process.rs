//! The state of one proxy process.

use std::collections::BTreeMap;

use decide::{Balancer, EndpointId, Micros};
use membership::{DiscoveryWatch, InitialList, WatchAction, WatchEvent};

use crate::discovery::MissedChanges;
use crate::settings::{balancer_settings, watch_policy};
use crate::world::ClientRequest;
use crate::{Fleet, SECOND};

/// The time after its start at which a process reports ready even if its list is not confirmed.
const READY_UNCONFIRMED_AFTER: Micros = 5 * SECOND;
/// The factor that separates the seeds of the proxies of different runs.
const SEED_FACTOR: u64 = 1_000_003;
/// The position of the incarnation in a seed, in bits.
const INCARNATION_SHIFT: u32 = 48;

/// A request that a process has received.
pub struct OpenRequest {
    pub request: ClientRequest,
    pub attempts: Vec<OpenAttempt>,
    pub is_answered: bool,
}

impl OpenRequest {
    /// Returns whether no attempt is in flight.
    pub fn has_no_attempt_in_flight(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.sent_at.is_none())
    }
}

/// An attempt for an open request.
pub struct OpenAttempt {
    pub endpoint: EndpointId,
    /// When the attempt was sent. `None` once it has ended.
    pub sent_at: Option<Micros>,
}

/// A proxy process.
pub struct Proxy {
    pub balancer: Balancer,
    pub watch: DiscoveryWatch,
    /// The number of times that the process was killed.
    pub incarnation: u32,
    /// When the process started. `None` while it is down.
    pub started_at: Option<Micros>,
    /// When the watch is due to be woken.
    pub wake_at: Option<Micros>,
    pub open_requests: BTreeMap<u64, OpenRequest>,
    /// When each idle connection was last used, by endpoint.
    pub idle_connections: BTreeMap<u32, Vec<Micros>>,
    /// The version of the list that the process has, as a number of changes.
    pub list_version: usize,
    pub last_response_at: Option<Micros>,
    /// The time from which the removal of an endpoint counts as notified, by endpoint, whether its response
    /// was received or not.
    pub removal_notified_at: BTreeMap<u32, Micros>,
    pub missed_changes: Vec<MissedChanges>,
    /// The time before which no removal counts as notified by the rule of [`crate::notification`]. Set by the
    /// first call since the last response to which discovery does not respond.
    pub silent_call_notified_at: Option<Micros>,
}

impl Proxy {
    /// Creates a process that starts now, without learned state.
    pub fn start(fleet: &Fleet, rank: usize, incarnation: u32, now: Micros) -> Proxy {
        let proxy_seed = fleet.seed.wrapping_mul(SEED_FACTOR).wrapping_add(rank as u64);
        let seed = proxy_seed ^ u64::from(incarnation) << INCARNATION_SHIFT;
        Proxy {
            balancer: Balancer::new(balancer_settings(fleet, rank), seed),
            watch: DiscoveryWatch::new(watch_policy(), InitialList::Unconfirmed, now, seed),
            incarnation,
            started_at: Some(now),
            wake_at: None,
            open_requests: BTreeMap::new(),
            idle_connections: BTreeMap::new(),
            list_version: 0,
            last_response_at: None,
            removal_notified_at: BTreeMap::new(),
            missed_changes: Vec::new(),
            silent_call_notified_at: None,
        }
    }

    /// Creates a process that has been running, and whose list discovery has just confirmed.
    pub fn running(fleet: &Fleet, rank: usize) -> Proxy {
        let mut proxy = Proxy::start(fleet, rank, 0, 0);
        let mut actions = Vec::new();
        proxy.watch.handle(0, WatchEvent::TimerDue, &mut actions);
        for action in actions {
            if let WatchAction::Poll { call, .. } = action {
                let completed = WatchEvent::ResponseCompleted { call, changed: false };
                proxy.watch.handle(0, completed, &mut Vec::new());
            }
        }
        proxy.last_response_at = Some(0);
        proxy
    }

    /// Returns whether clients may use the process: it reports ready once its list is confirmed, or after
    /// [`READY_UNCONFIRMED_AFTER`].
    pub fn is_ready(&self, now: Micros) -> bool {
        self.started_at.is_some_and(|started_at| {
            !self.watch.is_unconfirmed() || now >= started_at + READY_UNCONFIRMED_AFTER
        })
    }
}
