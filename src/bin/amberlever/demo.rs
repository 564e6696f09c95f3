//! `amberlever demo`: serves the example of `deploy/` on loopback as two tenants of a hosted service, with
//! mock endpoints of different latencies.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use config::{toml_value, Document, HostedSettings, TenantDocument};
use proxy::log::log_line;
use serde_json::{json, Value};
use testkit::FixedLatencyEndpoint;

const CONFIG: &str = include_str!("../../../deploy/example.toml");
const EXPECTATIONS: &str = include_str!("../../../deploy/expectations.toml");
/// The tenants and their hosts; `kpks` has all hosts but that of `club`.
const TENANTS: [(&str, &[&str]); 2] =
    [("club", &["club.example"]), ("kpks", &["localhost", "127.0.0.1", "kpks.example", "*.kpks.example"])];

pub fn run(listen: SocketAddr, admin: SocketAddr, jsonrpc: SocketAddr) -> Result<(), String> {
    let state = std::env::temp_dir().join(format!("amberlever-demo-{}", std::process::id()));
    let result = serve(listen, admin, jsonrpc, &state);
    let _ = std::fs::remove_dir_all(&state);
    log_line(format_args!("demo stopped"));
    result
}

fn serve(listen: SocketAddr, admin: SocketAddr, jsonrpc: SocketAddr, state: &Path) -> Result<(), String> {
    let (settings, document, endpoints) = example(listen, admin, jsonrpc, state)?;
    crate::hosted::run(&settings, document, |listeners, admin| {
        let (address, jsonrpc) = (listeners[0], listeners[1]);
        println!("Mock endpoints:\n{}", endpoints.join("\n"));
        println!("\nThe proxy serves deploy/example.toml on {address}, for the tenants kpks and club. In another shell:\n");
        println!("    curl -i http://{address}/standings/1");
        println!("    curl -i -H 'Idempotency-Key: k1' -d '1-0' http://{address}/report-result/12\n");
        println!("JSON-RPC is served on {jsonrpc}, one message per line. Calls with the same key run once, by either protocol:\n");
        let (host, port) = (jsonrpc.ip(), jsonrpc.port());
        for (id, method, key) in [(1, "standings", "1"), (2, "report-result", "k1")] {
            let call = json!({ "jsonrpc": "2.0", "id": id, "method": method, "params": { "key": key } });
            println!("    echo '{call}' | nc -w 1 {host} {port}");
        }
        println!();
        println!("The administration API is on {admin}. To change a limit and see its effect:\n");
        println!("    target/release/amberlever tenant --api {admin} limits club requests_per_s=1 burst=1");
        println!("    for i in 1 2 3; do curl -si -H 'Host: club.example' http://{address}/standings/1 | head -2; done");
        println!("    curl -s http://{admin}/v1/tenants/club/status\n");
        println!("Press Ctrl-C to stop.");
    })
}

/// Returns the settings and tenants of the example, with mock endpoints in place of its addresses, and a line
/// of output for each endpoint.
fn example(
    listen: SocketAddr,
    admin: SocketAddr,
    jsonrpc: SocketAddr,
    state: &Path,
) -> Result<(HostedSettings, Document, Vec<String>), String> {
    let mut config = toml_value(CONFIG)?;
    let server = config.as_object_mut().and_then(|c| c.remove("server")).unwrap_or_default();
    config["expect"] = toml_value(EXPECTATIONS)?["expect"].take();
    let file = format!(
        "[server]\nlisten = [{{ address = \"{listen}\", zone = \"south\", zone_header = \"x-caller-zone\" }}, {{ address = \"{jsonrpc}\", zone = \"south\", protocol = \"json-rpc\", host = \"localhost\" }}]\nzone = {}\nsockets = 1024\n\n[admin]\nlisten = \"{admin}\"\nstate = {:?}\n",
        server["zone"], state.display().to_string()
    );
    let embedded = |_: &Path| Ok(file.clone());
    let (settings, mut document) = HostedSettings::load(Path::new("demo"), &embedded)
        .map_err(|f| f.to_string())?
        .ok_or("the demo configuration is not that of a hosted service")?;
    let mut lines = Vec::new();
    for (tenant, hosts) in TENANTS {
        let mut config = config.clone();
        start_mock_endpoints(tenant, &mut config, &mut lines)?;
        let mut hosts: Vec<String> = hosts.iter().map(|h| (*h).to_owned()).collect();
        // The Host header of curl is the address that it connects to.
        let own_host = SocketAddr::new(listen.ip(), 0).to_string().trim_end_matches(":0").to_owned();
        if tenant == "kpks" && !hosts.contains(&own_host) {
            hosts.push(own_host);
        }
        document
            .tenants
            .insert(tenant.to_owned(), TenantDocument { hosts, limits: Default::default(), config });
    }
    Ok((settings, document, lines))
}

/// Starts a mock endpoint for each endpoint of a configuration and replaces its address. Each endpoint of a
/// pool is slower than the one before.
fn start_mock_endpoints(tenant: &str, config: &mut Value, lines: &mut Vec<String>) -> Result<(), String> {
    for pool in config["pool"].as_array_mut().into_iter().flatten() {
        let name = pool["name"].as_str().unwrap_or_default().to_owned();
        for (i, endpoint) in pool["nodes"].as_array_mut().into_iter().flatten().enumerate() {
            let latency = Duration::from_millis(2 + 18 * i as u64);
            let endpoint_name = endpoint["name"].as_str().unwrap_or_default().to_owned();
            let label = format!("{tenant}/{endpoint_name}");
            let mock = FixedLatencyEndpoint::start(&label, latency)
                .map_err(|e| format!("cannot start mock endpoint {label}: {e}"))?;
            endpoint["address"] = json!(mock.address.to_string());
            let zone = endpoint["zone"].as_str().unwrap_or_default();
            lines.push(format!(
                "    {label:<16} {:<16} pool {name}, zone {zone}, {latency:?} per request",
                mock.address
            ));
        }
    }
    Ok(())
}
