//! Decides which addresses are announced, and with which path attributes, by the health of the pools behind
//! them.
//!
//! An address is withdrawn at once when a pool behind it cannot serve, and announced only when all of them
//! have been ready for the hold-up time without interruption. Each flap, which is a withdrawal that no
//! operator has requested or a change from normal to degraded, doubles the next hold-up time up to a bound.
//! This penalty decays with a half-life (route flap damping). A withdrawal is never delayed.
//!
//! Inputs are the health of the process and of the pools, and the time in microseconds. Unknown health, such
//! as a stale endpoint list, neither withdraws an address nor announces one. Memory is bounded by
//! [`MAX_ADDRESSES`].

mod address;
mod entry;
mod health;
mod reason;

use std::collections::BTreeMap;

use ipnet::IpNet;

use crate::table::Attributes;
use crate::Micros;

pub use address::{Address, AddressView, AnnouncementLevel, Damping, Thresholds};
use entry::Entry;
pub use health::{EndpointHealth, PoolHealth, ProcessHealth};
pub use reason::StateReason;

/// The maximum number of addresses that one process announces.
pub const MAX_ADDRESSES: usize = 1024;

/// The addresses that can be announced, and their states.
#[derive(Clone, Debug, Default)]
pub struct Announcer {
    entries: BTreeMap<IpNet, Entry>,
    /// When addresses are withdrawn for a shutdown, if one has begun.
    shutdown_at: Option<Micros>,
}

impl Announcer {
    /// Replaces the addresses. Those whose prefix is already present keep their state.
    pub fn set(&mut self, now: Micros, addresses: &[Address]) {
        self.entries.retain(|prefix, _| addresses.iter().any(|address| address.prefix == *prefix));
        for address in addresses.iter().take(MAX_ADDRESSES) {
            let entry =
                self.entries.entry(address.prefix).or_insert_with(|| Entry::new(now, address.clone()));
            entry.address = address.clone();
        }
    }

    /// Holds an address down on behalf of an operator, or releases it. Returns false if there is no such
    /// address.
    pub fn hold(&mut self, prefix: IpNet, held: bool) -> bool {
        self.entries.get_mut(&prefix).map(|entry| entry.held = held).is_some()
    }

    /// Begins a graceful shutdown: announced addresses carry the community GRACEFUL_SHUTDOWN for `delay`, and
    /// are then withdrawn.
    pub fn begin_shutdown(&mut self, now: Micros, delay: Micros) {
        self.shutdown_at.get_or_insert(now + delay);
    }

    /// Ends the delay of a shutdown that has begun.
    pub fn skip_shutdown_delay(&mut self, now: Micros) {
        self.shutdown_at = self.shutdown_at.map(|shutdown_at| shutdown_at.min(now));
    }

    /// Returns when a decision may change without a change of health; `None` if none can.
    #[must_use]
    pub fn next_decision(&self, now: Micros) -> Option<Micros> {
        let mut entries = self.entries.values();
        match self.shutdown_at {
            Some(shutdown_at) => {
                let is_announced = |entry: &Entry| entry.level != AnnouncementLevel::Withdrawn;
                entries.any(is_announced).then_some(shutdown_at)
            }
            None => entries.filter_map(|entry| entry.hold_up_ends_at(now)).min(),
        }
    }

    /// Decides the level of each address. Returns whether any level has changed.
    pub fn decide(
        &mut self,
        now: Micros,
        process: ProcessHealth,
        pools: &BTreeMap<String, PoolHealth>,
    ) -> bool {
        let mut changed = false;
        for entry in self.entries.values_mut() {
            changed |= entry.decide(now, self.shutdown_at, process, pools);
        }
        changed
    }

    /// Returns the prefixes to announce, with their path attributes.
    #[must_use]
    pub fn announcements(&self) -> BTreeMap<IpNet, Attributes> {
        let announced = |(prefix, entry): (&IpNet, &Entry)| Some((*prefix, entry.announced_attributes()?));
        self.entries.iter().filter_map(announced).collect()
    }

    /// Returns the state of each address.
    pub fn views(&self, now: Micros) -> impl Iterator<Item = AddressView> + '_ {
        self.entries.values().map(move |entry| entry.view(now))
    }
}
