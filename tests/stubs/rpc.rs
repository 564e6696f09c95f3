//! A proxy that listens for both protocols, in front of nodes of one.
#![allow(dead_code)]

use std::net::SocketAddr;

use super::stubs::*;

/// What the proxy is told.
pub struct Site {
    pub nodes: Vec<SocketAddr>,
    /// The nodes speak JSON-RPC.
    pub speaks: bool,
    pub frames: Framing,
    /// How long keys are known.
    pub window_ms: u32,
    /// What is promised: calls with less time than that are refused at once.
    pub aim_ms: u32,
    /// More keys of the server, the listener for JSON-RPC, the pool, and the file.
    pub server: String,
    pub listen: String,
    pub pool: String,
    pub more: String,
}

impl Site {
    pub fn rpc(nodes: &[SocketAddr]) -> Site {
        Site { speaks: true, ..Site::http(nodes) }
    }

    pub fn http(nodes: &[SocketAddr]) -> Site {
        Site {
            nodes: nodes.to_vec(),
            speaks: false,
            frames: Framing::Lines,
            window_ms: 60_000,
            aim_ms: 4_000,
            server: String::new(),
            listen: String::new(),
            pool: String::new(),
            more: String::new(),
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
        let speaks = if self.speaks { protocol.clone() + &self.pool } else { String::new() };
        let speaks = speaks.replace(", ", "\n");
        let class = |name: &str, more: &str| {
            format!("[[class]]\nname = \"{name}\"\naim_ms = {}\ndeadline_ms = 4000\n{more}\n[[route]]\nname = \"{name}\"\nmatch = {{ path = \"/{name}/{{x}}\" }}\nclass = \"{name}\"\npool = \"p\"\n", self.aim_ms)
        };
        format!(
            "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}, {{ address = \"127.0.0.1:0\", {protocol}{} }}]\n{}{}{}{}[[pool]]\nname = \"p\"\nnodes = [{}]\n{speaks}\n{}",
            self.listen,
            self.server,
            class("standings", "semantics = \"idempotent\""),
            class("report-result", &format!("semantics = \"deduplicated\"\ndedup_group = \"all\"\ndedup_window_ms = {}", self.window_ms)),
            class("close-round", "semantics = \"at-most-once\""),
            nodes.join(", "),
            self.more,
        )
    }
}

/// A proxy that listens for both protocols.
pub struct Both {
    pub process: Process,
    pub rpc: SocketAddr,
    frames: Framing,
}

impl Both {
    #[track_caller]
    pub fn start(site: &Site) -> Both {
        let process = serve(&site.config(), &[]);
        process.says("listening on ");
        let log = process.log();
        let rpc = log.lines().find_map(|l| l.strip_prefix("listening on ")).expect("said");
        Both { rpc: rpc.parse().expect("an address"), process, frames: site.frames }
    }

    #[track_caller]
    pub fn rpc(&self) -> RpcClient {
        RpcClient::connect(self.rpc, self.frames)
    }
}
