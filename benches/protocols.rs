//! Compares JSON-RPC with HTTP for the same work, and measures the cost of idle JSON-RPC connections.
//!
//! `cargo bench --bench protocols`: rounds alternate between four proxies, one for each pairing of downstream
//! and upstream protocol. The results are ratios of the processor time of the proxies per request, and the
//! p50 and p99 of sequential requests. Then idle connections are opened, 10,000 if the limit of descriptors
//! allows it.

#[path = "../tests/stubs/rpc.rs"]
mod rpc;
#[path = "../tests/stubs/mod.rs"]
mod stubs;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use rpc::*;
use serde_json::json;
use stubs::*;
use testkit::json_rpc::request;

const ROUNDS: usize = 15;
const REQUESTS: usize = 4000;
/// The number of concurrent calls of the throughput comparison.
const CONCURRENT_CALLS: usize = 32;
/// The number of idle connections.
const IDLE_CONNECTIONS: usize = 10_000;

fn main() {
    // Benchmarks without the standard harness are also started with `--list` or `--test`, and measure nothing
    // then.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    compare_sequential_requests();
    compare_concurrent_requests();
    measure_idle_connections();
}

struct Endpoints {
    http: Vec<MockEndpoint>,
    rpc: Vec<MockRpcEndpoint>,
}

impl Endpoints {
    fn start() -> Endpoints {
        Endpoints {
            http: (0..4).map(|_| MockEndpoint::new([ok("done")])).collect(),
            rpc: (0..4)
                .map(|_| MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Result(json!("done"))]))
                .collect(),
        }
    }

    /// Starts a proxy in front of the JSON-RPC or the HTTP endpoints.
    fn start_proxy(&self, to_rpc: bool, rpc_listener_settings: &str) -> DualProtocolProxy {
        let addresses: Vec<_> = if to_rpc {
            self.rpc.iter().map(|endpoint| endpoint.address).collect()
        } else {
            self.http.iter().map(|endpoint| endpoint.address).collect()
        };
        DualProtocolProxy::start(&RpcSite {
            has_rpc_endpoints: to_rpc,
            rpc_listener_settings: rpc_listener_settings.to_owned(),
            ..RpcSite::http(&addresses)
        })
    }

    /// Discards the requests that the endpoints recorded.
    fn discard_requests(&self) {
        self.http.iter().for_each(|endpoint| drop(endpoint.requests()));
        self.rpc.iter().for_each(|endpoint| drop(endpoint.requests()));
    }
}

/// Returns the median, the lower and the upper quartile.
fn quartiles(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    let quantile = |q: f64| values[((values.len() - 1) as f64 * q) as usize];
    (quantile(0.5), quantile(0.25), quantile(0.75))
}

fn compare_sequential_requests() {
    let endpoints = Endpoints::start();
    // Name, whether clients use JSON-RPC, and whether endpoints do.
    let pairings = [
        ("HTTP to HTTP", false, false),
        ("JSON-RPC to JSON-RPC", true, true),
        ("HTTP to JSON-RPC", false, true),
        ("JSON-RPC to HTTP", true, false),
    ];
    let proxies: Vec<DualProtocolProxy> =
        pairings.iter().map(|(_, _, to_rpc)| endpoints.start_proxy(*to_rpc, "")).collect();
    let mut ratios = vec![Vec::new(); pairings.len()];
    let mut times = vec![Vec::new(); pairings.len()];
    for round in 0..=ROUNDS {
        let mut cost = vec![0.0; pairings.len()];
        for turn in 0..pairings.len() {
            let pairing = (turn + round) % pairings.len();
            let proxy = &proxies[pairing];
            let before = proxy.process.cpu_time_ns();
            let (mut http, mut rpc) = (proxy.process.connect(), proxy.rpc());
            for n in 0..REQUESTS {
                let sent = Instant::now();
                if pairings[pairing].1 {
                    rpc.send(&request(n, "standings", json!({ "key": "1" })));
                    assert!(rpc.try_receive_text().expect("a response").contains("\"result\""));
                } else {
                    assert_eq!(http.ask("GET /standings/1 HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
                }
                times[pairing].push(sent.elapsed().as_secs_f64() * 1e6);
            }
            cost[pairing] = (proxy.process.cpu_time_ns() - before) as f64;
            endpoints.discard_requests();
        }
        if round > 0 {
            (0..pairings.len()).for_each(|pairing| ratios[pairing].push(cost[pairing] / cost[0]));
        }
    }
    println!("Sequential requests, {ROUNDS} rounds of {REQUESTS}:\n");
    println!("| pairing | processor time per request relative to HTTP to HTTP (quartiles) | p50 us | p99 us |\n| --- | --- | --- | --- |");
    for (pairing, (name, ..)) in pairings.iter().enumerate() {
        let (median, low, high) = quartiles(ratios[pairing].clone());
        let mut times = times[pairing].clone();
        times.sort_by(f64::total_cmp);
        let quantile = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
        println!(
            "| {name} | {median:.3} ({low:.3} to {high:.3}) | {:.0} | {:.0} |",
            quantile(0.5),
            quantile(0.99)
        );
    }
}

/// Compares the requests per second of JSON-RPC, with many concurrent calls on one connection, with those of
/// HTTP, with one connection per concurrent request.
fn compare_concurrent_requests() {
    let endpoints = Endpoints::start();
    let to_http = endpoints.start_proxy(false, "");
    let to_rpc = endpoints.start_proxy(true, &format!(", calls = {CONCURRENT_CALLS}"));
    let mut ratios = Vec::new();
    let mut rates = (Vec::new(), Vec::new());
    for round in 0..=ROUNDS {
        let by_http = {
            let started_at = Instant::now();
            let mut clients: Vec<HttpClient> =
                (0..CONCURRENT_CALLS).map(|_| to_http.process.connect()).collect();
            for _ in 0..REQUESTS / CONCURRENT_CALLS {
                clients
                    .iter_mut()
                    .for_each(|client| client.send("GET /standings/1 HTTP/1.1\r\nHost: h\r\n\r\n"));
                clients.iter_mut().for_each(|client| assert_eq!(client.receive().status(), 200));
            }
            REQUESTS as f64 / started_at.elapsed().as_secs_f64()
        };
        let by_rpc = {
            let started_at = Instant::now();
            let mut client = to_rpc.rpc();
            for n in 0..REQUESTS / CONCURRENT_CALLS {
                (0..CONCURRENT_CALLS).for_each(|i| {
                    client.send(&request(n * CONCURRENT_CALLS + i, "standings", json!({ "key": "1" })))
                });
                for _ in 0..CONCURRENT_CALLS {
                    assert!(client.try_receive_text().expect("a response").contains("\"result\""));
                }
            }
            REQUESTS as f64 / started_at.elapsed().as_secs_f64()
        };
        endpoints.discard_requests();
        if round > 0 {
            ratios.push(by_rpc / by_http);
            rates.0.push(by_http);
            rates.1.push(by_rpc);
        }
    }
    let (median, low, high) = quartiles(ratios);
    println!("\n{CONCURRENT_CALLS} concurrent requests, JSON-RPC on one connection / HTTP on {CONCURRENT_CALLS} connections, requests per second: {median:.3} ({low:.3} to {high:.3}); {:.0} and {:.0}", quartiles(rates.1).0, quartiles(rates.0).0);
}

/// Measures the memory and processor time that idle connections take.
fn measure_idle_connections() {
    let endpoints = Endpoints::start();
    let proxy = endpoints.start_proxy_for_many_connections();
    proxy.rpc().call(1, "standings", json!({}));
    let (_, before) = proxy.process.descriptors_and_memory();
    let mut connections = Vec::new();
    while connections.len() < IDLE_CONNECTIONS {
        match TcpStream::connect(proxy.rpc) {
            Ok(stream) => connections.push(stream),
            Err(error) => {
                println!("cannot open more than {} connections: {error}", connections.len());
                break;
            }
        }
    }
    // Waits until the proxy has accepted all of them.
    let started_at = Instant::now();
    while proxy.process.descriptors_and_memory().0 < connections.len()
        && started_at.elapsed() < Duration::from_secs(30)
    {
        std::thread::sleep(Duration::from_millis(20));
    }
    let ((descriptors, after), cpu_before) =
        (proxy.process.descriptors_and_memory(), proxy.process.cpu_time_ns());
    std::thread::sleep(Duration::from_secs(3));
    let cpu_ms_per_s = (proxy.process.cpu_time_ns() - cpu_before) as f64 / 3e6;
    let memory = after - before;
    println!(
        "\n{} idle connections ({descriptors} descriptors): {memory} kB, {:.2} KiB each; processor time while idle {cpu_ms_per_s:.1} ms per second",
        connections.len(),
        memory as f64 / connections.len() as f64
    );
    let mut client = RpcClient::of(connections.swap_remove(0), Framing::Lines);
    assert_eq!(client.call(2, "standings", json!({}))["id"], 2, "an idle connection is still served");
}

impl Endpoints {
    fn start_proxy_for_many_connections(&self) -> DualProtocolProxy {
        let addresses: Vec<_> = self.rpc.iter().map(|endpoint| endpoint.address).collect();
        let server_settings = format!("sockets = {}\n", IDLE_CONNECTIONS * 4);
        DualProtocolProxy::start(&RpcSite { server_settings, ..RpcSite::rpc(&addresses) })
    }
}
