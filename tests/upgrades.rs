//! Processes that take over from each other, one after the other, under load: nothing is lost, refused or turned back.
//! As many as `UPGRADES` says, or a few: `UPGRADES=100 cargo test --release --test upgrades -- --nocapture`.
mod stubs;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// Callers of each sort.
const CALLERS: usize = 4;
/// For how long a process serves alone.
const ALONE: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Connections that ended without an answer.
    unheard: AtomicU64,
    number: AtomicU64,
}

#[test]
fn upgrades_in_a_row_under_load_lose_nothing_and_turn_nobody_away() {
    let count: usize = std::env::var("UPGRADES").map_or(8, |n| n.parse().expect("how many upgrades"));
    let nodes: Vec<MockEndpoint> = (0..4).map(|_| MockEndpoint::of(|_| ok("done"))).collect();
    let (discovery, held) = (MockDiscovery::new(), InheritedListener::new());
    let config =
        with_operators(&Setup::with_endpoints(&nodes.iter().collect::<Vec<_>>()).config(discovery.address));
    let mut serving = held.start(&config);
    let (heard, over) = (Arc::<Counts>::default(), Arc::<AtomicBool>::default());
    let callers: Vec<_> = (0..2 * CALLERS)
        .map(|n| {
            let (heard, over, at) = (Arc::clone(&heard), Arc::clone(&over), held.address);
            thread::spawn(move || {
                let mut kept = None;
                while !over.load(Ordering::Relaxed) {
                    ask(&heard, &mut kept, at);
                    if n < CALLERS {
                        kept = None;
                    }
                    thread::sleep(Duration::from_millis(1));
                }
            })
        })
        .collect();
    let (mut slowest, mut longest) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..count {
        thread::sleep(ALONE);
        let since = Instant::now();
        let next = held.start(&config);
        while next.operator_request("GET", "/status", "").0 != 200 {
            thread::sleep(Duration::from_millis(1));
        }
        slowest = slowest.max(since.elapsed());
        let mut before = std::mem::replace(&mut serving, next);
        before.terminate();
        let since = Instant::now();
        assert!(before.wait_for_exit().success(), "{}", before.log());
        longest = longest.max(since.elapsed());
    }
    over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|c| c.join().expect("no panic"));
    let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
    println!(
        "{count} upgrades: {} served, {} refused, {} failed, {} unheard; slowest yes {} ms, longest end {} ms",
        of(&heard.served),
        of(&heard.refused),
        of(&heard.failed),
        of(&heard.unheard),
        slowest.as_millis(),
        longest.as_millis()
    );
    assert_eq!((of(&heard.refused), of(&heard.failed), of(&heard.unheard)), (0, 0, 0));
    assert!(of(&heard.served) > 40 * count as u64);
}

fn ask(heard: &Counts, kept: &mut Option<HttpClient>, at: std::net::SocketAddr) {
    let id = heard.number.fetch_add(1, Ordering::Relaxed);
    let mut caller =
        kept.take().unwrap_or_else(|| HttpClient::of(TcpStream::connect(at).expect("it listens")));
    caller.send(&read(&format!("u-{id}"), 5000));
    let Some(answer) = caller.try_receive() else {
        heard.unheard.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let count = match answer.status() {
        200 => &heard.served,
        429 | 503 => &heard.refused,
        _ => &heard.failed,
    };
    count.fetch_add(1, Ordering::Relaxed);
    if answer.header("Connection") != Some("close") {
        *kept = Some(caller);
    }
}
