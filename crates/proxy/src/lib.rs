//! The data plane: sockets round the decisions of `decide`. What is decided here is nothing but what outcomes
//! prove; the driver hands events over and carries actions out.
//!
//! Fronts ([`downstream`]) and backends ([`upstream`]) know nothing of each other: between them stand the
//! types of [`exchange`] and the driver's [`inbox`].

pub mod body;
pub mod clock;
pub mod downstream;
pub mod driver;
pub mod exchange;
pub mod gossip;
mod handover;
pub mod hosting;
mod idempotency_keys;
pub mod inbox;
mod inherited_socket;
mod learned_state;
pub mod log;
mod maintenance;
pub mod membership;
mod metrics;
mod operators;
mod panic_guard;
pub mod platform;
mod platform_router;
mod pool;
mod process;
mod request_ids;
mod route_lookup;
pub mod router;
mod rpc_mapping;
mod snapshot;
mod socket;
pub mod standalone;
pub mod start_error;
pub mod upstream;
