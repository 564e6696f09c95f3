//! Clients that send at full speed on one connection: others are served in time.

#[path = "stubs/rpc.rs"]
mod rpc;
mod stubs;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rpc::*;
use serde_json::json;
use stubs::*;

/// How long a client sends at full speed.
const PLAY_TIME: Duration = Duration::from_secs(3);
/// The time within which other clients wait for their responses.
const CLIENT_TIMEOUT_MS: u64 = 200;

/// Sends `bytes` again and again on one connection, and discards what it is sent.
fn flood(mut stream: TcpStream, bytes: Vec<u8>, stop: Arc<AtomicBool>) {
    let mut reader = stream.try_clone().expect("a copy");
    thread::spawn(move || while reader.read(&mut [0; 1 << 16]).is_ok_and(|bytes| bytes > 0) {});
    while !stop.load(Ordering::Relaxed) && stream.write_all(&bytes).is_ok() {}
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Guards against one connection that takes the whole time of the process: others got their answers late or never
/// while it sent empty lines, messages without a call, or notifications under ever new names.
#[test]
fn a_flood_on_one_connection_delays_no_other_client() {
    let endpoint = MockEndpoint::of(|_| ok("[]"));
    let proxy = DualProtocolProxy::start(&RpcSite {
        latency_objective_ms: CLIENT_TIMEOUT_MS as u32 / 2,
        ..RpcSite::http(&[endpoint.address])
    });
    let notifications: String =
        (0..2_000).map(|n| format!("{{\"jsonrpc\":\"2.0\",\"method\":\"m{n}\"}}\n")).collect();
    let floods = [
        ("empty lines", vec![b'\n'; 64 << 10]),
        ("invalid messages", "{}\n".repeat(20_000).into_bytes()),
        ("notifications", notifications.into_bytes()),
    ];
    for (name, bytes) in floods {
        let stop = Arc::<AtomicBool>::default();
        let stream = TcpStream::connect(proxy.rpc).expect("connects");
        let flooding = thread::spawn({
            let stop = Arc::clone(&stop);
            move || flood(stream, bytes, stop)
        });
        let mut client = proxy.rpc();
        let started_at = Instant::now();
        let (mut calls, mut slowest) = (0, Duration::ZERO);
        while started_at.elapsed() < PLAY_TIME {
            calls += 1;
            let called_at = Instant::now();
            let params = json!({ "_meta": { "timeoutMs": CLIENT_TIMEOUT_MS } });
            let response = client.call(calls, "standings", params);
            assert!(response.get("result").is_some(), "{name}, call {calls}: {response}");
            slowest = slowest.max(called_at.elapsed());
            thread::sleep(Duration::from_millis(10));
        }
        stop.store(true, Ordering::Relaxed);
        flooding.join().expect("no panic");
        println!("{name}: {calls} calls, the slowest took {slowest:?}");
        assert!(slowest < Duration::from_millis(CLIENT_TIMEOUT_MS), "{name}: {slowest:?}");
    }
}
