//! What becomes of requests between the word to end and the end of a proxy, by the time since the word.
//!
//! `cargo bench --bench ending`. `OTHER=PROGRAM` names another build, whose runs alternate with this one's. Callers come
//! again at once on the connections that they have; a third of the nodes hang from the word on.

#[path = "../tests/stubs/mod.rs"]
mod stubs;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

const RUNS: usize = 7;
const CALLERS: usize = 24;
const WORK: Duration = Duration::from_millis(80);
const STEP_MS: u128 = 250;

#[derive(Default, Clone, Copy)]
struct Count {
    served: usize,
    refused: usize,
    failed: usize,
    /// No whole answer to a request that was sent whole.
    lost: usize,
}

fn main() {
    // Cargo asks benchmarks that bring their own harness for a list of them.
    if std::env::args().any(|a| a == "--list" || a == "--test") {
        return;
    }
    let mut programs = vec![("this build", env!("CARGO_BIN_EXE_amberlever").to_owned())];
    programs.extend(std::env::var("OTHER").ok().map(|program| ("the other", program)));
    for deadline_ms in [300, 1000, 3000] {
        let mut told: BTreeMap<(&str, u128), Count> = BTreeMap::new();
        for _ in 0..RUNS {
            for (name, program) in &programs {
                for (step, count) in play(program, deadline_ms) {
                    let sum = told.entry((name, step)).or_default();
                    sum.served += count.served;
                    sum.refused += count.refused;
                    sum.failed += count.failed;
                    sum.lost += count.lost;
                }
            }
        }
        println!("deadline {deadline_ms} ms, {RUNS} runs: asked so long after the word, served, refused, failed, no answer");
        for ((name, step), Count { served, refused, failed, lost }) in told {
            println!("  {name:10} {:5} ms {served:6} {refused:6} {failed:6} {lost:6}", step * STEP_MS);
        }
    }
}

fn play(program: &str, deadline_ms: u32) -> BTreeMap<u128, Count> {
    let hang = Arc::<AtomicBool>::default();
    let nodes: Vec<MockEndpoint> = (0..6)
        .map(|n| {
            let hang = Arc::clone(&hang);
            MockEndpoint::of(move |_| {
                if n % 3 == 0 && hang.load(Ordering::Relaxed) {
                    return Behavior::Hang;
                }
                thread::sleep(WORK);
                ok("done")
            })
        })
        .collect();
    let mut setup = Setup::with_endpoints(&nodes.iter().collect::<Vec<_>>());
    (setup.latency_objective_ms, setup.deadline_ms, setup.balancers) = (deadline_ms, deadline_ms, 3);
    let proxy = setup.start_program(program);
    let told = Arc::<Mutex<Option<Instant>>>::default();
    let counts = Arc::<Mutex<BTreeMap<u128, Count>>>::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|c| {
            let (mut caller, told, counts) = (proxy.connect(), Arc::clone(&told), Arc::clone(&counts));
            thread::spawn(move || {
                for n in 0.. {
                    // Both may find the connection closed: that crosses the request, which goes elsewhere.
                    if !caller.try_send(&read(&format!("{c}-{n}"), deadline_ms)) {
                        return;
                    }
                    let asked = Instant::now();
                    let answer = caller.try_receive();
                    let word = *told.lock().expect("unpoisoned");
                    if let Some(word) = word.filter(|word| *word <= asked) {
                        let step = (asked - word).as_millis() / STEP_MS;
                        let mut counts = counts.lock().expect("unpoisoned");
                        let count = counts.entry(step).or_default();
                        match answer.as_ref().map(HttpMessage::status) {
                            Some(200) => count.served += 1,
                            Some(429 | 503) => count.refused += 1,
                            Some(_) => count.failed += 1,
                            None => count.lost += 1,
                        }
                    }
                    if answer.is_none_or(|a| a.header("Connection") == Some("close")) {
                        return;
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    hang.store(true, Ordering::Relaxed);
    *told.lock().expect("unpoisoned") = Some(Instant::now());
    proxy.terminate();
    // As on the platform: killed at the earliest moment that its page allows.
    thread::sleep(Duration::from_millis(u64::from(deadline_ms.min(3000)) + 700));
    proxy.signal("KILL");
    callers.into_iter().for_each(|caller| caller.join().expect("no panic"));
    let counts = counts.lock().expect("unpoisoned");
    counts.clone()
}
