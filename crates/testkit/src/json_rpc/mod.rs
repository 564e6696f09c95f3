//! JSON-RPC 2.0 clients and endpoints that follow the specification and share no code with the proxy.

mod client;
mod endpoint;
mod framing;

pub use client::{request, RpcClient};
pub use endpoint::{MockRpcEndpoint, RpcBehavior};
pub use framing::Framing;
