//! The data plane: the I/O around the load balancing decisions of the `decide` crate. The [`driver`] passes
//! events to the balancer and carries out its actions.
//!
//! - Modes: [`standalone`], [`hosting`] and [`platform`], which share `process`, `inherited_socket` and
//!   [`start_error`].
//! - Downstream, the side of the clients: [`downstream`] serves connections, [`router`] defines the interface
//!   that each mode implements for it, `route_lookup` and `platform_router` find a request's pool,
//!   `request_ids` and `idempotency_keys` hold the ids and keys in use.
//! - Upstream, the side of the endpoints: [`upstream`] keeps the connections and sends attempts.
//! - Between downstream and upstream, which do not depend on each other: the types of [`exchange`], and the
//!   driver's [`inbox`].
//! - Messages: [`body`] transfers bodies, `rpc_mapping` maps between JSON-RPC and HTTP.
//! - Pools: `pool` assembles one, `snapshot` holds all pools of a configuration, [`membership`] updates their
//!   endpoint lists, and [`gossip`] is the socket for gossip with the other proxies of a tier.
//! - State across restarts: `learned_state` in a folder, `handover` to the successor, `maintenance` by
//!   operators.
//! - Operations: `operators` serves the operators' address, `metrics` counts requests and attempts, [`log`]
//!   writes lines.
//! - Foundations: [`clock`], `socket`, `memory`, `panic_guard`.

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
mod memory;
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
