//! Measures the start-up time and resident memory of the proxy with lists of 16 to 16,384 endpoints.
//!
//! `cargo bench --bench scale`. Each figure is the median of several starts, and is printed relative to that
//! of 16 endpoints in the same run.

#[path = "../tests/stubs/mod.rs"]
mod stubs;

use std::time::Instant;

use stubs::*;

const STARTS: usize = 9;

fn main() {
    // Benchmarks without the standard harness are also started with `--list` or `--test`, and measure nothing
    // then.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let mut baseline = None;
    for endpoints in [16, 256, 1024, 4096, 16_384] {
        let mut starts: Vec<(f64, u64)> = (0..STARTS).map(|_| measure_start(endpoints)).collect();
        starts.sort_by(|a, b| a.0.total_cmp(&b.0));
        let ms = starts[STARTS / 2].0;
        starts.sort_by_key(|start| start.1);
        let kb = starts[STARTS / 2].1;
        let (baseline_ms, baseline_kb) = *baseline.get_or_insert((ms, kb));
        println!(
            "{endpoints:6} endpoints: ready after {ms:7.1} ms ({:.1} times), {kb:6} kB resident (+{} kB)",
            ms / baseline_ms,
            kb.saturating_sub(baseline_kb)
        );
    }
}

/// Starts a proxy with a list of this length. Returns the time until it reports healthy, in milliseconds, and
/// its resident memory then, in kilobytes.
fn measure_start(endpoints: usize) -> (f64, u64) {
    let mut setup = Setup::with_endpoints(&[]);
    let unused = unused_address();
    setup.endpoints = (0..endpoints).map(|n| host(&format!("server-{n:06}"), unused, "SERVING")).collect();
    setup.balancers = 1024;
    let started_at = Instant::now();
    let proxy = setup.start();
    let mut client = proxy.connect();
    while client.ask("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status() != 200 {}
    let ms = started_at.elapsed().as_secs_f64() * 1e3;
    (ms, proxy.descriptors_and_memory().1)
}
