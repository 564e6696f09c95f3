//! Processes that take over from each other under load: no request is lost, rejected or failed.
//! The number of upgrades is `UPGRADES`, or a few: `UPGRADES=100 cargo test --release --test upgrades -- --nocapture`.
mod stubs;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// Clients with persistent connections, and as many with a connection for each request.
const CLIENTS: usize = 4;
/// The time between upgrades.
const UPGRADE_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    /// Connections that ended without an answer.
    unanswered: AtomicU64,
    next_id: AtomicU64,
}

#[test]
fn consecutive_upgrades_under_load_lose_and_reject_nothing() {
    let count: usize = std::env::var("UPGRADES").map_or(8, |n| n.parse().expect("how many upgrades"));
    let nodes: Vec<MockEndpoint> = (0..4).map(|_| MockEndpoint::of(|_| ok("done"))).collect();
    let (discovery, held) = (MockDiscovery::new(), InheritedListener::new());
    let config = with_operators_address(
        &Setup::with_endpoints(&nodes.iter().collect::<Vec<_>>()).config(discovery.address),
    );
    let mut serving = held.start(&config);
    let (counts, stop) = (Arc::<Counts>::default(), Arc::<AtomicBool>::default());
    let callers: Vec<_> = (0..2 * CLIENTS)
        .map(|n| {
            let (counts, stop, at) = (Arc::clone(&counts), Arc::clone(&stop), held.address);
            thread::spawn(move || send_until_stopped(&counts, &stop, at, n >= CLIENTS))
        })
        .collect();
    let (mut slowest_start, mut longest_shutdown) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..count {
        thread::sleep(UPGRADE_INTERVAL);
        let since = Instant::now();
        let next = held.start(&config);
        while next.operator_request("GET", "/status", "").0 != 200 {
            thread::sleep(Duration::from_millis(1));
        }
        slowest_start = slowest_start.max(since.elapsed());
        let mut before = std::mem::replace(&mut serving, next);
        before.terminate();
        let since = Instant::now();
        assert!(before.wait_for_exit().success(), "{}", before.log());
        longest_shutdown = longest_shutdown.max(since.elapsed());
    }
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|c| c.join().expect("no panic"));
    let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
    println!(
        "{count} upgrades: {} served, {} refused, {} failed, {} unheard; slowest yes {} ms, longest end {} ms",
        of(&counts.served),
        of(&counts.rejected),
        of(&counts.failed),
        of(&counts.unanswered),
        slowest_start.as_millis(),
        longest_shutdown.as_millis()
    );
    assert_eq!((of(&counts.rejected), of(&counts.failed), of(&counts.unanswered)), (0, 0, 0));
    assert!(of(&counts.served) > 40 * count as u64);
}

/// Sends requests on one connection for as long as that is open, or on a new one each.
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

fn send_request(counts: &Counts, connection: &mut Option<HttpClient>, at: std::net::SocketAddr) {
    let id = counts.next_id.fetch_add(1, Ordering::Relaxed);
    let mut caller =
        connection.take().unwrap_or_else(|| HttpClient::of(TcpStream::connect(at).expect("connects")));
    caller.send(&read(&format!("u-{id}"), 5000));
    let Some(answer) = caller.try_receive() else {
        counts.unanswered.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let count = match answer.status() {
        200 => &counts.served,
        429 | 503 => &counts.rejected,
        _ => &counts.failed,
    };
    count.fetch_add(1, Ordering::Relaxed);
    if answer.header("Connection") != Some("close") {
        *connection = Some(caller);
    }
}
