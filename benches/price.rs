//! Compares the processor time of the proxy per small request on the platform's listener with that of another
//! build.
//!
//! `BEFORE=path/to/the/other/amberlever cargo bench --bench price`. Rounds alternate between the builds and
//! the result is the ratio of each pair, so that a temporary load on the machine affects both.

mod pairs;
#[path = "../tests/stubs/mod.rs"]
mod stubs;

use stubs::*;

const ROUNDS: usize = 41;
/// Few enough that all rounds end before the proxies, whose discovery does not respond, must assume that a
/// drain has been notified.
const REQUESTS: usize = 1000;

fn main() {
    // Benchmarks without the standard harness are also started with `--list` or `--test`, and measure nothing
    // then.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let current = env!("CARGO_BIN_EXE_amberlever").to_owned();
    // Without another build, this build is compared with itself, which shows the accuracy of the figure.
    let before = std::env::var("BEFORE").unwrap_or_else(|_| current.clone());
    let endpoints: Vec<MockEndpoint> = (0..4).map(|_| MockEndpoint::of(|_| ok("done"))).collect();
    let proxies = [before, current]
        .map(|program| Setup::with_endpoints(&endpoints.iter().collect::<Vec<_>>()).start_program(&program));
    let result = pairs::compare([&proxies[0], &proxies[1]], &endpoints, ROUNDS, REQUESTS);
    println!("this build / other build, {result}");
}
