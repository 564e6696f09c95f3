//! The state of one address: its announcement level and the damping of its flaps.

use std::collections::BTreeMap;

use super::health::{assess, Assessment};
use super::{Address, AddressView, AnnouncementLevel, Damping, PoolHealth, ProcessHealth, StateReason};
use crate::table::Attributes;
use crate::Micros;

/// Community GRACEFUL_SHUTDOWN (RFC 8326).
const GRACEFUL_SHUTDOWN: u32 = 0xffff_0000;
/// LOCAL_PREF of normal and degraded announcements.
const LOCAL_PREF: u32 = 100;
/// LOCAL_PREF of announcements about to be withdrawn (RFC 8326).
const GRACEFUL_SHUTDOWN_LOCAL_PREF: u32 = 0;
/// The penalty that a flap adds. A penalty of `p` multiplies the hold-up time by 2 to the power of `p`.
const FLAP_PENALTY: f64 = 1.0;

/// An address and its state.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) address: Address,
    pub(super) held: bool,
    pub(super) level: AnnouncementLevel,
    since: Micros,
    reason: StateReason,
    /// When the hold-up time began that must pass before the level is raised; `None` if it is not running.
    hold_up_since: Option<Micros>,
    flaps: u64,
    penalty: f64,
    penalty_at: Micros,
}

impl Entry {
    /// Creates the entry of a withdrawn address.
    pub(super) fn new(now: Micros, address: Address) -> Entry {
        Entry {
            address,
            held: false,
            level: AnnouncementLevel::Withdrawn,
            since: now,
            // Until the first decision, which replaces it.
            reason: StateReason::HoldUp,
            hold_up_since: None,
            flaps: 0,
            penalty: 0.0,
            penalty_at: now,
        }
    }

    /// Returns when the hold-up time ends, if it is running.
    pub(super) fn hold_up_ends_at(&self, now: Micros) -> Option<Micros> {
        Some(self.hold_up_since? + self.hold_up(now))
    }

    /// Returns the path attributes to announce now, if any.
    pub(super) fn announced_attributes(&self) -> Option<Attributes> {
        let with_preference =
            |attributes: &Attributes| Attributes { local_pref: LOCAL_PREF, ..attributes.clone() };
        match self.level {
            AnnouncementLevel::Withdrawn => None,
            AnnouncementLevel::Normal => Some(with_preference(&self.address.attributes)),
            AnnouncementLevel::Degraded => Some(with_preference(&self.address.degraded)),
            AnnouncementLevel::GracefulShutdown => {
                let mut attributes = self.address.attributes.clone();
                attributes.local_pref = GRACEFUL_SHUTDOWN_LOCAL_PREF;
                attributes.communities.push(GRACEFUL_SHUTDOWN);
                Some(attributes)
            }
        }
    }

    /// Returns the state as shown to operators.
    pub(super) fn view(&self, now: Micros) -> AddressView {
        AddressView {
            prefix: self.address.prefix,
            level: self.level,
            reason: self.reason.clone(),
            since: self.since,
            flaps: self.flaps,
            hold_up: self.hold_up(now),
            ready_since: self.hold_up_since.filter(|_| self.level == AnnouncementLevel::Withdrawn),
        }
    }

    /// Decides the level and returns whether it has changed. `shutdown_at` is when the address is withdrawn
    /// for a shutdown; `None` if none has begun.
    pub(super) fn decide(
        &mut self,
        now: Micros,
        shutdown_at: Option<Micros>,
        process: ProcessHealth,
        pools: &BTreeMap<String, PoolHealth>,
    ) -> bool {
        let previous = self.level;
        let assessment = self.assess(process, pools);
        match shutdown_at {
            Some(shutdown_at) => self.shut_down(now, shutdown_at, &assessment),
            None => self.apply(now, assessment),
        }
        let changed = self.level != previous;
        if changed {
            self.since = now;
        }
        changed
    }

    /// Returns the worst of the assessments of the process and of the pools.
    fn assess(&self, process: ProcessHealth, pools: &BTreeMap<String, PoolHealth>) -> Assessment {
        if self.held {
            return Assessment::Unavailable(StateReason::HeldByOperator);
        }
        if let Some(fault) = process.fault() {
            return Assessment::Unavailable(fault);
        }
        let assessments = self.address.pools.iter().map(|name| match pools.get(name) {
            None => Assessment::Unavailable(StateReason::UnknownPool(name.clone())),
            Some(health) => assess(name, health, &self.address.thresholds),
        });
        assessments.fold(Assessment::Available(1.0), Assessment::worse)
    }

    fn shut_down(&mut self, now: Micros, shutdown_at: Micros, assessment: &Assessment) {
        let can_serve = !matches!(assessment, Assessment::Unavailable(_));
        let is_announced = self.level != AnnouncementLevel::Withdrawn;
        self.hold_up_since = None;
        self.reason = StateReason::ShuttingDown;
        self.level = if is_announced && can_serve && now < shutdown_at {
            AnnouncementLevel::GracefulShutdown
        } else {
            AnnouncementLevel::Withdrawn
        };
    }

    fn apply(&mut self, now: Micros, assessment: Assessment) {
        match assessment {
            Assessment::Unavailable(reason) => self.withdraw(now, reason),
            // Cancels a running hold-up time and keeps the level.
            Assessment::Unconfirmed(reason) => {
                self.reason = reason;
                self.hold_up_since = None;
            }
            Assessment::Available(fraction) => {
                let is_degraded = fraction < self.address.thresholds.degrade;
                self.apply_available(now, is_degraded);
            }
        }
    }

    /// Withdraws the address at once. An operator's hold does not count as a flap.
    fn withdraw(&mut self, now: Micros, reason: StateReason) {
        let is_announced = self.level != AnnouncementLevel::Withdrawn;
        if is_announced && reason != StateReason::HeldByOperator {
            self.flaps += 1;
            self.add_penalty(now);
        }
        self.level = AnnouncementLevel::Withdrawn;
        self.reason = reason;
        self.hold_up_since = None;
    }

    /// Lowers the level at once, and raises it only after the hold-up time. A change from normal to degraded
    /// adds a penalty, but is not counted in `flaps`, which counts withdrawals.
    fn apply_available(&mut self, now: Micros, is_degraded: bool) {
        match self.level {
            AnnouncementLevel::Normal | AnnouncementLevel::GracefulShutdown => {
                self.reason = StateReason::Ready;
                self.level = AnnouncementLevel::Normal;
                if is_degraded {
                    self.add_penalty(now);
                    self.level = AnnouncementLevel::Degraded;
                    self.hold_up_since = None;
                }
            }
            AnnouncementLevel::Degraded => {
                self.reason = StateReason::Ready;
                if is_degraded {
                    self.hold_up_since = None;
                } else if self.hold_up_is_over(now) {
                    self.level = AnnouncementLevel::Normal;
                    self.hold_up_since = None;
                }
            }
            AnnouncementLevel::Withdrawn => {
                self.reason = StateReason::HoldUp;
                if self.hold_up_is_over(now) {
                    self.level =
                        if is_degraded { AnnouncementLevel::Degraded } else { AnnouncementLevel::Normal };
                    self.reason = StateReason::Ready;
                    self.hold_up_since = None;
                }
            }
        }
    }

    /// Starts the hold-up time unless it is running, and returns whether it is over.
    fn hold_up_is_over(&mut self, now: Micros) -> bool {
        let since = *self.hold_up_since.get_or_insert(now);
        now - since >= self.hold_up(now)
    }

    /// Returns the penalty of past flaps after its decay up to `now`.
    fn penalty(&self, now: Micros) -> f64 {
        let half_life = self.address.damping.half_life.max(1) as f64;
        let elapsed = (now - self.penalty_at).max(0) as f64;
        self.penalty * (-elapsed / half_life).exp2()
    }

    fn add_penalty(&mut self, now: Micros) {
        let Damping { hold_up, max_hold_up, .. } = self.address.damping;
        // A penalty beyond that of the maximum hold-up time would not lengthen it, but would take longer to
        // decay.
        let penalty_at_max_hold_up = (max_hold_up.max(1) as f64 / hold_up.max(1) as f64).log2().max(0.0);
        let max_penalty = penalty_at_max_hold_up + FLAP_PENALTY;
        self.penalty = (self.penalty(now) + FLAP_PENALTY).min(max_penalty);
        self.penalty_at = now;
    }

    /// Returns the hold-up time that applies now.
    fn hold_up(&self, now: Micros) -> Micros {
        let Damping { hold_up, max_hold_up, .. } = self.address.damping;
        let grown = hold_up as f64 * self.penalty(now).exp2();
        (grown as Micros).min(max_hold_up).max(hold_up)
    }
}
