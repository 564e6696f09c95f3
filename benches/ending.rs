//! Counts the outcomes of requests while a proxy shuts down, by the time since SIGTERM.
//!
//! `cargo bench --bench ending`. `OTHER=PROGRAM` names another build, whose runs alternate with those of this
//! build. Clients send the next request at once on the connections that they have. A third of the endpoints
//! hang from the time of SIGTERM.

#[path = "../tests/stubs/mod.rs"]
mod stubs;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

const RUNS: usize = 7;
const CLIENTS: usize = 24;
/// The latency of the endpoints.
const LATENCY: Duration = Duration::from_millis(80);
/// The length of the steps by which outcomes are counted, in milliseconds.
const STEP_MS: u128 = 250;

/// The number of requests by outcome.
#[derive(Default, Clone, Copy)]
struct Counts {
    served: usize,
    rejected: usize,
    failed: usize,
    /// Requests that were sent completely and got no complete response.
    lost: usize,
}

fn main() {
    // Benchmarks without the standard harness are also started with `--list` or `--test`, and measure nothing
    // then.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let mut programs = vec![("this build", env!("CARGO_BIN_EXE_amberlever").to_owned())];
    programs.extend(std::env::var("OTHER").ok().map(|program| ("other", program)));
    for deadline_ms in [300, 1000, 3000] {
        let mut totals: BTreeMap<(&str, u128), Counts> = BTreeMap::new();
        for _ in 0..RUNS {
            for (name, program) in &programs {
                for (step, counts) in run(program, deadline_ms) {
                    let total = totals.entry((name, step)).or_default();
                    total.served += counts.served;
                    total.rejected += counts.rejected;
                    total.failed += counts.failed;
                    total.lost += counts.lost;
                }
            }
        }
        println!("deadline {deadline_ms} ms, {RUNS} runs: time from SIGTERM to the request, served, rejected, failed, no response");
        for ((name, step), Counts { served, rejected, failed, lost }) in totals {
            println!("  {name:10} {:5} ms {served:6} {rejected:6} {failed:6} {lost:6}", step * STEP_MS);
        }
    }
}

/// Runs a proxy until it is killed. Returns the outcomes of requests after SIGTERM, by step.
fn run(program: &str, deadline_ms: u32) -> BTreeMap<u128, Counts> {
    let hang = Arc::<AtomicBool>::default();
    let endpoints: Vec<MockEndpoint> = (0..6)
        .map(|n| {
            let hang = Arc::clone(&hang);
            MockEndpoint::of(move |_| {
                if n % 3 == 0 && hang.load(Ordering::Relaxed) {
                    return Behavior::Hang;
                }
                thread::sleep(LATENCY);
                ok("done")
            })
        })
        .collect();
    let mut setup = Setup::with_endpoints(&endpoints.iter().collect::<Vec<_>>());
    (setup.latency_objective_ms, setup.deadline_ms, setup.balancers) = (deadline_ms, deadline_ms, 3);
    let proxy = setup.start_program(program);
    let terminated_at = Arc::<Mutex<Option<Instant>>>::default();
    let counts_by_step = Arc::<Mutex<BTreeMap<u128, Counts>>>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (mut client, terminated_at, counts_by_step) =
                (proxy.connect(), Arc::clone(&terminated_at), Arc::clone(&counts_by_step));
            thread::spawn(move || {
                for n in 0.. {
                    // The proxy may close the connection at the same time, so sending or receiving may fail.
                    // The client would then send the request to another proxy.
                    if !client.try_send(&read(&format!("{c}-{n}"), deadline_ms)) {
                        return;
                    }
                    let sent_at = Instant::now();
                    let response = client.try_receive();
                    let terminated_at = *terminated_at.lock().expect("unpoisoned");
                    if let Some(terminated_at) = terminated_at.filter(|at| *at <= sent_at) {
                        let step = (sent_at - terminated_at).as_millis() / STEP_MS;
                        let mut counts_by_step = counts_by_step.lock().expect("unpoisoned");
                        let counts = counts_by_step.entry(step).or_default();
                        match response.as_ref().map(HttpMessage::status) {
                            Some(200) => counts.served += 1,
                            Some(429 | 503) => counts.rejected += 1,
                            Some(_) => counts.failed += 1,
                            None => counts.lost += 1,
                        }
                    }
                    if response.is_none_or(|response| response.header("Connection") == Some("close")) {
                        return;
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    hang.store(true, Ordering::Relaxed);
    *terminated_at.lock().expect("unpoisoned") = Some(Instant::now());
    proxy.terminate();
    // The platform kills a proxy at this time at the earliest.
    thread::sleep(Duration::from_millis(u64::from(deadline_ms.min(3000)) + 700));
    proxy.signal("KILL");
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    let counts_by_step = counts_by_step.lock().expect("unpoisoned");
    counts_by_step.clone()
}
