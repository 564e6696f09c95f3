//! A proxy that listens for both protocols, in front of nodes of one.
#![allow(dead_code)]

use std::net::SocketAddr;

use super::stubs::*;

/// The configuration of a proxy that listens for both protocols.
pub struct RpcSite {
    pub nodes: Vec<SocketAddr>,
    /// The nodes speak JSON-RPC.
    pub has_rpc_endpoints: bool,
    pub frames: Framing,
    /// How long idempotency keys are stored.
    pub key_window_ms: u32,
    /// Calls with less time than that are rejected at once.
    pub latency_objective_ms: u32,
    /// Further settings of the server, the JSON-RPC listener, the pool, and the file.
    pub server_settings: String,
    pub rpc_listener_settings: String,
    pub pool_settings: String,
    pub extra_config: String,
}

impl RpcSite {
    pub fn rpc(nodes: &[SocketAddr]) -> RpcSite {
        RpcSite { has_rpc_endpoints: true, ..RpcSite::http(nodes) }
    }

    pub fn http(nodes: &[SocketAddr]) -> RpcSite {
        RpcSite {
            nodes: nodes.to_vec(),
            has_rpc_endpoints: false,
            frames: Framing::Lines,
            key_window_ms: 60_000,
            latency_objective_ms: 4_000,
            server_settings: String::new(),
            rpc_listener_settings: String::new(),
            pool_settings: String::new(),
            extra_config: String::new(),
        }
    }

    pub fn config(&self) -> String {
        let framing = match self.frames {
            Framing::Lines => "line",
            Framing::ContentLength => "content-length",
        };
        let protocol = format!("protocol = \"json-rpc\", framing = \"{framing}\"");
        let nodes = self.nodes.iter().enumerate();
        let nodes: Vec<String> =
            nodes.map(|(i, a)| format!("{{ name = \"n{i}\", address = \"{a}\" }}")).collect();
        let has_rpc_endpoints =
            if self.has_rpc_endpoints { protocol.clone() + &self.pool_settings } else { String::new() };
        let has_rpc_endpoints = has_rpc_endpoints.replace(", ", "\n");
        let class = |name: &str, more: &str| {
            format!("[[class]]\nname = \"{name}\"\naim_ms = {}\ndeadline_ms = 4000\n{more}\n[[route]]\nname = \"{name}\"\nmatch = {{ path = \"/{name}/{{x}}\" }}\nclass = \"{name}\"\npool = \"p\"\n", self.latency_objective_ms)
        };
        format!(
            "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}, {{ address = \"127.0.0.1:0\", {protocol}{} }}]\n{}{}{}{}[[pool]]\nname = \"p\"\nnodes = [{}]\n{has_rpc_endpoints}\n{}",
            self.rpc_listener_settings,
            self.server_settings,
            class("standings", "semantics = \"idempotent\""),
            class("report-result", &format!("semantics = \"deduplicated\"\ndedup_group = \"all\"\ndedup_window_ms = {}", self.key_window_ms)),
            class("close-round", "semantics = \"at-most-once\""),
            nodes.join(", "),
            self.extra_config,
        )
    }
}

/// A proxy that listens for both protocols.
pub struct DualProtocolProxy {
    pub process: Process,
    pub rpc: SocketAddr,
    frames: Framing,
}

impl DualProtocolProxy {
    #[track_caller]
    pub fn start(site: &RpcSite) -> DualProtocolProxy {
        let process = start_standalone(&site.config(), &[]);
        process.wait_for_log("listening on ");
        let log = process.log();
        let rpc = log.lines().find_map(|l| l.strip_prefix("listening on ")).expect("said");
        DualProtocolProxy { rpc: rpc.parse().expect("an address"), process, frames: site.frames }
    }

    #[track_caller]
    pub fn rpc(&self) -> RpcClient {
        RpcClient::connect(self.rpc, self.frames)
    }
}
