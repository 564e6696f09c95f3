//! What a request costs on an own listener beside the platform's, in processor time of the proxy, paired in one run.
//!
//! `cargo bench --bench listeners`. Both proxies serve the same stand-in nodes; rounds alternate between them, and
//! what is told is the ratio of each pair, so that a machine that is busy for a while is busy for both.

mod pairs;
#[path = "../tests/stubs/mod.rs"]
mod stubs;

use stubs::*;

const ROUNDS: usize = 31;
const REQUESTS: usize = 4000;

fn main() {
    // Cargo asks benchmarks that bring their own harness for a list of them.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let nodes: Vec<MockEndpoint> = (0..4).map(|_| MockEndpoint::new([ok("done")])).collect();
    let platform = Setup::with_endpoints(&nodes.iter().collect::<Vec<_>>()).start();
    let own = start_standalone(&own_config(&nodes), &[]);
    let told = pairs::told([&platform, &own], &nodes, ROUNDS, REQUESTS);
    println!("own listener / platform listener, {told}");
}

fn own_config(nodes: &[MockEndpoint]) -> String {
    let listed: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(i, n)| {
            format!("{{ name = \"s-{i}\", address = \"{}\", zone = \"here\", kind = \"m\" }}", n.address)
        })
        .collect();
    let mut config = format!(
        "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}]\nzone = \"here\"\n\n[[class]]\nname = \"read\"\naim_ms = 10000\ndeadline_ms = 20000\nsemantics = \"idempotent\"\n\n[[pool]]\nname = \"p\"\nnodes = [{}]\n",
        listed.join(", ")
    );
    // A table of some size, and not one route only.
    for i in 0..200 {
        config += &format!(
            "\n[[route]]\nname = \"r{i}\"\nmatch = {{ host = \"h{i}.example\", path = \"/club-{i}/{{x}}\" }}\nclass = \"read\"\npool = \"p\"\n"
        );
    }
    config + "\n[[route]]\nname = \"read\"\nmatch = { path = \"/read/{x}\", methods = [\"GET\"] }\nclass = \"read\"\npool = \"p\"\n"
}
