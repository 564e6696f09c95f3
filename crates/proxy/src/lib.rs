//! The data plane: sockets round the decisions of `decide`. What is decided here is nothing but what outcomes
//! prove; the driver hands events over and carries actions out.
//!
//! Fronts ([`server`], [`request`]) and backends ([`backend`]) know nothing of each other: between them stand the
//! types of [`exchange`] and the driver's [`inbox`].

pub mod backend;
pub mod clock;
pub mod driver;
pub mod exchange;
mod figures;
pub mod flow;
mod framing;
pub mod gate;
mod guard;
mod handover;
pub mod hosting;
mod ids;
pub mod inbox;
mod learned_state;
pub mod log;
mod maintenance;
mod mapping;
pub mod membership;
mod once;
mod operators;
pub mod own;
mod passed;
pub mod peers;
pub mod platform;
mod pool;
mod process;
pub mod request;
mod routing;
pub mod server;
mod snapshot;
mod socket;
