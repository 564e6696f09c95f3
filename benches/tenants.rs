//! Measures the effect of an overloading tenant on two others, and the cost of many tenants.
//!
//! `cargo bench --bench tenants [SECONDS]`: the clients of one tenant retry at once, at five times its share.
//! Rounds of this length alternate between without and with these clients. Then the processor time per
//! request with 1 and with 1,000 tenants is compared in pairs.

#[path = "../tests/stubs/api.rs"]
mod api;
#[path = "../tests/stubs/mod.rs"]
mod stubs;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use api::*;
use serde_json::json;
use stubs::*;

fn main() {
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let seconds = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(5);
    measure_isolation(Duration::from_secs(seconds));
    compare_tenant_counts();
}

/// Sends 200 requests per second. Returns their sorted latencies in microseconds, and the number of rejected
/// requests.
fn measure_latency(address: std::net::SocketAddr, host: &str, duration: Duration) -> (Vec<u64>, u64) {
    let mut client = HttpClient::of(std::net::TcpStream::connect(address).expect("listens"));
    let (started_at, mut latencies, mut rejected) = (Instant::now(), Vec::new(), 0);
    let mut due = Instant::now();
    while started_at.elapsed() < duration {
        due += Duration::from_millis(5);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let response = client.ask(&format!("GET /x HTTP/1.1\r\nHost: {host}\r\n\r\n"));
        rejected += u64::from(response.status() != 200);
        // The latency counts from the time at which the request was due, so that it includes the wait for the
        // previous response.
        latencies.push(due.elapsed().as_micros() as u64);
    }
    latencies.sort_unstable();
    (latencies, rejected)
}

fn measure_isolation(duration: Duration) {
    let endpoints: Vec<FixedLatencyEndpoint> = (0..3)
        .map(|i| FixedLatencyEndpoint::start(&format!("n{i}"), Duration::from_millis(2)).expect("a port"))
        .collect();
    let service = start_hosted(&hosted_config("capacity = { requests_per_s = 1200 }\n", ""));
    for (i, name) in ["a", "b", "c"].iter().enumerate() {
        let document = tenant(&format!("{name}.example"), &[endpoints[i].address], json!({}));
        assert_eq!(service.put(&format!("/v1/tenants/{name}"), &document).status, 200);
    }
    let address = service.process.address;
    println!("| round | tenant | requests | served | p50 ms | p99 ms | rejected |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    // One pair of rounds is enough if rounds are long.
    for round in 0..if duration > Duration::from_secs(20) { 2 } else { 6 } {
        let is_overloaded = round % 2 == 1;
        let (stop, served, rejected) = (
            Arc::new(AtomicBool::new(!is_overloaded)),
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicU64::new(0)),
        );
        let retrying_clients: Vec<_> = (0..10)
            .map(|_| {
                let (stop, served, rejected) =
                    (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&rejected));
                thread::spawn(move || {
                    let mut client = HttpClient::of(std::net::TcpStream::connect(address).expect("listens"));
                    while !stop.load(Ordering::Relaxed) {
                        let due = Instant::now() + Duration::from_millis(5);
                        let response =
                            client.ask("GET /x HTTP/1.1\r\nHost: a.example\r\nX-Retried: 1\r\n\r\n");
                        let count = if response.status() == 200 { &served } else { &rejected };
                        count.fetch_add(1, Ordering::Relaxed);
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                    }
                })
            })
            .collect();
        let results = thread::scope(|scope| {
            let c = scope.spawn(|| measure_latency(address, "c.example", duration));
            [measure_latency(address, "b.example", duration), c.join().expect("no panic")]
        });
        stop.store(true, Ordering::Relaxed);
        retrying_clients.into_iter().for_each(|thread| thread.join().expect("no panic"));
        let round = format!(
            "{} {}",
            round / 2 + 1,
            if is_overloaded { "with overload of a" } else { "without overload" }
        );
        for (name, (latencies, rejected)) in ["b", "c"].iter().zip(results) {
            let quantile = |q: f64| latencies[((latencies.len() - 1) as f64 * q) as usize] as f64 / 1000.0;
            let served = latencies.len() as u64 - rejected;
            println!(
                "| {round} | {name} | {} | {served} | {:.2} | {:.2} | {rejected} |",
                latencies.len(),
                quantile(0.5),
                quantile(0.99)
            );
        }
        if is_overloaded {
            let (served, rejected) = (served.load(Ordering::Relaxed), rejected.load(Ordering::Relaxed));
            println!("| {round} | a | {} | {served} | | | {rejected} |", served + rejected);
        }
    }
    println!("\nrejections of a by cause: {}", service.get("/v1/tenants/a/status").body["refused"]);
}

/// Compares the processor time per request of a service with 1,000 tenants, ten of which get requests, with
/// that of a service with one.
fn compare_tenant_counts() {
    let endpoint = FixedLatencyEndpoint::start("n", Duration::ZERO).expect("a port");
    let service = |tenants: usize| {
        let folder = temp_folder();
        let mut file = hosted_config("sockets = 20000\n", "");
        let config = format!(
            "[[class]]\nname = \"c\"\naim_ms = 4000\ndeadline_ms = 4000\nsemantics = \"idempotent\"\n[[pool]]\nname = \"p\"\nnodes = [{{ name = \"n0\", address = \"{}\" }}]\n[[route]]\nname = \"r\"\nmatch = {{ path = \"/*\" }}\nclass = \"c\"\npool = \"p\"\n",
            endpoint.address
        );
        std::fs::write(folder.join("t.toml"), config).expect("written");
        for i in 0..tenants {
            file += &format!("[[tenant]]\nname = \"t{i}\"\nhosts = [\"t{i}.example\"]\nfile = \"t.toml\"\n");
        }
        start_hosted_in(&folder, &file)
    };
    let (one, thousand) = (service(1), service(1000));
    let mut ratios = Vec::new();
    for round in 0..21 {
        let mut cost = [0.0; 2];
        for side in [round % 2, 1 - round % 2] {
            let (service, tenants) = if side == 0 { (&one, 1) } else { (&thousand, 1000) };
            let before = service.process.cpu_time_ns();
            let mut client = service.process.connect();
            for i in 0..4000 {
                // At most ten tenants get requests.
                let host = format!("t{}.example", i % 10 % tenants);
                let response = client.ask(&format!("GET /x HTTP/1.1\r\nHost: {host}\r\n\r\n"));
                assert_eq!(response.status(), 200);
            }
            cost[side] = (service.process.cpu_time_ns() - before) as f64;
        }
        if round > 0 {
            ratios.push(cost[1] / cost[0]);
        }
    }
    ratios.sort_by(f64::total_cmp);
    println!(
        "\n1,000 tenants, ten of them with requests / one tenant, processor time per request, 20 pairs of 4,000: median {:.3}, quartiles {:.3} to {:.3}",
        ratios[10], ratios[5], ratios[15]
    );
}
