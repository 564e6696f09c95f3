//! Bodies of 32 MB: how much memory 200 of them take while they flow at all speeds, and how fast one is beside plain
//! copying.
//!
//! `cargo bench --bench bodies`. The first is told as the most resident memory of the process, the second as the ratio of
//! two times, paired, of the same bytes: through the proxy, and through a thread that copies them from socket to socket.

#[path = "../tests/stubs/mod.rs"]
mod stubs;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

const BODY: usize = 32 << 20;
const BODIES: usize = 200;
/// The slowest and the fastest reader, in bytes a second.
const SPEEDS: [f64; 2] = [64e3, 10e6];
/// For how long they are watched: the quick ones end in it.
const WATCH: Duration = Duration::from_secs(20);
const PAIRS: usize = 15;

fn main() {
    // Cargo asks benchmarks that bring their own harness for a list of them.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let node = backend();
    let (discovery, held) = (MockDiscovery::new(), InheritedListener::new());
    let mut setup = Setup { latency_objective_ms: 5000, ..Setup::with_endpoints(&[]) };
    setup.endpoints = vec![host("s-0", node, "SERVING")];
    let process = held.start(&with_operators_address(&setup.config(discovery.address)));
    ratio(held.address, node);
    memory(&process, held.address);
}

/// Answers each request with the same body, for as long as its connection lasts.
fn backend() -> SocketAddr {
    raw_endpoint(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while head(&mut reader) && answer(&mut stream).is_ok() {}
    })
}

fn answer(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY}\r\n\r\n").as_bytes())?;
    let piece = vec![7; 1 << 16];
    (0..BODY / piece.len()).try_for_each(|_| stream.write_all(&piece))
}

/// Reads a head; false at the end.
fn head(from: &mut impl BufRead) -> bool {
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if from.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
    }
    true
}

/// Connects to each backend's client by copying bytes, and nothing else.
fn plain(to: SocketAddr) -> SocketAddr {
    raw_endpoint(move |mut caller| {
        let mut node = TcpStream::connect(to).expect("it listens");
        let (mut from, mut back) = (caller.try_clone().expect("a copy"), node.try_clone().expect("a copy"));
        thread::spawn(move || std::io::copy(&mut from, &mut node));
        let _ = std::io::copy(&mut back, &mut caller);
        let _ = caller.shutdown(std::net::Shutdown::Both);
    })
}

/// How long one body takes.
fn fetch(at: SocketAddr, id: usize) -> Duration {
    let since = Instant::now();
    let mut caller = BufReader::with_capacity(1 << 16, TcpStream::connect(at).expect("it listens"));
    caller.get_mut().write_all(read(&format!("one-{id}"), 9000).as_bytes()).expect("written");
    assert!(head(&mut caller), "an answer");
    let mut piece = vec![0; 1 << 16];
    (0..BODY / piece.len()).for_each(|_| caller.read_exact(&mut piece).expect("all of it"));
    since.elapsed()
}

fn ratio(proxy: SocketAddr, node: SocketAddr) {
    let copying = plain(node);
    let mut ratios: Vec<f64> = Vec::new();
    for pair in 0..=PAIRS {
        let mut took = [0.0; 2];
        for side in [pair % 2, 1 - pair % 2] {
            took[side] = fetch([proxy, copying][side], 2 * pair + side).as_secs_f64();
        }
        // The first pair makes connections and warms up.
        ratios.extend((pair > 0).then(|| took[1] / took[0]));
    }
    ratios.sort_by(f64::total_cmp);
    let quartile = |n: usize| ratios[(ratios.len() - 1) * n / 4];
    println!(
        "one body of 32 MB, throughput beside plain copying, {PAIRS} pairs: median {:.2}, quartiles {:.2} to {:.2}",
        quartile(2),
        quartile(1),
        quartile(3)
    );
}

fn memory(process: &Process, at: SocketAddr) {
    let (_, before) = process.descriptors_and_memory();
    let until = Instant::now() + WATCH;
    let readers: Vec<_> = (0..BODIES)
        .map(|n| {
            // Evenly over the speeds' logarithm.
            let speed = SPEEDS[0] * (SPEEDS[1] / SPEEDS[0]).powf(n as f64 / (BODIES - 1) as f64);
            let reader = thread::Builder::new().stack_size(256 << 10);
            reader.spawn(move || slowly(at, n, speed, until)).expect("a thread")
        })
        .collect();
    let (mut most, mut open) = (before, 0);
    while Instant::now() < until {
        most = most.max(process.descriptors_and_memory().1);
        open = open.max(process.metric("edge_lb_active"));
        thread::sleep(Duration::from_millis(20));
    }
    let all: Vec<(usize, bool)> = readers.into_iter().map(|r| r.join().expect("no panic")).collect();
    let (bytes, whole) = (all.iter().map(|(n, _)| n).sum::<usize>(), all.iter().filter(|(_, w)| *w).count());
    println!(
        "{BODIES} bodies of 32 MB read at 64 kB to 10 MB a second, at most {open} at once, {} MB passed, {whole} whole: \
         most resident {:.1} MB, {:.1} MB before",
        bytes >> 20,
        most as f64 / 1024.0,
        before as f64 / 1024.0
    );
    std::process::exit(i32::from(most > 48 << 10));
}

/// Reads a body at this speed until it ends or the time is up: how much came, and whether that was all.
fn slowly(at: SocketAddr, n: usize, speed: f64, until: Instant) -> (usize, bool) {
    let mut caller = loop {
        let mut caller = BufReader::new(TcpStream::connect(at).expect("it listens"));
        caller.get_mut().write_all(read(&format!("r-{n}"), 9000).as_bytes()).expect("written");
        let mut first = String::new();
        caller.read_line(&mut first).expect("an answer");
        if first.contains(" 200 ") && head(&mut caller) {
            break caller;
        }
        // So many at once are more than a start allows.
        thread::sleep(Duration::from_millis(20));
    };
    let (mut got, since, mut piece) = (0, Instant::now(), [0; 1 << 14]);
    while got < BODY && Instant::now() < until {
        match caller.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(n) => got += n,
        }
        let due = Duration::from_secs_f64(got as f64 / speed);
        thread::sleep(
            due.saturating_sub(since.elapsed()).min(until.saturating_duration_since(Instant::now())),
        );
    }
    (got, got >= BODY)
}
