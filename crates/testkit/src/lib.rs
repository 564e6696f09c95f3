//! Mock peers of the proxy on loopback, shared by tests, benchmarks and the demo: endpoints with scripted
//! behavior, discovery, BGP routers, and clients.
//!
//! The system chooses all ports. Each wait of a test ends after [`TEST_TIMEOUT`] at the latest. A panic on the
//! thread of the test fails the test.

pub mod bgp_router;
mod discovery_list;
mod fixed_latency_endpoint;
mod http_client;
mod http_message;
pub mod json_rpc;
mod mock_agent;
mod mock_discovery;
mod mock_endpoint;
mod mock_server;
mod release;
mod reserved_port;

use std::time::Duration;

pub use discovery_list::{host, list};
pub use fixed_latency_endpoint::FixedLatencyEndpoint;
pub use http_client::{put, read, write, HttpClient};
pub use http_message::{read_message, HttpMessage};
pub use json_rpc::{Framing, MockRpcEndpoint, RpcBehavior, RpcClient};
pub use mock_agent::{AgentBehavior, MockAgent};
pub use mock_discovery::{MockDiscovery, PollResponse};
pub use mock_endpoint::{answer, full, ok, Behavior, MockEndpoint};
pub use mock_server::{MockServer, ServerEvent};
pub use release::Release;
pub use reserved_port::{unused_address, ReservedPort};

/// The timeout of every wait, far above what a busy machine needs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
