//! The operators' address of a proxy in platform mode: readiness, metrics, maintenance of endpoints, and the
//! handover to another process.
mod stubs;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// A proxy with an operators' address, and its discovery.
fn start(endpoints: &[&MockEndpoint]) -> (Process, MockDiscovery, InheritedListener) {
    let (discovery, listener) = (MockDiscovery::new(), InheritedListener::new());
    let config = with_operators_address(&Setup::with_endpoints(endpoints).config(discovery.address));
    (listener.start(&config), discovery, listener)
}

/// Sends a request on a new connection to the shared listener. `process` is only borrowed, to keep it
/// running.
fn send_request(process: &Process, listener: &InheritedListener, request: &str) -> HttpMessage {
    assert!(process.pid() > 0);
    HttpClient::of(TcpStream::connect(listener.address).expect("connects")).ask(request)
}

#[test]
fn each_operator_request_has_its_response() {
    let endpoint = MockEndpoint::new([]);
    let (process, ..) = start(&[&endpoint]);
    let long = "x".repeat(600);
    for (method, path, body, status) in [
        ("GET", "/status", "", 200),
        ("GET", "/status/metrics", "", 200),
        ("POST", "/status", "", 405),
        ("GET", "/maintenance/enter", "", 405),
        ("GET", "/", "", 404),
        ("POST", "/maintenance", "s-0", 404),
        ("POST", "/maintenance/enter", "", 400),
        ("POST", "/maintenance/enter", &long, 400),
        ("POST", "/maintenance/exit", "s-9", 404),
        ("POST", "/maintenance/enter", "s-9", 404),
        ("POST", "/maintenance/enter", "s-0\n", 200),
        ("POST", "/maintenance/enter", "s-0", 200),
        ("POST", "/maintenance/exit", "s-0", 200),
        ("POST", "/maintenance/exit", "s-0", 200),
    ] {
        assert_eq!(process.operator_request(method, path, body).0, status, "{method} {path} {body:.9}");
    }
}

#[test]
fn hanging_operator_connections_do_not_block_others() {
    let endpoint = MockEndpoint::new([]);
    let (process, ..) = start(&[&endpoint]);
    let at = process.operators_address();
    let mut hanging: Vec<TcpStream> = Vec::new();
    for n in 0..40 {
        let mut stream = TcpStream::connect(at).expect("connects");
        stream.write_all(&b"POST /maintenance/enter HTTP/1.1\r\nHost: a\r\n"[..n]).expect("written");
        hanging.push(stream);
        assert_eq!(process.operator_request("GET", "/status", "").0, 200, "with {n} hanging connections");
    }
    // Clients that do not read the metrics do not block others either.
    for _ in 0..40 {
        let mut stream = TcpStream::connect(at).expect("connects");
        let _ = stream.write_all(b"GET /status/metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        hanging.push(stream);
    }
    assert_eq!(process.operator_request("GET", "/status/metrics", "").0, 200);
    // A request that arrives byte by byte is served too.
    let mut slow = TcpStream::connect(at).expect("connects");
    slow.set_nodelay(true).expect("set");
    for byte in b"POST /maintenance/enter HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ns-0" {
        slow.write_all(&[*byte]).expect("written");
    }
    let mut response = String::new();
    slow.read_to_string(&mut response).expect("text until the connection is closed");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[test]
fn an_endpoint_in_maintenance_gets_no_request_although_discovery_lists_it() {
    let (first, second) = (MockEndpoint::new(vec![ok("1"); 99]), MockEndpoint::new(vec![ok("2"); 99]));
    let (process, discovery, listener) = start(&[&first, &second]);
    let send_requests = |n: usize, what: &str| {
        for i in 0..n {
            assert_eq!(send_request(&process, &listener, &read(&format!("{what}-{i}"), 9000)).status(), 200);
        }
    };
    assert_eq!(process.operator_request("POST", "/maintenance/enter", "s-0").0, 200);
    send_requests(10, "out");
    assert_eq!((first.requests().len(), second.requests().len()), (0, 10));
    assert_eq!((process.metric("edge_lb_pool_size"), process.metric("edge_lb_pool_ejected")), (2, 1));
    // Discovery lists the endpoint again, first as a change and then in a full list.
    discovery.push(PollResponse::List(list(2, false, &[host("s-0", first.address, "SERVING")])));
    let hosts = [host("s-0", first.address, "SERVING"), host("s-1", second.address, "SERVING")];
    discovery.push(PollResponse::List(list(3, true, &hosts)));
    // The third poll is sent once both are applied.
    discovery.wait_for_poll(2);
    send_requests(10, "listed");
    assert_eq!(first.requests().len(), 0);
    assert_eq!(process.operator_request("POST", "/maintenance/exit", "s-0").0, 200);
    assert_eq!(process.metric("edge_lb_pool_ejected"), 0);
    let since = Instant::now();
    for i in 0.. {
        send_requests(1, &format!("back-{i}"));
        if !first.requests().is_empty() {
            break;
        }
        assert!(since.elapsed() < TEST_TIMEOUT, "the endpoint is not used again");
    }
}

#[test]
fn metrics_agree_with_clients_and_endpoints() {
    let endpoint =
        MockEndpoint::new([ok("1"), answer("500 Internal Server Error", "", ""), ok("2"), ok("3")]);
    let (process, _discovery, listener) = start(&[&endpoint]);
    let mut statuses = [0; 600];
    for i in 0..3 {
        statuses[usize::from(send_request(&process, &listener, &read(&format!("r-{i}"), 9000)).status())] +=
            1;
    }
    // One request is rejected with a known class, and one with an unknown class.
    let bad = read("bad", 9000).replace("GET", "POST");
    statuses[usize::from(send_request(&process, &listener, &bad).status())] += 1;
    send_request(&process, &listener, &read("nobody", 9000).replace("read", "nobodys"));
    let attempts = endpoint.requests().len() as u64;
    assert_eq!(process.metric("edge_lb_tries_total"), attempts);
    let count = |name: &str, kind: &str| process.metric(&format!("edge_lb_{name}_total{{kind=\"{kind}\"}}"));
    assert_eq!((count("ok", "read"), statuses[200]), (3, 3));
    // Routing rejects the method before the request counts for its class.
    assert_eq!(
        (count("errors", "read") + count("errors", "write") + count("shed", "read"), statuses[405]),
        (0, 1)
    );
    assert_eq!(process.metric("edge_lb_active"), 0);
    // A request is in flight, and then its client disconnects.
    let silent = MockEndpoint::new([Behavior::Hang]);
    let (process, _discovery, listener) = start(&[&silent]);
    let mut client = HttpClient::of(TcpStream::connect(listener.address).expect("connects"));
    client.send(&read("open", 9000));
    process.wait_for_metric("edge_lb_tries_total", 1);
    assert_eq!(process.metric("edge_lb_active"), 1);
    drop(client);
    process.wait_for_metric("edge_lb_active", 0);
    assert_eq!(process.metric("edge_lb_errors_total{kind=\"read\"}"), 1);
}

#[test]
fn a_successor_takes_over_the_socket_and_the_maintenance_state() {
    let (first, second) = (MockEndpoint::new(vec![ok("1"); 999]), MockEndpoint::new(vec![ok("2"); 999]));
    let discovery = MockDiscovery::new();
    let listener = InheritedListener::new();
    let config = with_operators_address(&Setup::with_endpoints(&[&first, &second]).config(discovery.address));
    let mut old = listener.start(&config);
    assert_eq!(old.operator_request("POST", "/maintenance/enter", "s-0").0, 200);
    let mut persistent = HttpClient::of(TcpStream::connect(listener.address).expect("connects"));
    assert_eq!(persistent.ask(&read("persistent-1", 9000)).status(), 200);
    // Another connection stays open until the old process closes it.
    let mut idle = HttpClient::of(TcpStream::connect(listener.address).expect("connects"));
    assert_eq!(idle.ask(&read("idle", 9000)).status(), 200);

    let new = listener.start(&config);
    assert_eq!(new.operator_request("GET", "/status", "").0, 200);
    assert_eq!(new.metric("edge_lb_pool_ejected"), 1, "the maintenance state was not taken over");
    old.terminate();
    old.wait_for_log("graceful shutdown started");
    // The open connection gets a response with `Connection: close`. The next connection is accepted by the
    // new process.
    let last = persistent.ask(&read("persistent-2", 9000));
    assert_eq!((last.status(), last.header("Connection")), (200, Some("close")));
    for i in 0..50 {
        assert_eq!(send_request(&new, &listener, &read(&format!("new-{i}"), 9000)).status(), 200);
    }
    assert_eq!(first.requests().len(), 0);
    assert_eq!(old.operator_request("GET", "/status", "").0, 503, "the old process is ready");
    // The old process may still serve when maintenance ends through the new one, so the change applies to
    // both.
    assert_eq!(new.operator_request("POST", "/maintenance/exit", "s-0").0, 200);
    old.wait_for_metric("edge_lb_pool_ejected", 0);
    drop(idle);
    assert!(old.wait_for_exit().success());
    let since = Instant::now();
    for i in 0.. {
        assert_eq!(send_request(&new, &listener, &read(&format!("back-{i}"), 9000)).status(), 200);
        if !first.requests().is_empty() {
            break;
        }
        assert!(since.elapsed() < TEST_TIMEOUT, "the endpoint is not used again");
        thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_successor_takes_over_learned_state_and_ignores_damaged_files() {
    let endpoint = MockEndpoint::new(vec![ok("1"); 9999]);
    let (discovery, listener) = (MockDiscovery::new(), InheritedListener::new());
    let config = with_operators_address(&Setup::with_endpoints(&[&endpoint]).config(discovery.address));
    let old = listener.start(&config);
    for i in 0..50 {
        assert_eq!(send_request(&old, &listener, &read(&format!("old-{i}"), 9000)).status(), 200);
    }
    let file = listener.folder.join("amberlever.learned");
    let since = Instant::now();
    while !file.exists() {
        assert!(since.elapsed() < TEST_TIMEOUT, "learned state was not written");
        thread::sleep(Duration::from_millis(20));
    }
    let new = listener.start(&config);
    assert!(new.log().contains("learned state: written "), "{}", new.log());
    drop((old, new));
    // The file is truncated, as if a process had been killed while it wrote the file in place.
    let bytes = std::fs::read(&file).expect("readable");
    std::fs::write(&file, &bytes[..6]).expect("written");
    std::fs::write(listener.folder.join("amberlever.maintenance"), "amberlever-maintenance 1 0\n-s-0\n")
        .expect("written");
    let third = listener.start(&config);
    assert_eq!(third.log().matches("ignoring invalid file").count(), 2, "{}", third.log());
    assert_eq!(send_request(&third, &listener, &read("third", 9000)).status(), 200);
    assert_eq!(third.metric("edge_lb_pool_ejected"), 0);
}

#[test]
fn a_descriptor_that_is_no_listening_socket_ends_the_program_with_one_line() {
    let config = Setup::with_endpoints(&[]).config(unused_address());
    for descriptor in ["3", "x", "", "1", "99999999999999999999"] {
        let path = temp_folder().join("lb.json");
        std::fs::write(&path, &config).expect("written");
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_amberlever"));
        let output = command
            .env("LB_CONFIG", &path)
            .env("LB_PASSED_SOCKET", descriptor)
            .output()
            .expect("the program starts");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains("LB_PASSED_SOCKET") && stderr.lines().count() == 1,
            "{stderr}"
        );
    }
}
