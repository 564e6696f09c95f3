//! Processes that take over from each other under load: no request is lost, is rejected or fails.
//!
//! The environment variable `UPGRADES` sets the number of upgrades, which is 8 by default:
//! `UPGRADES=100 cargo test --release --test upgrades -- --nocapture`.
mod stubs;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The number of clients with persistent connections, and of those with a connection for each request.
const CLIENTS: usize = 4;
/// The time between upgrades.
const UPGRADE_INTERVAL: Duration = Duration::from_millis(300);

/// The results of all requests.
#[derive(Default)]
struct Counts {
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    /// Requests whose connection was closed without a response.
    unanswered: AtomicU64,
    next_id: AtomicU64,
}

#[test]
fn consecutive_upgrades_under_load_lose_and_reject_nothing() {
    let count: usize = std::env::var("UPGRADES").map_or(8, |n| n.parse().expect("a number of upgrades"));
    let endpoints: Vec<MockEndpoint> = (0..4).map(|_| MockEndpoint::of(|_| ok("done"))).collect();
    let (discovery, listener) = (MockDiscovery::new(), InheritedListener::new());
    let config = with_operators_address(
        &Setup::with_endpoints(&endpoints.iter().collect::<Vec<_>>()).config(discovery.address),
    );
    let mut serving = listener.start(&config);
    let (counts, stop) = (Arc::<Counts>::default(), Arc::<AtomicBool>::default());
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|n| {
            let (counts, stop, at) = (Arc::clone(&counts), Arc::clone(&stop), listener.address);
            thread::spawn(move || send_until_stopped(&counts, &stop, at, n >= CLIENTS))
        })
        .collect();
    let (mut slowest_start, mut longest_shutdown) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..count {
        thread::sleep(UPGRADE_INTERVAL);
        let since = Instant::now();
        let next = listener.start(&config);
        while next.operator_request("GET", "/status", "").0 != 200 {
            thread::sleep(Duration::from_millis(1));
        }
        slowest_start = slowest_start.max(since.elapsed());
        let mut previous = std::mem::replace(&mut serving, next);
        previous.terminate();
        let since = Instant::now();
        assert!(previous.wait_for_exit().success(), "{}", previous.log());
        longest_shutdown = longest_shutdown.max(since.elapsed());
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().expect("no panic"));
    let value = |n: &AtomicU64| n.load(Ordering::Relaxed);
    println!(
        "{count} upgrades: {} served, {} rejected, {} failed, {} unanswered; slowest start {} ms, longest shutdown {} ms",
        value(&counts.served),
        value(&counts.rejected),
        value(&counts.failed),
        value(&counts.unanswered),
        slowest_start.as_millis(),
        longest_shutdown.as_millis()
    );
    assert_eq!((value(&counts.rejected), value(&counts.failed), value(&counts.unanswered)), (0, 0, 0));
    assert!(value(&counts.served) > 40 * count as u64);
}

/// Sends requests until `stop` is set, on a persistent connection or on a new one for each request.
fn send_until_stopped(counts: &Counts, stop: &AtomicBool, at: std::net::SocketAddr, is_persistent: bool) {
    let mut connection = None;
    while !stop.load(Ordering::Relaxed) {
        send_request(counts, &mut connection, at);
        if !is_persistent {
            connection = None;
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Sends a request, counts its result, and keeps its connection unless that is to be closed.
fn send_request(counts: &Counts, connection: &mut Option<HttpClient>, at: std::net::SocketAddr) {
    let id = counts.next_id.fetch_add(1, Ordering::Relaxed);
    let mut client =
        connection.take().unwrap_or_else(|| HttpClient::of(TcpStream::connect(at).expect("connects")));
    client.send(&read(&format!("u-{id}"), 5000));
    let Some(response) = client.try_receive() else {
        counts.unanswered.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let count = match response.status() {
        200 => &counts.served,
        429 | 503 => &counts.rejected,
        _ => &counts.failed,
    };
    count.fetch_add(1, Ordering::Relaxed);
    if response.header("Connection") != Some("close") {
        *connection = Some(client);
    }
}
