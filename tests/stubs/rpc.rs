//! A proxy that listens for HTTP and JSON-RPC, in front of endpoints of either protocol.
#![allow(dead_code)]

use std::net::SocketAddr;

use super::stubs::*;

/// The configuration of a proxy that listens for HTTP and JSON-RPC.
pub struct RpcSite {
    pub endpoints: Vec<SocketAddr>,
    /// Whether the endpoints use JSON-RPC instead of HTTP.
    pub has_rpc_endpoints: bool,
    pub framing: Framing,
    /// The time for which idempotency keys are stored.
    pub key_window_ms: u32,
    /// The latency objective of each class. Calls with a shorter timeout are rejected at once.
    pub latency_objective_ms: u32,
    /// Further lines of `[server]`.
    pub server_settings: String,
    /// Further settings of the JSON-RPC listener, each after a comma.
    pub rpc_listener_settings: String,
    /// Further settings of a pool of JSON-RPC endpoints, each after a comma.
    pub pool_settings: String,
    /// Further sections of the file.
    pub extra_config: String,
}

impl RpcSite {
    pub fn rpc(endpoints: &[SocketAddr]) -> RpcSite {
        RpcSite { has_rpc_endpoints: true, ..RpcSite::http(endpoints) }
    }

    pub fn http(endpoints: &[SocketAddr]) -> RpcSite {
        RpcSite {
            endpoints: endpoints.to_vec(),
            has_rpc_endpoints: false,
            framing: Framing::Lines,
            key_window_ms: 60_000,
            latency_objective_ms: 4_000,
            server_settings: String::new(),
            rpc_listener_settings: String::new(),
            pool_settings: String::new(),
            extra_config: String::new(),
        }
    }

    pub fn config(&self) -> String {
        let framing = match self.framing {
            Framing::Lines => "line",
            Framing::ContentLength => "content-length",
        };
        let protocol = format!("protocol = \"json-rpc\", framing = \"{framing}\"");
        let endpoints = self.endpoints.iter().enumerate();
        let endpoints: Vec<String> =
            endpoints.map(|(i, a)| format!("{{ name = \"n{i}\", address = \"{a}\" }}")).collect();
        let pool_settings =
            if self.has_rpc_endpoints { protocol.clone() + &self.pool_settings } else { String::new() };
        let pool_settings = pool_settings.replace(", ", "\n");
        let class = |name: &str, more: &str| {
            format!("[[class]]\nname = \"{name}\"\naim_ms = {}\ndeadline_ms = 4000\n{more}\n[[route]]\nname = \"{name}\"\nmatch = {{ path = \"/{name}/{{x}}\" }}\nclass = \"{name}\"\npool = \"p\"\n", self.latency_objective_ms)
        };
        format!(
            "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}, {{ address = \"127.0.0.1:0\", {protocol}{} }}]\n{}{}{}{}[[pool]]\nname = \"p\"\nnodes = [{}]\n{pool_settings}\n{}",
            self.rpc_listener_settings,
            self.server_settings,
            class("standings", "semantics = \"idempotent\""),
            class("report-result", &format!("semantics = \"deduplicated\"\ndedup_group = \"all\"\ndedup_window_ms = {}", self.key_window_ms)),
            class("close-round", "semantics = \"at-most-once\""),
            endpoints.join(", "),
            self.extra_config,
        )
    }
}

/// A proxy that listens for HTTP and JSON-RPC.
pub struct DualProtocolProxy {
    pub process: Process,
    pub rpc: SocketAddr,
    framing: Framing,
}

impl DualProtocolProxy {
    #[track_caller]
    pub fn start(site: &RpcSite) -> DualProtocolProxy {
        let process = start_standalone(&site.config(), &[]);
        process.wait_for_log("listening on ");
        let log = process.log();
        let rpc =
            log.lines().find_map(|l| l.strip_prefix("listening on ")).expect("the log names the address");
        DualProtocolProxy { rpc: rpc.parse().expect("an address"), process, framing: site.framing }
    }

    #[track_caller]
    pub fn rpc(&self) -> RpcClient {
        RpcClient::connect(self.rpc, self.framing)
    }
}
