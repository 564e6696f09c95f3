//! Measures response bodies of 32 MB: the throughput of one body relative to plain copying, and the memory of
//! the proxy while 200 of them are read at different speeds.
//!
//! `cargo bench --bench bodies`. The throughput is the ratio of two times for the same bytes, measured in
//! pairs: through the proxy, and through a thread that copies them from socket to socket. The memory is the
//! maximum resident memory of the process.

#[path = "../tests/stubs/mod.rs"]
mod stubs;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The length of a body in bytes.
const BODY_BYTES: usize = 32 << 20;
/// The number of bodies read at the same time.
const BODIES: usize = 200;
/// The speeds of the slowest and the fastest reader, in bytes per second.
const SPEEDS: [f64; 2] = [64e3, 10e6];
/// The time for which the bodies are read. The fast readers finish within it.
const READ_TIME: Duration = Duration::from_secs(20);
const PAIRS: usize = 15;

fn main() {
    // Benchmarks without the standard harness are also started with `--list` or `--test`, and measure nothing
    // then.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let endpoint = start_endpoint();
    let (discovery, listener) = (MockDiscovery::new(), InheritedListener::new());
    let mut setup = Setup { latency_objective_ms: 5000, ..Setup::with_endpoints(&[]) };
    setup.endpoints = vec![host("s-0", endpoint, "SERVING")];
    let process = listener.start(&with_operators_address(&setup.config(discovery.address)));
    measure_throughput(listener.address, endpoint);
    measure_memory(&process, listener.address);
}

/// Starts an endpoint that responds to each request with the same body.
fn start_endpoint() -> SocketAddr {
    raw_endpoint(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while read_head(&mut reader) && respond(&mut stream).is_ok() {}
    })
}

fn respond(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n").as_bytes())?;
    let chunk = vec![7; 1 << 16];
    (0..BODY_BYTES / chunk.len()).try_for_each(|_| stream.write_all(&chunk))
}

/// Reads the head of a message. Returns false at the end of the connection.
fn read_head(from: &mut impl BufRead) -> bool {
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if from.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
    }
    true
}

/// Starts a relay that only copies bytes between each client and the endpoint.
fn start_relay(endpoint: SocketAddr) -> SocketAddr {
    raw_endpoint(move |mut client| {
        let mut upstream = TcpStream::connect(endpoint).expect("the endpoint listens");
        let (mut requests, mut responses) =
            (client.try_clone().expect("a copy"), upstream.try_clone().expect("a copy"));
        thread::spawn(move || std::io::copy(&mut requests, &mut upstream));
        let _ = std::io::copy(&mut responses, &mut client);
        let _ = client.shutdown(std::net::Shutdown::Both);
    })
}

/// Reads one body and returns the time that this takes.
fn fetch(address: SocketAddr, id: usize) -> Duration {
    let started_at = Instant::now();
    let mut client = BufReader::with_capacity(1 << 16, TcpStream::connect(address).expect("a listener"));
    client.get_mut().write_all(read(&format!("one-{id}"), 9000).as_bytes()).expect("written");
    assert!(read_head(&mut client), "no response");
    let mut chunk = vec![0; 1 << 16];
    (0..BODY_BYTES / chunk.len()).for_each(|_| client.read_exact(&mut chunk).expect("the whole body"));
    started_at.elapsed()
}

fn measure_throughput(proxy: SocketAddr, endpoint: SocketAddr) {
    let relay = start_relay(endpoint);
    let mut ratios: Vec<f64> = Vec::new();
    for pair in 0..=PAIRS {
        let mut times = [0.0; 2];
        for side in [pair % 2, 1 - pair % 2] {
            times[side] = fetch([proxy, relay][side], 2 * pair + side).as_secs_f64();
        }
        // The first pair opens connections and warms up, and is not counted.
        ratios.extend((pair > 0).then(|| times[1] / times[0]));
    }
    ratios.sort_by(f64::total_cmp);
    let quartile = |n: usize| ratios[(ratios.len() - 1) * n / 4];
    println!(
        "one body of 32 MB, throughput relative to plain copying, {PAIRS} pairs: median {:.2}, quartiles {:.2} to {:.2}",
        quartile(2),
        quartile(1),
        quartile(3)
    );
}

fn measure_memory(process: &Process, address: SocketAddr) {
    let (_, before) = process.descriptors_and_memory();
    let until = Instant::now() + READ_TIME;
    let readers: Vec<_> = (0..BODIES)
        .map(|n| {
            // Speeds are evenly distributed on a logarithmic scale.
            let speed = SPEEDS[0] * (SPEEDS[1] / SPEEDS[0]).powf(n as f64 / (BODIES - 1) as f64);
            let reader = thread::Builder::new().stack_size(256 << 10);
            reader.spawn(move || read_at_speed(address, n, speed, until)).expect("a thread")
        })
        .collect();
    let (mut max_memory, mut max_active) = (before, 0);
    while Instant::now() < until {
        max_memory = max_memory.max(process.descriptors_and_memory().1);
        max_active = max_active.max(process.metric("edge_lb_active"));
        thread::sleep(Duration::from_millis(20));
    }
    let results: Vec<(usize, bool)> = readers.into_iter().map(|r| r.join().expect("no panic")).collect();
    let bytes: usize = results.iter().map(|(bytes, _)| bytes).sum();
    let complete = results.iter().filter(|(_, is_complete)| *is_complete).count();
    println!(
        "{BODIES} bodies of 32 MB read at 64 kB/s to 10 MB/s, at most {max_active} at once, {} MB read, {complete} complete: \
         maximum resident memory {:.1} MB, {:.1} MB before",
        bytes >> 20,
        max_memory as f64 / 1024.0,
        before as f64 / 1024.0
    );
    std::process::exit(i32::from(max_memory > 48 << 10));
}

/// Reads a body at a speed in bytes per second, until the body ends or the time is up. Returns the number of
/// bytes read, and whether the body was complete.
fn read_at_speed(address: SocketAddr, n: usize, speed: f64, until: Instant) -> (usize, bool) {
    let mut client = loop {
        let mut client = BufReader::new(TcpStream::connect(address).expect("a listener"));
        client.get_mut().write_all(read(&format!("r-{n}"), 9000).as_bytes()).expect("written");
        let mut status_line = String::new();
        client.read_line(&mut status_line).expect("a response");
        if status_line.contains(" 200 ") && read_head(&mut client) {
            break client;
        }
        // The proxy rejects some requests, since it does not admit this many at once right after its start.
        thread::sleep(Duration::from_millis(20));
    };
    let (mut bytes, started_at, mut chunk) = (0, Instant::now(), [0; 1 << 14]);
    while bytes < BODY_BYTES && Instant::now() < until {
        match client.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(n) => bytes += n,
        }
        let due = Duration::from_secs_f64(bytes as f64 / speed);
        thread::sleep(
            due.saturating_sub(started_at.elapsed()).min(until.saturating_duration_since(Instant::now())),
        );
    }
    (bytes, bytes >= BODY_BYTES)
}
