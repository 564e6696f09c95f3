//! Compares the processor time of the proxy per request on the listener of a standalone proxy with that on
//! the platform's listener.
//!
//! `cargo bench --bench listeners`. Both proxies serve the same mock endpoints. Rounds alternate between them
//! and the result is the ratio of each pair, so that a temporary load on the machine affects both.

mod pairs;
#[path = "../tests/stubs/mod.rs"]
mod stubs;

use stubs::*;

const ROUNDS: usize = 31;
const REQUESTS: usize = 4000;

fn main() {
    // Benchmarks without the standard harness are also started with `--list` or `--test`, and measure nothing
    // then.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let endpoints: Vec<MockEndpoint> = (0..4).map(|_| MockEndpoint::new([ok("done")])).collect();
    let platform = Setup::with_endpoints(&endpoints.iter().collect::<Vec<_>>()).start();
    let standalone = start_standalone(&standalone_config(&endpoints), &[]);
    let result = pairs::compare([&platform, &standalone], &endpoints, ROUNDS, REQUESTS);
    println!("standalone listener / platform listener, {result}");
}

fn standalone_config(endpoints: &[MockEndpoint]) -> String {
    let nodes: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(i, endpoint)| {
            format!(
                "{{ name = \"s-{i}\", address = \"{}\", zone = \"here\", kind = \"m\" }}",
                endpoint.address
            )
        })
        .collect();
    let mut config = format!(
        "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}]\nzone = \"here\"\n\n[[class]]\nname = \"read\"\naim_ms = 10000\ndeadline_ms = 20000\nsemantics = \"idempotent\"\n\n[[pool]]\nname = \"p\"\nnodes = [{}]\n",
        nodes.join(", ")
    );
    // Further routes, so that the lookup is in a table of some size.
    for i in 0..200 {
        config += &format!(
            "\n[[route]]\nname = \"r{i}\"\nmatch = {{ host = \"h{i}.example\", path = \"/club-{i}/{{x}}\" }}\nclass = \"read\"\npool = \"p\"\n"
        );
    }
    config + "\n[[route]]\nname = \"read\"\nmatch = { path = \"/read/{x}\", methods = [\"GET\"] }\nclass = \"read\"\npool = \"p\"\n"
}
