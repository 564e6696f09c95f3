//! JSON-RPC beside HTTP at the same work, paired in one run, and what idle JSON-RPC connections take.
//!
//! `cargo bench --bench protocols`: rounds alternate between four proxies, one for each pairing of protocols; told are
//! ratios of the proxies' processor time a request, and the p50 and p99 of sequential requests. Then connections that
//! say nothing are opened, 10,000 where the descriptors allow it.

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
/// Calls that are open at once, for the throughput with many on a connection.
const OPEN: usize = 32;
const IDLE: usize = 10_000;

fn main() {
    // Cargo asks benchmarks that bring their own harness for a list of them.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    one_at_a_time();
    many_at_once();
    idle();
}

struct Nodes {
    http: Vec<MockEndpoint>,
    rpc: Vec<MockRpcEndpoint>,
}

impl Nodes {
    fn start() -> Nodes {
        Nodes {
            http: (0..4).map(|_| MockEndpoint::new([ok("done")])).collect(),
            rpc: (0..4)
                .map(|_| MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Result(json!("done"))]))
                .collect(),
        }
    }

    fn proxy(&self, speaks: bool, listen: &str) -> DualProtocolProxy {
        let nodes: Vec<_> = if speaks {
            self.rpc.iter().map(|n| n.address).collect()
        } else {
            self.http.iter().map(|n| n.address).collect()
        };
        DualProtocolProxy::start(&RpcSite {
            has_rpc_endpoints: speaks,
            rpc_listener_settings: listen.to_owned(),
            ..RpcSite::http(&nodes)
        })
    }

    fn forget(&self) {
        self.http.iter().for_each(|n| drop(n.requests()));
        self.rpc.iter().for_each(|n| drop(n.requests()));
    }
}

fn spread(mut all: Vec<f64>) -> (f64, f64, f64) {
    all.sort_by(f64::total_cmp);
    let at = |part: f64| all[((all.len() - 1) as f64 * part) as usize];
    (at(0.5), at(0.25), at(0.75))
}

fn one_at_a_time() {
    let nodes = Nodes::start();
    let sides = [
        ("HTTP to HTTP", false, false),
        ("JSON-RPC to JSON-RPC", true, true),
        ("HTTP to JSON-RPC", false, true),
        ("JSON-RPC to HTTP", true, false),
    ];
    let proxies: Vec<DualProtocolProxy> =
        sides.iter().map(|(_, _, speaks)| nodes.proxy(*speaks, "")).collect();
    let mut ratios = vec![Vec::new(); sides.len()];
    let mut times = vec![Vec::new(); sides.len()];
    for round in 0..=ROUNDS {
        let mut cost = vec![0.0; sides.len()];
        for turn in 0..sides.len() {
            let side = (turn + round) % sides.len();
            let proxy = &proxies[side];
            let before = proxy.process.cpu_time_ns();
            let (mut http, mut rpc) = (proxy.process.connect(), proxy.rpc());
            for n in 0..REQUESTS {
                let sent = Instant::now();
                if sides[side].1 {
                    rpc.send(&request(n, "standings", json!({ "key": "1" })));
                    assert!(rpc.try_receive_text().expect("an answer").contains("\"result\""));
                } else {
                    assert_eq!(http.ask("GET /standings/1 HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
                }
                times[side].push(sent.elapsed().as_secs_f64() * 1e6);
            }
            cost[side] = (proxy.process.cpu_time_ns() - before) as f64;
            nodes.forget();
        }
        if round > 0 {
            (0..sides.len()).for_each(|side| ratios[side].push(cost[side] / cost[0]));
        }
    }
    println!("One request at a time, {ROUNDS} rounds of {REQUESTS}:\n");
    println!("| pairing | processor time a request against HTTP to HTTP (quartiles) | p50 us | p99 us |\n| --- | --- | --- | --- |");
    for (side, (name, ..)) in sides.iter().enumerate() {
        let (median, low, high) = spread(ratios[side].clone());
        let mut all = times[side].clone();
        all.sort_by(f64::total_cmp);
        let at = |part: f64| all[((all.len() - 1) as f64 * part) as usize];
        println!("| {name} | {median:.3} ({low:.3} to {high:.3}) | {:.0} | {:.0} |", at(0.5), at(0.99));
    }
}

/// Requests a second: JSON-RPC on one connection with many calls open, HTTP on as many connections.
fn many_at_once() {
    let nodes = Nodes::start();
    let (to_http, to_rpc) = (nodes.proxy(false, ""), nodes.proxy(true, &format!(", calls = {OPEN}")));
    let mut ratios = Vec::new();
    let mut rates = (Vec::new(), Vec::new());
    for round in 0..=ROUNDS {
        let by_http = {
            let since = Instant::now();
            let mut callers: Vec<HttpClient> = (0..OPEN).map(|_| to_http.process.connect()).collect();
            for _ in 0..REQUESTS / OPEN {
                callers.iter_mut().for_each(|c| c.send("GET /standings/1 HTTP/1.1\r\nHost: h\r\n\r\n"));
                callers.iter_mut().for_each(|c| assert_eq!(c.receive().status(), 200));
            }
            REQUESTS as f64 / since.elapsed().as_secs_f64()
        };
        let by_rpc = {
            let since = Instant::now();
            let mut caller = to_rpc.rpc();
            for n in 0..REQUESTS / OPEN {
                (0..OPEN)
                    .for_each(|i| caller.send(&request(n * OPEN + i, "standings", json!({ "key": "1" }))));
                for _ in 0..OPEN {
                    assert!(caller.try_receive_text().expect("an answer").contains("\"result\""));
                }
            }
            REQUESTS as f64 / since.elapsed().as_secs_f64()
        };
        nodes.forget();
        if round > 0 {
            ratios.push(by_rpc / by_http);
            rates.0.push(by_http);
            rates.1.push(by_rpc);
        }
    }
    let (median, low, high) = spread(ratios);
    println!("\n{OPEN} at once, JSON-RPC on one connection / HTTP on {OPEN}, requests a second: {median:.3} ({low:.3} to {high:.3}); {:.0} and {:.0}", spread(rates.1).0, spread(rates.0).0);
}

/// Connections that say nothing.
fn idle() {
    let nodes = Nodes::start();
    let proxy = nodes.proxy_for_many();
    proxy.rpc().call(1, "standings", json!({}));
    let (_, before) = proxy.process.descriptors_and_memory();
    let mut open = Vec::new();
    while open.len() < IDLE {
        match TcpStream::connect(proxy.rpc) {
            Ok(stream) => open.push(stream),
            Err(fault) => {
                println!("no more than {} connections here: {fault}", open.len());
                break;
            }
        }
    }
    // Until it has accepted them all.
    let since = Instant::now();
    while proxy.process.descriptors_and_memory().0 < open.len() && since.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(Duration::from_millis(20));
    }
    let ((descriptors, after), busy) = (proxy.process.descriptors_and_memory(), proxy.process.cpu_time_ns());
    std::thread::sleep(Duration::from_secs(3));
    let rest = (proxy.process.cpu_time_ns() - busy) as f64 / 3e6;
    let taken = after - before;
    println!(
        "\n{} idle connections ({descriptors} descriptors): {taken} kB, {:.2} KiB each; a second of rest costs {rest:.1} ms",
        open.len(),
        taken as f64 / open.len() as f64
    );
    let mut caller = RpcClient::of(open.swap_remove(0), Framing::Lines);
    assert_eq!(caller.call(2, "standings", json!({}))["id"], 2, "they still serve");
}

impl Nodes {
    fn proxy_for_many(&self) -> DualProtocolProxy {
        let nodes: Vec<_> = self.rpc.iter().map(|n| n.address).collect();
        let server = format!("sockets = {}\n", IDLE * 4);
        DualProtocolProxy::start(&RpcSite { server_settings: server, ..RpcSite::rpc(&nodes) })
    }
}
