//! `amberlever demo`: the example of `deploy/` on loopback as two tenants of a hosted service, with stand-in nodes of
//! various speed.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use config::{toml_value, Document, HostedSettings, TenantDocument};
use proxy::log::log_line;
use serde_json::{json, Value};
use testkit::FixedLatencyEndpoint;

const CONFIG: &str = include_str!("../../../deploy/example.toml");
const EXPECTATIONS: &str = include_str!("../../../deploy/expectations.toml");
/// Who has which hosts: the second one has all others.
const TENANTS: [(&str, &[&str]); 2] =
    [("club", &["club.example"]), ("kpks", &["localhost", "127.0.0.1", "kpks.example", "*.kpks.example"])];

pub fn run(listen: SocketAddr, admin: SocketAddr, jsonrpc: SocketAddr) -> Result<(), String> {
    let state = std::env::temp_dir().join(format!("amberlever-demo-{}", std::process::id()));
    let result = serve(listen, admin, jsonrpc, &state);
    let _ = std::fs::remove_dir_all(&state);
    log_line(format_args!("the demo has ended"));
    result
}

fn serve(listen: SocketAddr, admin: SocketAddr, jsonrpc: SocketAddr, state: &Path) -> Result<(), String> {
    let (setup, document, nodes) = example(listen, admin, jsonrpc, state)?;
    crate::hosted::run(&setup, document, |callers, admin| {
        let (address, jsonrpc) = (callers[0], callers[1]);
        println!("Stand-in nodes:\n{}", nodes.join("\n"));
        println!("\nThe proxy serves deploy/example.toml on {address}, for the tenants kpks and club. In another shell:\n");
        println!("    curl -i http://{address}/standings/1");
        println!("    curl -i -H 'Idempotency-Key: k1' -d '1-0' http://{address}/report-result/12\n");
        println!("JSON-RPC is spoken on {jsonrpc}, one message a line; the same key by either protocol runs once:\n");
        let (host, port) = (jsonrpc.ip(), jsonrpc.port());
        for (id, method, key) in [(1, "standings", "1"), (2, "report-result", "k1")] {
            let call = json!({ "jsonrpc": "2.0", "id": id, "method": method, "params": { "key": key } });
            println!("    echo '{call}' | nc -w 1 {host} {port}");
        }
        println!();
        println!("The administration API is on {admin}. A change of a limit, and what it does:\n");
        println!("    target/release/amberlever tenant --api {admin} limits club requests_per_s=1 burst=1");
        println!("    for i in 1 2 3; do curl -si -H 'Host: club.example' http://{address}/standings/1 | head -2; done");
        println!("    curl -s http://{admin}/v1/tenants/club/status\n");
        println!("Ctrl-C ends it.");
    })
}

/// The example with each tenant's own stand-in nodes in place of its addresses.
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
    let (setup, mut document) = HostedSettings::load(Path::new("demo"), &embedded)
        .map_err(|f| f.to_string())?
        .ok_or("no hosted service")?;
    let mut lines = Vec::new();
    for (tenant, hosts) in TENANTS {
        let mut config = config.clone();
        stand_ins(tenant, &mut config, &mut lines)?;
        let mut hosts: Vec<String> = hosts.iter().map(|h| (*h).to_owned()).collect();
        // curl asks for the address that it connects to.
        let own = SocketAddr::new(listen.ip(), 0).to_string().trim_end_matches(":0").to_owned();
        if tenant == "kpks" && !hosts.contains(&own) {
            hosts.push(own);
        }
        document
            .tenants
            .insert(tenant.to_owned(), TenantDocument { hosts, limits: Default::default(), config });
    }
    Ok((setup, document, lines))
}

/// Starts a node for each that a configuration names, in its place. The later ones in a pool are slower.
fn stand_ins(tenant: &str, config: &mut Value, lines: &mut Vec<String>) -> Result<(), String> {
    for pool in config["pool"].as_array_mut().into_iter().flatten() {
        let name = pool["name"].as_str().unwrap_or_default().to_owned();
        for (i, node) in pool["nodes"].as_array_mut().into_iter().flatten().enumerate() {
            let takes = Duration::from_millis(2 + 18 * i as u64);
            let called = node["name"].as_str().unwrap_or_default().to_owned();
            let label = format!("{tenant}/{called}");
            let stand_in =
                FixedLatencyEndpoint::start(&label, takes).map_err(|e| format!("a stand-in node: {e}"))?;
            node["address"] = json!(stand_in.address.to_string());
            let zone = node["zone"].as_str().unwrap_or_default();
            lines.push(format!(
                "    {label:<16} {:<16} pool {name}, zone {zone}, {takes:?} a request",
                stand_in.address
            ));
        }
    }
    Ok(())
}
