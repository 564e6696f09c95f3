//! What a long list of servers costs: start-up time and resident memory, at 16 to 16,384 of them.
//!
//! `cargo bench --bench scale`. Each is the median of several starts, told beside that of 16 servers in the same run.

#[path = "../tests/stubs/mod.rs"]
mod stubs;

use std::time::Instant;

use stubs::*;

const STARTS: usize = 9;

fn main() {
    // Cargo asks benchmarks that bring their own harness for a list of them.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let mut least = None;
    for servers in [16, 256, 1024, 4096, 16_384] {
        let mut told: Vec<(f64, u64)> = (0..STARTS).map(|_| start(servers)).collect();
        told.sort_by(|a, b| a.0.total_cmp(&b.0));
        let ms = told[STARTS / 2].0;
        told.sort_by_key(|t| t.1);
        let kb = told[STARTS / 2].1;
        let (ms_least, kb_least) = *least.get_or_insert((ms, kb));
        println!(
            "{servers:6} servers: ready after {ms:7.1} ms ({:.1} times), {kb:6} kB resident (+{} kB)",
            ms / ms_least,
            kb.saturating_sub(kb_least)
        );
    }
}

/// The time from the start to the first sign of a list, in milliseconds, and the memory then, in kilobytes.
fn start(servers: usize) -> (f64, u64) {
    let mut setup = Setup::with_endpoints(&[]);
    let away = unused_address();
    setup.endpoints = (0..servers).map(|n| host(&format!("server-{n:06}"), away, "SERVING")).collect();
    setup.balancers = 1024;
    let since = Instant::now();
    let proxy = setup.start();
    let mut caller = proxy.connect();
    while caller.ask("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status() != 200 {}
    let ms = since.elapsed().as_secs_f64() * 1e3;
    (ms, proxy.descriptors_and_memory().1)
}
