//! One generated sequence of requests and faults, played over either protocol on each side: the same outcomes, attempts
//! and executions.
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
use testkit::json_rpc::request;

/// Sequences that are played.
const SEEDS: u64 = 200;
/// Of these, also with one protocol on one side and the other on the other.
const MIXED: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// It ran, and says that it failed.
    Error,
    /// Turned away unseen.
    Full,
    /// Read whole, and the connection closed.
    Break,
}

#[derive(Clone, Debug)]
struct Request {
    class: &'static str,
    key: Option<u32>,
    /// Of each of its attempts; the last from there on.
    faults: Vec<Fault>,
}

/// What came of a request: its outcome, how often it arrived, and how often it may have run.
type Came = (&'static str, usize, usize);

fn sequence(seed: u64) -> Vec<Request> {
    let mut random = fastrand::Rng::with_seed(seed);
    (0..12)
        .map(|_| {
            let class = ["standings", "report-result", "close-round"][random.usize(..3)];
            // Few keys, so that some come again.
            let key = (class == "report-result").then(|| random.u32(..4));
            let fault = |random: &mut fastrand::Rng| match random.u8(..8) {
                0 => Fault::Error,
                1 => Fault::Full,
                2 => Fault::Break,
                _ => Fault::None,
            };
            Request { class, key, faults: (0..4).map(|_| fault(&mut random)).collect() }
        })
        .collect()
}

/// The sequence as the nodes play it: what is asked now, and what has arrived for each.
struct Script {
    requests: Vec<Request>,
    now: AtomicUsize,
    arrived: Mutex<Vec<(usize, usize)>>,
}

impl Script {
    fn arrive(&self) -> Fault {
        let now = self.now.load(Ordering::SeqCst);
        let (arrived, ran) = &mut self.arrived.lock().expect("unpoisoned")[now];
        let faults = &self.requests[now].faults;
        let fault = faults[(*arrived).min(faults.len() - 1)];
        *arrived += 1;
        *ran += usize::from(fault != Fault::Full);
        fault
    }
}

/// Nodes that follow it, of either protocol.
enum Nodes {
    Http(Vec<MockEndpoint>),
    Rpc(Vec<MockRpcEndpoint>),
}

impl Nodes {
    fn start(script: &Arc<Script>, speak_rpc: bool) -> Nodes {
        let script = || Arc::clone(script);
        if speak_rpc {
            let node = |script: Arc<Script>| {
                MockRpcEndpoint::of(Framing::Lines, move |_| match script.arrive() {
                    Fault::None => RpcBehavior::Result(json!("done")),
                    Fault::Error => RpcBehavior::Error(-32050),
                    Fault::Full => RpcBehavior::Error(-32004),
                    Fault::Break => RpcBehavior::Disconnect,
                })
            };
            return Nodes::Rpc(vec![node(script()), node(script())]);
        }
        let node = |script: Arc<Script>| {
            MockEndpoint::of(move |_| match script.arrive() {
                Fault::None => ok("done"),
                Fault::Error => answer("500 Internal Server Error", "", ""),
                Fault::Full => full(),
                Fault::Break => Behavior::Disconnect,
            })
        };
        Nodes::Http(vec![node(script()), node(script())])
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        match self {
            Nodes::Http(nodes) => nodes.iter().map(|n| n.address).collect(),
            Nodes::Rpc(nodes) => nodes.iter().map(|n| n.address).collect(),
        }
    }
}

fn by_http(caller: &mut HttpClient, n: usize, asked: &Request) -> &'static str {
    let verb = if asked.class == "standings" { "GET" } else { "POST" };
    let key = asked.key.map_or(String::new(), |key| format!("Idempotency-Key: k{key}\r\n"));
    let length = if verb == "POST" { "Content-Length: 0\r\n" } else { "" };
    let head = format!("{verb} /{}/{n} HTTP/1.1\r\nHost: h\r\n{key}{length}\r\n", asked.class);
    match caller.ask(&head).status() {
        200 => "served",
        503 | 429 => "refused",
        502 => "failed",
        504 => "late",
        status => panic!("{status}"),
    }
}

fn by_rpc(caller: &mut RpcClient, n: usize, asked: &Request) -> &'static str {
    let params = asked.key.map_or(json!({}), |key| json!({ "key": format!("k{key}") }));
    let answer = caller.ask(&request(n, asked.class, params));
    match answer["error"]["code"].as_i64() {
        None => "served",
        Some(-32000) => "refused",
        Some(-32001) => "failed",
        Some(-32002) => "late",
        Some(code) => panic!("{code}"),
    }
}

fn play(requests: &[Request], ask_rpc: bool, speak_rpc: bool) -> Vec<Came> {
    let script = Arc::new(Script {
        requests: requests.to_vec(),
        now: AtomicUsize::new(0),
        arrived: Mutex::new(vec![(0, 0); requests.len()]),
    });
    let nodes = Nodes::start(&script, speak_rpc);
    let site = Site { speaks: speak_rpc, ..Site::http(&nodes.addresses()) };
    let proxy = Both::start(&site);
    let (mut http, mut rpc) = (proxy.process.caller(), proxy.rpc());
    let outcomes: Vec<&'static str> = requests
        .iter()
        .enumerate()
        .map(|(n, asked)| {
            script.now.store(n, Ordering::SeqCst);
            if ask_rpc {
                by_rpc(&mut rpc, n, asked)
            } else {
                by_http(&mut http, n, asked)
            }
        })
        .collect();
    let arrived = script.arrived.lock().expect("unpoisoned");
    outcomes
        .into_iter()
        .zip(arrived.iter())
        .map(|(outcome, (arrived, ran))| (outcome, *arrived, *ran))
        .collect()
}

#[test]
fn both_protocols_come_to_the_same() {
    let next = Arc::new(AtomicUsize::new(0));
    let workers: Vec<_> = (0..4)
        .map(|_| {
            let next = Arc::clone(&next);
            thread::spawn(move || {
                let mut all = Vec::new();
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst) as u64;
                    if seed >= SEEDS {
                        return all;
                    }
                    let requests = sequence(seed);
                    let plain = play(&requests, false, false);
                    let mut others = vec![(true, true)];
                    if seed < MIXED {
                        others.extend([(true, false), (false, true)]);
                    }
                    for (ask, speak) in others {
                        let other = play(&requests, ask, speak);
                        assert_eq!(
                            other, plain,
                            "seed {seed}, JSON-RPC asked {ask}, spoken {speak}: {requests:#?}"
                        );
                    }
                    for (came, asked) in plain.iter().zip(&requests) {
                        assert!(asked.class != "close-round" || came.2 <= 1, "seed {seed}: ran twice");
                    }
                    all.extend(plain);
                }
            })
        })
        .collect();
    let all: Vec<Came> = workers.into_iter().flat_map(|w| w.join().expect("the same")).collect();
    // It is of no use unless all of it occurs.
    let count = |outcome: &str| all.iter().filter(|came| came.0 == outcome).count();
    let again = all.iter().filter(|came| came.0 == "served" && came.1 == 0).count();
    let tried = all.iter().filter(|came| came.1 > 1).count();
    println!(
        "{} requests: served {}, of which {again} from the table of keys; refused {}, failed {}; {tried} tried again",
        all.len(),
        count("served"),
        count("refused"),
        count("failed")
    );
    assert!(again > 50 && tried > 50 && count("failed") > 50 && count("refused") > 5);
}
