//! Closes of JSON-RPC connections by the proxy: at a shutdown, and when another process takes over. Each call
//! that was read is answered, and the close is announced with the number of messages that were read.
#[path = "stubs/rpc.rs"]
mod rpc;
mod stubs;

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rpc::*;
use serde_json::json;
use stubs::*;
use testkit::json_rpc::request;

/// The number of calls that a busy client keeps open.
const OPEN_CALLS: u64 = 3;
/// The deadline of the classes of [`RpcSite`].
const CLASS_DEADLINE: Duration = Duration::from_secs(4);
/// What the operators' page asks to wait for after the signal, beside the longest deadline of a class.
const SHUTDOWN_WAIT: Duration = Duration::from_millis(3_700);

/// The end of a connection of a busy client.
struct BusyEnd {
    answered: u64,
    /// The number of messages that the proxy has read, as it announced.
    taken: u64,
    /// The calls without a response.
    unanswered: BTreeSet<u64>,
}

/// A client that answers each response with the next call, until the proxy announces the close.
fn keep_busy(mut client: RpcClient) -> JoinHandle<BusyEnd> {
    let mut open: BTreeSet<u64> = (1..=OPEN_CALLS).collect();
    for id in &open {
        client.send(&request(*id, "standings", json!({})));
    }
    thread::spawn(move || {
        let mut last_id = OPEN_CALLS;
        loop {
            let message = client.try_receive().expect("the close is announced");
            if message["method"] == "$/closing" {
                let taken = message["params"]["taken"].as_u64().expect("a number");
                return BusyEnd { answered: last_id - open.len() as u64, taken, unanswered: open };
            }
            open.remove(&message["id"].as_u64().expect("a call"));
            last_id += 1;
            open.insert(last_id);
            client.send(&request(last_id, "standings", json!({})));
        }
    })
}

/// An HTTP endpoint that needs some time for each call, so that a busy client always has calls open.
fn slow_endpoint() -> MockEndpoint {
    MockEndpoint::of(|_| {
        thread::sleep(Duration::from_millis(20));
        ok("[]")
    })
}

fn check_end(end: &BusyEnd) {
    assert!(end.answered > 3 * OPEN_CALLS, "{} calls answered", end.answered);
    let lost: Vec<_> = end.unanswered.iter().filter(|id| **id <= end.taken).collect();
    assert!(lost.is_empty(), "read and not answered: {lost:?} of {} read", end.taken);
}

/// Guards against a process that never ends, and calls that are lost when it is killed, because a client always
/// has a call open.
#[test]
fn a_busy_connection_is_closed_at_shutdown() {
    let endpoint = slow_endpoint();
    let mut proxy = DualProtocolProxy::start(&RpcSite::http(&[endpoint.address]));
    let client = keep_busy(proxy.rpc());
    thread::sleep(Duration::from_millis(500));
    proxy.process.terminate();
    let terminated_at = Instant::now();
    wait_until("exited", || terminated_at.elapsed() > CLASS_DEADLINE + SHUTDOWN_WAIT || client.is_finished());
    assert!(client.is_finished(), "not closed {:?} after the signal", terminated_at.elapsed());
    check_end(&client.join().expect("no panic"));
    assert!(proxy.process.wait_for_exit().success());
    assert!(terminated_at.elapsed() < CLASS_DEADLINE + SHUTDOWN_WAIT, "{:?}", terminated_at.elapsed());
}

/// A process that hands its socket over accepts nothing more, so its clients have to leave at once. Guards
/// against one that keeps a busy client until the end of its shutdown.
#[test]
fn a_busy_connection_moves_to_the_successor_at_once() {
    let endpoint = slow_endpoint();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let config = inherited_config(address, endpoint.address);
    let start = || {
        let path = temp_folder().join("lb.toml");
        std::fs::write(&path, &config).expect("written");
        let inherited = OwnedFd::from(listener.try_clone().expect("another descriptor"));
        let line = "LISTEN_PID=$$ exec \"$0\" serve --config \"$1\" 3<&0 </dev/null";
        let mut command = Command::new("sh");
        command.args(["-c", line, env!("CARGO_BIN_EXE_amberlever")]).arg(&path);
        command.env("LISTEN_FDS", "1").env_remove("LB_CONFIG");
        command.stdin(Stdio::from(inherited)).stdout(Stdio::null()).stderr(Stdio::piped());
        Process::attach(command.spawn().expect("the proxy starts"), path)
    };
    let mut old = start();
    let client = keep_busy(RpcClient::connect(address, Framing::Lines));
    thread::sleep(Duration::from_millis(500));
    let new = start();
    old.terminate();
    let terminated_at = Instant::now();
    check_end(&client.join().expect("no panic"));
    let left_after = terminated_at.elapsed();
    // A response takes 20 ms, and the checks of the shutdown are as far apart.
    assert!(left_after < Duration::from_secs(1), "left {left_after:?} after the signal");
    assert!(old.wait_for_exit().success());
    let response = RpcClient::connect(address, Framing::Lines).call(1, "standings", json!({}));
    assert_eq!(response["result"], "[]", "{}", new.log());
}

/// A proxy with a single JSON-RPC listener.
fn inherited_config(address: SocketAddr, endpoint: SocketAddr) -> String {
    format!(
        "[server]\nlisten = [{{ address = \"{address}\", protocol = \"json-rpc\", framing = \"line\" }}]\n\
         [[class]]\nname = \"standings\"\naim_ms = 4000\ndeadline_ms = 4000\nsemantics = \"idempotent\"\n\
         [[route]]\nname = \"standings\"\nmatch = {{ path = \"/standings\" }}\nclass = \"standings\"\npool = \"p\"\n\
         [[method]]\nname = \"standings\"\nclass = \"standings\"\npath = \"/standings\"\n\
         [[pool]]\nname = \"p\"\nnodes = [{{ name = \"n0\", address = \"{endpoint}\" }}]\n"
    )
}

#[test]
fn shutdown_and_reload_answer_calls_that_were_read() {
    let release = Arc::new(Release::default());
    let endpoint = MockRpcEndpoint::new(
        Framing::Lines,
        [RpcBehavior::ResultOnRelease(Arc::clone(&release), json!("old"))],
    );
    let next = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Result(json!("new"))]);
    let (site, other) = (RpcSite::rpc(&[endpoint.address]), RpcSite::rpc(&[next.address]));
    let mut proxy = DualProtocolProxy::start(&site);
    let mut client = proxy.rpc();
    client.send(&request(1, "close-round", json!({})));
    endpoint.request();
    proxy.process.reload(&other.config());
    proxy.process.wait_for_log("configuration reloaded: version 2, ");
    assert_eq!(
        client.call(2, "close-round", json!({}))["result"],
        "new",
        "the open connection uses the new configuration"
    );
    proxy.process.terminate();
    // The port stays open for some time, and new requests are served.
    assert_eq!(proxy.rpc().call(3, "standings", json!({}))["result"], "new");
    let waiting = thread::spawn(move || {
        thread::sleep(Duration::from_millis(700));
        release.release();
    });
    assert_eq!(client.receive()["result"], "old");
    let notice = client.receive();
    assert_eq!((&notice["method"], &notice["params"]["taken"]), (&json!("$/closing"), &json!(2)));
    assert!(client.try_receive().is_none());
    waiting.join().expect("no panic");
    assert!(proxy.process.wait_for_exit().success());
}

#[test]
fn a_batch_open_at_shutdown_is_answered_completely() {
    let endpoint = MockRpcEndpoint::of(Framing::Lines, |call| match call["params"]["do"].as_str() {
        Some("hang") => RpcBehavior::Hang,
        _ => RpcBehavior::Echo,
    });
    let mut proxy = DualProtocolProxy::start(&RpcSite {
        latency_objective_ms: 1500,
        ..RpcSite::rpc(&[endpoint.address])
    });
    let mut client = proxy.rpc();
    let calls = [json!({}), json!({ "do": "hang" }), json!({})];
    let calls: Vec<_> =
        calls.into_iter().enumerate().map(|(n, params)| request(n as i64, "standings", params)).collect();
    client.send(&format!("[{}]", calls.join(",")));
    (0..3).for_each(|_| drop(endpoint.request()));
    proxy.process.terminate();
    proxy.process.wait_for_log("graceful shutdown started");
    let responses = client.receive();
    let responses = responses.as_array().expect("one response to the batch");
    assert_eq!(responses.len(), 3, "{responses:?}");
    for (n, response) in responses.iter().enumerate() {
        assert_eq!((&response["id"], response.get("result").is_some()), (&json!(n), n != 1), "{response}");
    }
    let notice = client.receive();
    assert_eq!((&notice["method"], &notice["params"]["taken"]), (&json!("$/closing"), &json!(1)));
    assert!(client.try_receive().is_none());
    assert!(proxy.process.wait_for_exit().success());
}
