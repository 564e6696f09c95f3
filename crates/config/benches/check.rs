//! The time that `amberlever check` takes to read and check a configuration, build its route table and
//! evaluate its expectations.

use std::fmt::Write;
use std::path::Path;

fn main() {
    divan::main();
}

/// A configuration with 20 pools of 20 endpoints each, and its file of expectations.
fn config_and_expectations(routes: usize, expectations: usize) -> (String, String) {
    let mut config = r#"[server]
listen = [{ address = "127.0.0.1:8080" }]
expectations = ["expect.toml"]

[[class]]
name = "c"
aim_ms = 800
deadline_ms = 2000
semantics = "idempotent"
"#
    .to_owned();
    for pool in 0..20 {
        let _ = write!(config, "\n[[pool]]\nname = \"p{pool}\"\nnodes = [");
        for endpoint in 0..20 {
            let zone = ["south", "north"][endpoint % 2];
            let _ = write!(
                config,
                "{{ name = \"n{pool}-{endpoint}\", address = \"127.0.0.1:{}\", zone = \"{zone}\" }}, ",
                7000 + endpoint
            );
        }
        config.push_str("]\n");
    }
    for route in 0..routes {
        let _ = write!(
            config,
            "\n[[route]]\nname = \"r{route}\"\nmatch = {{ host = \"h{}.example\", path = \"/club-{}/standings/{{event}}\", methods = [\"GET\"] }}\nclass = \"c\"\npool = \"p{}\"\nfallback = [{{ pool = \"p{}\", when = [\"none-ready\"] }}]\n",
            route % 100,
            route / 100,
            route % 20,
            (route + 1) % 20,
        );
    }
    let mut expect = String::new();
    for i in 0..expectations {
        let route = i * 7 % routes;
        let _ = write!(
            expect,
            "[[expect]]\nname = \"e{i}\"\ngiven = {{ lost_zones = [\"north\"], draining = [\"n{}-0\"] }}\nwhen = {{ host = \"h{}.example\", path = \"/club-{}/standings/9\" }}\nthen = {{ pool = \"p{}\", stays_in = [\"south\"] }}\n",
            route % 20,
            route % 100,
            route / 100,
            route % 20,
        );
    }
    (config, expect)
}

#[divan::bench(args = [(100, 10), (10_000, 1_000)], sample_count = 5)]
fn check(bencher: divan::Bencher<'_, '_>, (routes, expectations): (usize, usize)) {
    let (config, expect) = config_and_expectations(routes, expectations);
    let read = |path: &Path| Ok(if path.ends_with("expect.toml") { expect.clone() } else { config.clone() });
    bencher.bench_local(|| {
        let loaded =
            config::load(Path::new("lb.toml"), &read).unwrap_or_else(|diagnostics| panic!("{diagnostics}"));
        let report = loaded.evaluate_expectations();
        assert!(report.is_good(), "{}", report.summary());
    });
}
