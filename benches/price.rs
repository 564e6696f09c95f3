//! What a small request costs on the platform's listener beside another build of the program, in processor time of the
//! proxy, paired in one run.
//!
//! `BEFORE=path/to/the/other/amberlever cargo bench --bench price`. Rounds alternate between both, and what is told is the
//! ratio of each pair, so that a machine that is busy for a while is busy for both.

mod pairs;
#[path = "../tests/stubs/mod.rs"]
mod stubs;

use stubs::*;

const ROUNDS: usize = 41;
/// All rounds end before the silent discovery of these proxies is taken for one that told of a drain.
const REQUESTS: usize = 1000;

fn main() {
    // Cargo asks benchmarks that bring their own harness for a list of them.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let now = env!("CARGO_BIN_EXE_amberlever").to_owned();
    // Against itself it tells how far to believe the figure.
    let before = std::env::var("BEFORE").unwrap_or_else(|_| now.clone());
    let nodes: Vec<MockEndpoint> = (0..4).map(|_| MockEndpoint::of(|_| ok("done"))).collect();
    let proxies = [before, now]
        .map(|program| Setup::with_endpoints(&nodes.iter().collect::<Vec<_>>()).start_program(&program));
    let told = pairs::told([&proxies[0], &proxies[1]], &nodes, ROUNDS, REQUESTS);
    println!("this build / the other, {told}");
}
