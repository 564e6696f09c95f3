//! Repeats of requests that must not be executed twice, by endpoints that discard repeats only for a while.
#[path = "stubs/rpc.rs"]
mod rpc;
mod stubs;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rpc::RpcSite;
use socket2::{Domain, SockAddr, Socket, Type};
use stubs::*;

/// The deduplication window of the class, which is over before a late connection is established.
const WINDOW_MS: u32 = 800;
/// How long the first endpoint works on the request before it resets the connection: less than the window.
const RESET_AFTER: Duration = Duration::from_millis(300);
/// How long the second endpoint accepts nothing after that. The kernel drops the connection request of the proxy,
/// which is sent again a second later.
const BACKLOG_FULL_FOR: Duration = Duration::from_millis(150);
/// Longer than the thread of an endpoint takes to accept a connection.
const ACCEPT_TIME: Duration = Duration::from_millis(50);
/// Longer than it takes until the late connection is established.
const OBSERVATION: Duration = Duration::from_millis(2_500);

/// Two endpoints of one group. The one that gets the request first resets its connection, and the backlog of
/// the other is full at that time.
#[derive(Clone)]
struct LateEndpoints {
    listeners: Arc<[Socket; 2]>,
    /// The endpoints that received a byte of a request, in order.
    received_by: Arc<Mutex<Vec<usize>>>,
}

impl LateEndpoints {
    fn start() -> LateEndpoints {
        let listen = || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
            socket.bind(&SockAddr::from(any_port)).and_then(|()| socket.listen(0)).expect("listens");
            socket
        };
        let endpoints =
            LateEndpoints { listeners: Arc::new([listen(), listen()]), received_by: Arc::default() };
        for index in 0..2 {
            let endpoints = endpoints.clone();
            thread::spawn(move || endpoints.accept_first(index));
        }
        endpoints
    }

    fn addresses(&self) -> [SocketAddr; 2] {
        [0, 1]
            .map(|index| self.listeners[index].local_addr().ok().and_then(|a| a.as_socket()).expect("bound"))
    }

    /// Accepts one connection. If it is the first one, resets it later, and serves the other endpoint.
    fn accept_first(&self, index: usize) {
        let (first, _) = self.listeners[index].accept().expect("accepts");
        if !self.receives_request(index, &first) || self.received_by.lock().expect("unpoisoned").len() > 1 {
            return;
        }
        let other = 1 - index;
        // The thread of the other endpoint takes the first of these, and the second one fills the backlog.
        let fillers = [(); 2].map(|()| {
            let filler = TcpStream::connect(self.addresses()[other]).expect("connects");
            thread::sleep(ACCEPT_TIME);
            filler
        });
        thread::sleep(RESET_AFTER);
        first.set_linger(Some(Duration::ZERO)).expect("set");
        drop(first);
        thread::sleep(BACKLOG_FULL_FOR);
        drop(fillers);
        loop {
            let (late, _) = self.listeners[other].accept().expect("accepts");
            let endpoints = self.clone();
            thread::spawn(move || endpoints.receives_request(other, &late));
        }
    }

    /// Waits for the first bytes on a connection. Returns whether there are any.
    fn receives_request(&self, index: usize, mut connection: &Socket) -> bool {
        let is_request = connection.read(&mut [0; 1024]).is_ok_and(|bytes| bytes > 0);
        if is_request {
            self.received_by.lock().expect("unpoisoned").push(index);
        }
        is_request
    }
}

fn check_not_repeated(proxy: &Process, endpoints: &LateEndpoints, path: &str) {
    let mut client = proxy.connect();
    client.send(&format!(
        "POST {path} HTTP/1.1\r\nHost: a\r\nX-Request-ID: r-1\r\nX-Priority-Class: put\r\nIdempotency-Key: k\r\nX-Timeout-Ms: 4000\r\nContent-Length: 2\r\n\r\n{{}}"
    ));
    let response = client.receive();
    thread::sleep(OBSERVATION);
    let received_by = endpoints.received_by.lock().expect("unpoisoned").clone();
    assert_eq!(received_by.len(), 1, "sent again after the deduplication window: {received_by:?}");
    assert!(matches!(response.status(), 502..=504), "{}", response.status());
}

/// Guards against a repeat that is executed: a keyed request is sent again within the deduplication window, but
/// its connection is established only after the window.
#[test]
fn repeat_is_not_written_after_the_window_over_a_late_http_connection() {
    let endpoints = LateEndpoints::start();
    let named = endpoints.addresses().into_iter().enumerate();
    let named = named.map(|(index, address)| host(&format!("s-{index}"), address, "SERVING")).collect();
    let setup = Setup { endpoints: named, ..Setup::with_endpoints(&[]) };
    let discovery = MockDiscovery::new();
    let window = format!("\"dedup_window_ms\":{WINDOW_MS}");
    let config = setup.config(discovery.address).replace("\"dedup_window_ms\":60000", &window);
    let proxy = start_config(&with_operators_address(&config));
    proxy.wait_until_ready();
    check_not_repeated(&proxy, &endpoints, "/put/1");
    assert_eq!(proxy.metric("edge_lb_unsent_tries_total{reason=\"deduplication_expired\"}"), 1);
}

/// The same over JSON-RPC.
#[test]
fn repeat_is_not_written_after_the_window_over_a_late_rpc_connection() {
    let endpoints = LateEndpoints::start();
    let site = RpcSite {
        key_window_ms: WINDOW_MS,
        extra_config: "[limits]\nconnect_timeout_ms = 3000\n".to_owned(),
        ..RpcSite::rpc(&endpoints.addresses())
    };
    let proxy = start_standalone(&site.config(), &[]);
    check_not_repeated(&proxy, &endpoints, "/report-result/1");
}

/// Sends a keyed result with this body to two JSON-RPC nodes, of which the first drops its connection after it
/// has received the call. Returns the status, the keys of the calls that arrived, and the status of a repeat by
/// the client, with its cause.
fn send_over_dropped_connection(body: &str) -> (u16, Vec<Option<String>>, HttpMessage) {
    let behaviors = [RpcBehavior::Disconnect, RpcBehavior::Result(serde_json::json!("applied"))];
    let next = Arc::new(Mutex::new(behaviors.into_iter()));
    let keys = Arc::<Mutex<Vec<Option<String>>>>::default();
    let nodes = [(); 2].map(|()| {
        let (next, keys) = (Arc::clone(&next), Arc::clone(&keys));
        MockRpcEndpoint::of(Framing::Lines, move |call| {
            let key = call["params"]["_meta"]["key"].as_str().map(str::to_owned);
            keys.lock().expect("unpoisoned").push(key);
            next.lock().expect("unpoisoned").next().expect("at most one repeat")
        })
    });
    let proxy = start_standalone(&RpcSite::rpc(&[nodes[0].address, nodes[1].address]).config(), &[]);
    let length = body.len();
    let request = format!("POST /report-result/1 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: {length}\r\n\r\n{body}");
    let status = proxy.request(&request).status();
    let repeated = proxy.request(&request);
    let keys = keys.lock().expect("unpoisoned").clone();
    (status, keys, repeated)
}

/// Guards against a result that is applied twice: positional parameters have no place for the key, so a node
/// cannot discard their repeat.
#[test]
fn positional_params_are_not_repeated_because_they_carry_no_key() {
    let (status, keys, repeated) = send_over_dropped_connection(r#"[{"table":1}]"#);
    assert_eq!((status, keys.as_slice()), (502, &[None][..]), "it may have run");
    let cause = repeated.header("X-Refusal-Cause");
    assert_eq!((repeated.status(), cause), (409, Some("key-unknown")), "no node knows the key");
    let key = Some("k".to_owned());
    let (status, keys, repeated) = send_over_dropped_connection(r#"{"table":1}"#);
    assert_eq!(
        (status, keys.as_slice()),
        (200, &[key.clone(), key][..]),
        "a node discards the repeat by its key"
    );
    assert_eq!(repeated.status(), 200);
}

/// Guards against a repeat without a key over HTTP: a client can have the key removed as a header of its
/// connection.
#[test]
fn request_whose_key_belongs_to_the_connection_is_not_repeated() {
    let endpoints = [(); 2].map(|()| MockEndpoint::new([Behavior::Disconnect]));
    let proxy = Setup::with_endpoints(&[&endpoints[0], &endpoints[1]]).start();
    let keyed = put("r-1", "k", 4_000, "{}");
    let received = || endpoints.iter().map(|endpoint| endpoint.requests().len()).sum::<usize>();
    assert_eq!(proxy.request(&keyed).status(), 503, "a repeat by the client is harmless");
    assert!(received() > 1, "endpoints discard the repeat by its key");
    let hop_by_hop = put("r-2", "k2", 4_000, "{}")
        .replace("\r\nContent-Length", "\r\nConnection: idempotency-key\r\nContent-Length");
    assert_eq!(proxy.request(&hop_by_hop).status(), 502);
    assert_eq!(received(), 1, "sent again without its key");
}
