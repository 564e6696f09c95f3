//! Simulates fleets in virtual time: many instances of the actual balancer and discovery watch, with modelled
//! clients, endpoints and one discovery service. The simulation uses neither sockets nor a clock, and a run
//! is determined by its seed.
//!
//! It models one tier, and faults of membership: rolling releases, a discovery service that is overloaded,
//! does not respond or truncates responses, and processes that restart. [`run`] simulates a [`Fleet`] and
//! returns a [`Report`].
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

/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000 * MILLISECOND;

/// Simulates a fleet to the end of its run.
#[must_use]
pub fn run(fleet: &Fleet) -> Report {
    world::World::new(fleet).run()
}
