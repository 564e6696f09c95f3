//! Simulates fleets in virtual time: many instances of the real balancer and of the real discovery watch, among modelled clients,
//! endpoints and one discovery. No sockets and no clock; a run is determined by its seed.
//!
//! It models one tier, and faults of membership: rolling releases, a discovery that is overloaded, does not respond or truncates
//! responses, and processes that restart. [`run`] simulates a [`Fleet`] and returns its [`Report`].
#![warn(missing_docs)]

mod discovery;
mod endpoint;
mod fleet;
mod notification;
mod process;
mod report;
mod settings;
mod world;

pub use fleet::{Fleet, Outage, Release, Restart};
pub use report::Report;

use decide::Micros;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000 * MILLISECOND;

/// Simulates a fleet to the end of its run.
#[must_use]
pub fn run(fleet: &Fleet) -> Report {
    world::World::new(fleet).run()
}
