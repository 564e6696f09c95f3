//! Generated sequences of requests and faults have the same outcomes, attempts and executions over HTTP and
//! over JSON-RPC, on the downstream and on the upstream side.
#[path = "stubs/rpc.rs"]
mod rpc;
mod stubs;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use rpc::*;
use serde_json::json;
use stubs::*;
use testkit::json_rpc::request as rpc_request;

/// The number of sequences.
const SEEDS: u64 = 200;
/// The number of sequences that are also sent with different protocols on the two sides.
const MIXED_SEEDS: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Executed, with an error.
    Error,
    /// Rejected without being executed.
    Rejected,
    /// Executed, and the connection is closed without a response.
    ConnectionClosed,
}

#[derive(Clone, Debug)]
struct Request {
    class: &'static str,
    key: Option<u32>,
    /// The fault of each of its attempts; the last one applies to all further ones.
    faults: Vec<Fault>,
}

/// The outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    Rejected,
    Failed,
    TimedOut,
}

/// The attempts and executions of a request at the endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Arrivals {
    attempts: usize,
    executions: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestResult {
    outcome: Outcome,
    arrivals: Arrivals,
}

/// The protocols of the downstream and the upstream side.
#[derive(Clone, Copy, Debug)]
struct Protocols {
    downstream_is_rpc: bool,
    upstream_is_rpc: bool,
}

/// The generated sequence of a seed.
fn sequence(seed: u64) -> Vec<Request> {
    let mut random = fastrand::Rng::with_seed(seed);
    (0..12)
        .map(|_| {
            let class = ["standings", "report-result", "close-round"][random.usize(..3)];
            // Few keys, so that some are repeated.
            let key = (class == "report-result").then(|| random.u32(..4));
            let fault = |random: &mut fastrand::Rng| match random.u8(..8) {
                0 => Fault::Error,
                1 => Fault::Rejected,
                2 => Fault::ConnectionClosed,
                _ => Fault::None,
            };
            Request { class, key, faults: (0..4).map(|_| fault(&mut random)).collect() }
        })
        .collect()
}

/// A sequence and its progress, shared with the endpoints.
struct Script {
    requests: Vec<Request>,
    /// The index of the request that is being sent.
    current: AtomicUsize,
    arrivals: Mutex<Vec<Arrivals>>,
}

impl Script {
    /// Records an attempt of the current request and returns its fault.
    fn next_fault(&self) -> Fault {
        let current = self.current.load(Ordering::SeqCst);
        let arrivals = &mut self.arrivals.lock().expect("unpoisoned")[current];
        let faults = &self.requests[current].faults;
        let fault = faults[arrivals.attempts.min(faults.len() - 1)];
        arrivals.attempts += 1;
        arrivals.executions += usize::from(fault != Fault::Rejected);
        fault
    }
}

/// Two endpoints of one protocol that follow a script.
enum Endpoints {
    Http(Vec<MockEndpoint>),
    Rpc(Vec<MockRpcEndpoint>),
}

impl Endpoints {
    fn start(script: &Arc<Script>, is_rpc: bool) -> Endpoints {
        let script = || Arc::clone(script);
        if is_rpc {
            let endpoint = |script: Arc<Script>| {
                MockRpcEndpoint::of(Framing::Lines, move |_| match script.next_fault() {
                    Fault::None => RpcBehavior::Result(json!("done")),
                    Fault::Error => RpcBehavior::Error(-32050),
                    Fault::Rejected => RpcBehavior::Error(-32004),
                    Fault::ConnectionClosed => RpcBehavior::Disconnect,
                })
            };
            return Endpoints::Rpc(vec![endpoint(script()), endpoint(script())]);
        }
        let endpoint = |script: Arc<Script>| {
            MockEndpoint::of(move |_| match script.next_fault() {
                Fault::None => ok("done"),
                Fault::Error => answer("500 Internal Server Error", "", ""),
                Fault::Rejected => full(),
                Fault::ConnectionClosed => Behavior::Disconnect,
            })
        };
        Endpoints::Http(vec![endpoint(script()), endpoint(script())])
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        match self {
            Endpoints::Http(endpoints) => endpoints.iter().map(|n| n.address).collect(),
            Endpoints::Rpc(endpoints) => endpoints.iter().map(|n| n.address).collect(),
        }
    }
}

fn send_http(client: &mut HttpClient, index: usize, request: &Request) -> Outcome {
    let method = if request.class == "standings" { "GET" } else { "POST" };
    let key = request.key.map_or(String::new(), |key| format!("Idempotency-Key: k{key}\r\n"));
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    let head = format!("{method} /{}/{index} HTTP/1.1\r\nHost: h\r\n{key}{length}\r\n", request.class);
    match client.ask(&head).status() {
        200 => Outcome::Served,
        503 | 429 => Outcome::Rejected,
        502 => Outcome::Failed,
        504 => Outcome::TimedOut,
        status => panic!("{status}"),
    }
}

fn send_rpc(client: &mut RpcClient, index: usize, request: &Request) -> Outcome {
    let params = request.key.map_or(json!({}), |key| json!({ "key": format!("k{key}") }));
    let response = client.ask(&rpc_request(index, request.class, params));
    match response["error"]["code"].as_i64() {
        None => Outcome::Served,
        Some(-32000) => Outcome::Rejected,
        Some(-32001) => Outcome::Failed,
        Some(-32002) => Outcome::TimedOut,
        Some(code) => panic!("{code}"),
    }
}

/// Sends the requests of a sequence one after the other.
fn play(requests: &[Request], protocols: Protocols) -> Vec<RequestResult> {
    let script = Arc::new(Script {
        requests: requests.to_vec(),
        current: AtomicUsize::new(0),
        arrivals: Mutex::new(vec![Arrivals::default(); requests.len()]),
    });
    let endpoints = Endpoints::start(&script, protocols.upstream_is_rpc);
    let site =
        RpcSite { has_rpc_endpoints: protocols.upstream_is_rpc, ..RpcSite::http(&endpoints.addresses()) };
    let proxy = DualProtocolProxy::start(&site);
    let mut http_client = proxy.process.connect();
    let mut rpc_client = proxy.rpc();
    let mut outcomes = Vec::with_capacity(requests.len());
    for (index, request) in requests.iter().enumerate() {
        script.current.store(index, Ordering::SeqCst);
        outcomes.push(if protocols.downstream_is_rpc {
            send_rpc(&mut rpc_client, index, request)
        } else {
            send_http(&mut http_client, index, request)
        });
    }
    let arrivals = script.arrivals.lock().expect("unpoisoned");
    let results = outcomes.into_iter().zip(arrivals.iter());
    results.map(|(outcome, arrivals)| RequestResult { outcome, arrivals: *arrivals }).collect()
}

/// Sends the sequence of a seed over each pair of protocols and compares the results.
fn compare_protocols(seed: u64) -> Vec<RequestResult> {
    let requests = sequence(seed);
    let http = Protocols { downstream_is_rpc: false, upstream_is_rpc: false };
    let expected = play(&requests, http);
    let mut others = vec![Protocols { downstream_is_rpc: true, upstream_is_rpc: true }];
    if seed < MIXED_SEEDS {
        others.push(Protocols { downstream_is_rpc: true, upstream_is_rpc: false });
        others.push(Protocols { downstream_is_rpc: false, upstream_is_rpc: true });
    }
    for protocols in others {
        assert_eq!(play(&requests, protocols), expected, "seed {seed}, {protocols:?}: {requests:#?}");
    }
    for (result, request) in expected.iter().zip(&requests) {
        let is_at_most_once = request.class == "close-round";
        assert!(!is_at_most_once || result.arrivals.executions <= 1, "seed {seed}: executed twice");
    }
    expected
}

#[test]
fn both_protocols_give_the_same_results() {
    let next_seed = Arc::new(AtomicUsize::new(0));
    let workers: Vec<_> = (0..4)
        .map(|_| {
            let next_seed = Arc::clone(&next_seed);
            thread::spawn(move || {
                let seeds = std::iter::repeat_with(|| next_seed.fetch_add(1, Ordering::SeqCst) as u64);
                seeds.take_while(|seed| *seed < SEEDS).flat_map(compare_protocols).collect::<Vec<_>>()
            })
        })
        .collect();
    let all: Vec<RequestResult> =
        workers.into_iter().flat_map(|worker| worker.join().expect("no panic")).collect();
    // Without these cases the comparison would have no value.
    let count = |is_counted: &dyn Fn(&RequestResult) -> bool| all.iter().filter(|r| is_counted(r)).count();
    let served = count(&|result| result.outcome == Outcome::Served);
    let replayed = count(&|result| result.outcome == Outcome::Served && result.arrivals.attempts == 0);
    let rejected = count(&|result| result.outcome == Outcome::Rejected);
    let failed = count(&|result| result.outcome == Outcome::Failed);
    let retried = count(&|result| result.arrivals.attempts > 1);
    println!(
        "{} requests: served {served}, of which {replayed} from stored responses; rejected {rejected}, failed {failed}; \
         {retried} retried",
        all.len(),
    );
    assert!(replayed > 50 && retried > 50 && failed > 50 && rejected > 5);
}
