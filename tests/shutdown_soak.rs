//! Shutdowns under load, by seed: plain requests, long responses, uploads and JSON-RPC calls on connections that their clients use
//! until the kill, signals in series, and at times a crowd of idle connections.
//!
//! `SOAK_SEEDS=50 SOAK_RPC_SEEDS=10 cargo test --test shutdown_soak` plays more seeds; `SOAK_FIRST_SEED` is the first.

#[path = "stubs/rpc.rs"]
mod rpc;
mod stubs;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rpc::*;
use serde_json::json;
use stubs::*;

/// The seeds that are played without `SOAK_SEEDS`.
const DEFAULT_SEEDS: u64 = 6;
/// The longest deadline that delays the kill.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The time of the kill after the signal, beside the longest deadline. A request that comes later than this after the
/// signal is lost if it is open at the kill.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A response that comes later than this after its client's timeout is lost.
const MAX_LATENESS: Duration = Duration::from_millis(550);
/// A close that is seen so soon after the last byte of a request was written may have crossed it.
const CROSSING_TIME: Duration = Duration::from_millis(10);
const CLIENTS: u64 = 16;
const CROWD: usize = 150;
/// The time of load before the signal.
const LEAD_TIME: Duration = Duration::from_millis(400);

/// What the endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plan {
    /// It answers after some milliseconds.
    Quick,
    /// It writes a response of unknown length with pauses.
    Pausing,
    /// It begins a response of unknown length and stops.
    Stopping,
    /// It never answers.
    Hanging,
    /// It reads a large body at its speed and answers.
    Upload,
    /// It reads a large body slowly and never answers.
    SlowUpload,
}

const PLANS: [Plan; 8] = [
    Plan::Quick,
    Plan::Quick,
    Plan::Quick,
    Plan::Pausing,
    Plan::Stopping,
    Plan::Hanging,
    Plan::Upload,
    Plan::SlowUpload,
];
const LONG_RESPONSE: usize = 100_000;
const LARGE_BODY: usize = 800_000;

/// The endpoint of all plans. The plan is named by the header `X-Plan`.
fn endpoint() -> SocketAddr {
    raw_endpoint(|stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while let Some(plan) = read_plan(&mut reader) {
            if serve(&stream, &mut reader, plan).is_none() {
                return;
            }
        }
    })
}

/// Reads the head of a request and returns the plan that it names.
fn read_plan(reader: &mut impl BufRead) -> Option<Plan> {
    let mut plan = None;
    let mut line = String::new();
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        if let Some(name) = line.to_ascii_lowercase().strip_prefix("x-plan: ") {
            plan = PLANS.into_iter().find(|plan| format!("{plan:?}").eq_ignore_ascii_case(name.trim()));
        }
        if line == "\r\n" {
            return plan;
        }
    }
}

/// Plays a plan; `None` if the connection has ended.
fn serve(mut stream: &TcpStream, reader: &mut BufReader<TcpStream>, plan: Plan) -> Option<()> {
    const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    match plan {
        Plan::Quick => {
            thread::sleep(Duration::from_millis(15));
            stream.write_all(OK).ok()
        }
        Plan::Pausing => {
            stream.write_all(CHUNKED).ok()?;
            let piece = vec![b'a'; LONG_RESPONSE / 5];
            for _ in 0..5 {
                stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).ok()?;
                stream.write_all(&piece).ok()?;
                stream.write_all(b"\r\n").ok()?;
                thread::sleep(Duration::from_millis(150));
            }
            stream.write_all(b"0\r\n\r\n").ok()
        }
        Plan::Stopping => {
            stream.write_all(CHUNKED).ok()?;
            stream.write_all(b"5\r\nbegun\r\n").ok()?;
            reader.read_to_end(&mut Vec::new()).ok()?;
            None
        }
        Plan::Hanging => {
            reader.read_to_end(&mut Vec::new()).ok()?;
            None
        }
        Plan::Upload => {
            std::io::copy(&mut reader.take(LARGE_BODY as u64), &mut std::io::sink()).ok()?;
            stream.write_all(OK).ok()
        }
        Plan::SlowUpload => {
            let mut part = [0; 4500];
            while matches!(reader.read(&mut part), Ok(1..)) {
                thread::sleep(Duration::from_millis(50));
            }
            None
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// A whole response with this status.
    Answered(u16),
    /// The connection ended within the response.
    CutOff,
    /// The connection ended before the response.
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct Exchange {
    plan: Plan,
    written_at: Instant,
    ended_at: Instant,
    end: End,
}

/// Sends requests one after the other, on one connection as long as that is open, until `stop`.
fn play_client(address: SocketAddr, seed: u64, timeout: Duration, stop: &AtomicBool) -> Vec<Exchange> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut exchanges = Vec::new();
    let mut connection: Option<BufReader<TcpStream>> = None;
    while !stop.load(Ordering::Relaxed) {
        let Some(mut client) = connection.take().or_else(|| connect(address)) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let plan = PLANS[random.usize(..PLANS.len())];
        let id = format!("{seed}-{}", exchanges.len());
        if let Some(exchange) = exchange(&mut client, plan, &id, timeout) {
            exchanges.push(exchange);
            if matches!(exchange.end, End::Answered(_)) && plan_keeps_connection(plan) {
                connection = Some(client);
            }
        }
        thread::sleep(Duration::from_millis(random.u64(..40)));
    }
    exchanges
}

/// The connection closes after large bodies.
fn plan_keeps_connection(plan: Plan) -> bool {
    !matches!(plan, Plan::Upload | Plan::SlowUpload)
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(TEST_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a request and reads its response; `None` if its last byte could not be written.
fn exchange(client: &mut BufReader<TcpStream>, plan: Plan, id: &str, timeout: Duration) -> Option<Exchange> {
    let timeout_ms = timeout.as_millis() as u32;
    let is_upload = matches!(plan, Plan::Upload | Plan::SlowUpload);
    let head = if is_upload { write(id, timeout_ms, "") } else { read(id, timeout_ms) };
    let head = head.replace("Content-Length: 0", &format!("Content-Length: {LARGE_BODY}"));
    let head = head.replace("\r\n\r\n", &format!("\r\nX-Plan: {plan:?}\r\n\r\n"));
    client.get_mut().write_all(head.as_bytes()).ok()?;
    if is_upload {
        client.get_mut().write_all(&vec![b'b'; LARGE_BODY]).ok()?;
    }
    let written_at = Instant::now();
    let has_begun = matches!(client.fill_buf(), Ok(data) if !data.is_empty());
    let response = read_message(client);
    let end = match response {
        Some(response) => End::Answered(response.status()),
        None if has_begun => End::CutOff,
        None => End::Closed,
    };
    Some(Exchange { plan, written_at, ended_at: Instant::now(), end })
}

/// Why an exchange broke a promise; `None` if it did not.
fn loss(exchange: &Exchange, timeout: Duration, signalled_at: Instant, killed_at: Instant) -> Option<String> {
    let Exchange { plan, written_at, ended_at, end } = *exchange;
    if written_at >= killed_at {
        return None;
    }
    let took = ended_at - written_at;
    let is_killed = ended_at >= killed_at;
    let came_late = written_at > signalled_at + KILL_DELAY;
    let reason = match end {
        End::Answered(_) if plan == Plan::Pausing => None,
        End::Answered(_) => (took > timeout + MAX_LATENESS).then_some("answered late"),
        End::Closed if !is_killed => (took > CROSSING_TIME).then_some("closed without an answer"),
        End::Closed if took > timeout + MAX_LATENESS => Some("no answer in time"),
        End::Closed => came_late.then_some("no answer at the kill"),
        // The endpoint still writes, or has stopped.
        End::CutOff if plan == Plan::Pausing => {
            (!is_killed && !came_late).then_some("cut off while its endpoint writes")
        }
        End::CutOff if plan == Plan::Stopping => (is_killed && came_late).then_some("open at the kill"),
        End::CutOff => Some("cut off"),
    };
    let after = written_at.saturating_duration_since(signalled_at);
    reason
        .map(|reason| format!("{reason}: {plan:?}, written {after:?} after the signal, ended after {took:?}"))
}

/// Plays one shutdown. Returns the number of requests and what was lost.
fn play(seed: u64) -> (usize, Vec<String>) {
    let mut random = fastrand::Rng::with_seed(seed);
    let deadline = Duration::from_millis([300, 600, 1000, 1500, 2500][random.usize(..5)]);
    let timeout = deadline.mul_f64([0.6, 1.0][random.usize(..2)]);
    let has_crowd = random.u32(..3) == 0;
    let discovery = MockDiscovery::new();
    let deadline_ms = deadline.as_millis() as u32;
    let endpoints: Vec<_> = (0..4).map(|_| endpoint()).collect();
    let setup = Setup {
        endpoints: (0..4).map(|i| host(&format!("s-{i}"), endpoints[i], "SERVING")).collect(),
        latency_objective_ms: deadline_ms,
        deadline_ms,
        balancers: [1, 2, 5][random.usize(..3)],
        ..Setup::with_endpoints(&[])
    };
    let mut process = start_config(&setup.config(discovery.address));
    process.wait_until_ready();
    let crowd: Vec<_> = (0..if has_crowd { CROWD } else { 0 })
        .filter_map(|_| TcpStream::connect(process.address).ok())
        .collect();
    let stop = Arc::<AtomicBool>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, stop) = (process.address, Arc::clone(&stop));
            thread::spawn(move || play_client(address, seed * CLIENTS + client, timeout, &stop))
        })
        .collect();
    thread::sleep(LEAD_TIME);
    let signals = [&["TERM"][..], &["HUP", "TERM"], &["TERM", "TERM", "HUP"], &["INT", "TERM", "INT"]];
    let mut signalled_at = None;
    for signal in signals[random.usize(..signals.len())] {
        process.signal(signal);
        if *signal != "HUP" {
            signalled_at.get_or_insert_with(Instant::now);
        }
        thread::sleep(Duration::from_millis(random.u64(..60)));
    }
    let signalled_at = signalled_at.expect("a signal to end");
    let killed_at = signalled_at + deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
    while Instant::now() < killed_at && !process.has_exited() {
        thread::sleep(Duration::from_millis(2));
    }
    // A process that has exited before refuses connections until the time of the kill.
    thread::sleep(killed_at.saturating_duration_since(Instant::now()));
    if !process.has_exited() {
        process.signal("KILL");
    }
    stop.store(true, Ordering::Relaxed);
    drop(crowd);
    let exchanges: Vec<_> = clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
    let losses = exchanges.iter().filter_map(|exchange| loss(exchange, timeout, signalled_at, killed_at));
    (exchanges.len(), losses.collect())
}

fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against requests that are lost at a shutdown.
#[test]
fn no_request_is_lost_at_a_shutdown_under_load() {
    let first = number_from_env("SOAK_FIRST_SEED", 1);
    let (mut requests, mut lost) = (0, Vec::new());
    for seed in first..first + number_from_env("SOAK_SEEDS", DEFAULT_SEEDS) {
        let (played, losses) = play(seed);
        eprintln!("seed {seed}: {played} requests, {} lost", losses.len());
        requests += played;
        lost.extend(losses.into_iter().map(|loss| format!("seed {seed}: {loss}")));
    }
    eprintln!("{requests} requests, {} lost", lost.len());
    assert!(requests > 100, "{requests} requests are no load");
    assert!(lost.is_empty(), "{} of {requests} requests: {lost:#?}", lost.len());
}

// ---- JSON-RPC ----

/// The seeds of JSON-RPC that are played without `SOAK_SEEDS`. Each takes as long as a process without a kill accepts.
const DEFAULT_RPC_SEEDS: u64 = 3;
const RPC_CLIENTS: u64 = 8;

/// Sends calls without waiting for their results until the proxy announces the close. Returns the number of calls that
/// were sent, and those without a response although the proxy has read them.
fn play_rpc_client(mut client: RpcClient, seed: u64) -> (u64, BTreeSet<u64>) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut writer = client.stream().try_clone().expect("a copy");
    let sender = thread::spawn(move || {
        let mut sent = 0;
        loop {
            let call = testkit::json_rpc::request(sent, "standings", json!({ "x": "1" }));
            if writer.write_all((call + "\n").as_bytes()).is_err() {
                return sent;
            }
            sent += 1;
            thread::sleep(Duration::from_millis(random.u64(1..60)));
        }
    });
    let mut answered = BTreeSet::new();
    let mut taken = 0;
    while let Some(message) = client.try_receive() {
        if message["method"] == "$/closing" {
            taken = message["params"]["taken"].as_u64().expect("a number");
        } else {
            answered.insert(message["id"].as_u64().expect("a call"));
        }
    }
    let _ = client.stream().shutdown(std::net::Shutdown::Both);
    let sent = sender.join().expect("no panic");
    (sent, (0..taken).filter(|id| !answered.contains(id)).collect())
}

/// Guards against calls that were read and have no response when their connection closes.
#[test]
fn no_call_is_lost_at_a_shutdown_under_load() {
    let first = number_from_env("SOAK_FIRST_SEED", 1);
    let (mut sent, mut lost) = (0, Vec::new());
    for seed in first..first + number_from_env("SOAK_RPC_SEEDS", DEFAULT_RPC_SEEDS) {
        let endpoints: Vec<_> = [RpcBehavior::Result(json!("r".repeat(3000))), RpcBehavior::Hang]
            .into_iter()
            .map(|behavior| MockRpcEndpoint::new(Framing::Lines, [behavior]))
            .collect();
        let addresses: Vec<_> = endpoints.iter().map(|endpoint| endpoint.address).collect();
        let mut proxy = DualProtocolProxy::start(&RpcSite::rpc(&addresses));
        let clients: Vec<_> = (0..RPC_CLIENTS)
            .map(|number| {
                let client = proxy.rpc();
                thread::spawn(move || play_rpc_client(client, seed * RPC_CLIENTS + number))
            })
            .collect();
        thread::sleep(LEAD_TIME);
        for signal in [&["TERM", "TERM"][..], &["HUP", "TERM", "INT"]][seed as usize % 2] {
            proxy.process.signal(signal);
        }
        for client in clients {
            let (calls, unanswered) = client.join().expect("no panic");
            sent += calls;
            lost.extend(unanswered.into_iter().map(|id| format!("seed {seed}: call {id}")));
        }
        assert!(proxy.process.wait_for_exit().success());
    }
    eprintln!("{sent} calls, {} lost", lost.len());
    assert!(sent > 100, "{sent} calls are no load");
    assert!(lost.is_empty(), "{} of {sent} calls: {lost:#?}", lost.len());
}
