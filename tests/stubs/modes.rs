//! Proxies with one endpoint, in platform mode and in standalone mode.

use std::net::SocketAddr;

use testkit::*;

use super::platform::{start_config, with_operators_address, Setup};
use super::process::Process;
use super::standalone::start_standalone;

/// The lowest memory limit that the platform sets, in MiB.
pub const MIN_MEMORY_LIMIT_MB: u64 = 32;

/// The times of each class, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ClassTimes {
    pub latency_objective_ms: u32,
    pub deadline_ms: u32,
}

impl ClassTimes {
    /// A latency objective that equals the deadline.
    pub fn deadline(deadline_ms: u32) -> ClassTimes {
        ClassTimes { latency_objective_ms: deadline_ms, deadline_ms }
    }
}

/// Starts the only proxy of a tier in platform mode, with an operators' address and the lowest memory limit.
pub fn start_platform(endpoint: SocketAddr, times: ClassTimes) -> (Process, MockDiscovery) {
    let discovery = MockDiscovery::new();
    let ClassTimes { latency_objective_ms, deadline_ms } = times;
    let mut setup = Setup { latency_objective_ms, deadline_ms, ..Setup::with_endpoints(&[]) };
    setup.endpoints = vec![host("s-0", endpoint, "SERVING")];
    let config = with_operators_address(&setup.config(discovery.address));
    let memory = format!("\"memory_mb\":{MIN_MEMORY_LIMIT_MB}");
    let process = start_config(&config.replace("\"memory_mb\":192", &memory));
    process.wait_until_ready();
    (process, discovery)
}

/// Starts a proxy in each mode, with an operators' address, that streams large bodies.
pub fn start_in_each_mode(
    endpoint: SocketAddr,
    times: ClassTimes,
) -> [(&'static str, Process, Option<MockDiscovery>); 2] {
    let (platform, discovery) = start_platform(endpoint, times);
    let ClassTimes { latency_objective_ms, deadline_ms } = times;
    let class = |name: &str, semantics: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\naim_ms = {latency_objective_ms}\ndeadline_ms = {deadline_ms}\n\
             semantics = \"{semantics}\"\n\
             [[route]]\nname = \"{name}\"\nmatch = {{ path = \"/{name}/*\" }}\nclass = \"{name}\"\npool = \"p\"\n"
        )
    };
    let standalone = start_standalone(
        &format!(
            "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}]\n[operators]\nlisten = \"127.0.0.1:0\"\n\
             [limits]\nbody_bytes = {}\n\
             [[pool]]\nname = \"p\"\nnodes = [{{ name = \"n\", address = \"{endpoint}\" }}]\n{}{}",
            40 << 20,
            class("read", "idempotent"),
            class("write", "at-most-once"),
        ),
        &[],
    );
    [("platform", platform, Some(discovery)), ("standalone", standalone, None)]
}
