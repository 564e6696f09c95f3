//! What three tenants feel of each other, and what many tenants cost.
//!
//! `cargo bench --bench tenants [SECONDS]`: one tenant's clients retry at once, five times its share; the same time
//! without them and with them, in turn. Then the throughput with 1 and with 1,000 tenants, in pairs.

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
    storm(Duration::from_secs(seconds));
    many();
}

/// Sorted latencies of a caller that asks 200 times a second, in microseconds, and how many were refused.
fn quiet(address: std::net::SocketAddr, host: &str, time: Duration) -> (Vec<u64>, u64) {
    let mut caller = HttpClient::of(std::net::TcpStream::connect(address).expect("listens"));
    let (since, mut all, mut refused) = (Instant::now(), Vec::new(), 0);
    let mut due = Instant::now();
    while since.elapsed() < time {
        due += Duration::from_millis(5);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let answer = caller.ask(&format!("GET /x HTTP/1.1\r\nHost: {host}\r\n\r\n"));
        refused += u64::from(answer.status() != 200);
        // From the time at which it was due, so that waiting for the one before counts.
        all.push(due.elapsed().as_micros() as u64);
    }
    all.sort_unstable();
    (all, refused)
}

fn storm(time: Duration) {
    let nodes: Vec<FixedLatencyEndpoint> = (0..3)
        .map(|i| FixedLatencyEndpoint::start(&format!("n{i}"), Duration::from_millis(2)).expect("a port"))
        .collect();
    let service = start_hosted(&hosted_config("capacity = { requests_per_s = 1200 }\n", ""));
    for (i, name) in ["a", "b", "c"].iter().enumerate() {
        let doc = tenant(&format!("{name}.example"), &[nodes[i].address], json!({}));
        assert_eq!(service.put(&format!("/v1/tenants/{name}"), &doc).status, 200);
    }
    let address = service.process.address;
    println!("| round | tenant | asked | served | p50 ms | p99 ms | refused |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    // A pair is enough where a round is long.
    for round in 0..if time > Duration::from_secs(20) { 2 } else { 6 } {
        let noisy = round % 2 == 1;
        let (stop, served, refused) =
            (Arc::new(AtomicBool::new(!noisy)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let storm: Vec<_> = (0..10)
            .map(|_| {
                let (stop, served, refused) = (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&refused));
                thread::spawn(move || {
                    let mut caller = HttpClient::of(std::net::TcpStream::connect(address).expect("listens"));
                    while !stop.load(Ordering::Relaxed) {
                        let due = Instant::now() + Duration::from_millis(5);
                        let answer = caller.ask("GET /x HTTP/1.1\r\nHost: a.example\r\nX-Retried: 1\r\n\r\n");
                        let count = if answer.status() == 200 { &served } else { &refused };
                        count.fetch_add(1, Ordering::Relaxed);
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                    }
                })
            })
            .collect();
        let told = thread::scope(|s| {
            let c = s.spawn(|| quiet(address, "c.example", time));
            [quiet(address, "b.example", time), c.join().expect("it ends")]
        });
        stop.store(true, Ordering::Relaxed);
        storm.into_iter().for_each(|t| t.join().expect("answered"));
        let round = format!("{} {}", round / 2 + 1, if noisy { "with a's storm" } else { "without" });
        for (name, (all, refused)) in ["b", "c"].iter().zip(told) {
            let at = |part: f64| all[((all.len() - 1) as f64 * part) as usize] as f64 / 1000.0;
            let served = all.len() as u64 - refused;
            println!(
                "| {round} | {name} | {} | {served} | {:.2} | {:.2} | {refused} |",
                all.len(),
                at(0.5),
                at(0.99)
            );
        }
        if noisy {
            let (served, refused) = (served.load(Ordering::Relaxed), refused.load(Ordering::Relaxed));
            println!("| {round} | a | {} | {served} | | | {refused} |", served + refused);
        }
    }
    println!("\nrefusals of a by cause: {}", service.get("/v1/tenants/a/status").body["refused"]);
}

fn many() {
    let node = FixedLatencyEndpoint::start("n", Duration::ZERO).expect("a port");
    let service = |tenants: usize| {
        let folder = temp_folder();
        let mut file = hosted_config("sockets = 20000\n", "");
        let config = format!(
            "[[class]]\nname = \"c\"\naim_ms = 4000\ndeadline_ms = 4000\nsemantics = \"idempotent\"\n[[pool]]\nname = \"p\"\nnodes = [{{ name = \"n0\", address = \"{}\" }}]\n[[route]]\nname = \"r\"\nmatch = {{ path = \"/*\" }}\nclass = \"c\"\npool = \"p\"\n",
            node.address
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
            let mut caller = service.process.connect();
            for i in 0..4000 {
                // Ten of them ask.
                let host = format!("t{}.example", i % 10 % tenants);
                let answer = caller.ask(&format!("GET /x HTTP/1.1\r\nHost: {host}\r\n\r\n"));
                assert_eq!(answer.status(), 200);
            }
            cost[side] = (service.process.cpu_time_ns() - before) as f64;
        }
        if round > 0 {
            ratios.push(cost[1] / cost[0]);
        }
    }
    ratios.sort_by(f64::total_cmp);
    println!(
        "\n1,000 tenants of which ten ask / one tenant, processor time a request, 20 pairs of 4,000: median {:.3}, quartiles {:.3} to {:.3}",
        ratios[10], ratios[5], ratios[15]
    );
}
