//! JSON-RPC 2.0 peers, written from the specification and sharing no code with the proxy.

mod client;
mod endpoint;
mod framing;

pub use client::{request, RpcClient};
pub use endpoint::{MockRpcEndpoint, RpcBehavior};
pub use framing::Framing;
