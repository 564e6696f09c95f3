//! The operators' address in standalone mode: several pools, maintenance over reloads, and inherited sockets.
mod stubs;

use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// Two pools that both have an endpoint `n1`; the second one also has `n2`.
fn config(listen: &str, endpoints: [&MockEndpoint; 3], extra: &str) -> String {
    let [a1, b1, b2] = endpoints.map(|e| e.address);
    format!(
        r#"
[server]
listen = [{{ address = "{listen}" }}]
[operators]
listen = "127.0.0.1:0"
{extra}
[[class]]
name = "read"
aim_ms = 9000
deadline_ms = 20000
semantics = "idempotent"
[[pool]]
name = "a"
nodes = [{{ name = "n1", address = "{a1}" }}]
[[pool]]
name = "b"
nodes = [{{ name = "n1", address = "{b1}" }}, {{ name = "n2", address = "{b2}" }}]
[[route]]
name = "a"
match = {{ path = "/a/*" }}
class = "read"
pool = "a"
[[route]]
name = "b"
match = {{ path = "/b/*" }}
class = "read"
pool = "b"
"#
    )
}

fn get(pool: &str, id: &str) -> String {
    read(id, 9000).replace("/read/", &format!("/{pool}/"))
}

#[test]
fn maintenance_persists_over_a_reload_and_metrics_are_separate_for_each_pool() {
    let endpoints = [(); 3].map(|()| MockEndpoint::of(|_| ok("done")));
    let text = config("127.0.0.1:0", endpoints.each_ref(), "folder = \"kept\"");
    let process = start_standalone(&text, &[]);
    for (path, body, status) in [
        ("/maintenance/enter", "n1", 409),
        ("/maintenance/enter", "n9", 404),
        ("/maintenance/enter", "c/n1", 404),
        ("/maintenance/enter", "n2", 200),
        ("/maintenance/exit", "b/n2", 200),
        ("/maintenance/enter", "b/n1", 200),
    ] {
        let (answered, line) = process.operator_request("POST", path, body);
        assert_eq!(answered, status, "{path} {body}: {line}");
    }
    let send_requests = |n: usize, pool: &str, what: &str| {
        for i in 0..n {
            assert_eq!(process.request(&get(pool, &format!("{what}-{pool}-{i}"))).status(), 200);
        }
    };
    send_requests(10, "b", "out");
    // The pool is replaced, and its endpoint stays in maintenance.
    process.reload(&text.replace("\"b\"\nnodes", "\"b\"\nshare = 2\nnodes"));
    process.wait_for_log("configuration reloaded: version 2");
    send_requests(10, "b", "reloaded");
    send_requests(5, "a", "other");
    assert_eq!(endpoints.each_ref().map(|n| n.requests().len()), [5, 0, 20]);
    let metric = |name: &str| process.metric(name);
    assert_eq!(metric("edge_lb_ok_total{kind=\"read\",pool=\"b\"}"), 20);
    assert_eq!(metric("edge_lb_ok_total{kind=\"read\",pool=\"a\"}"), 5);
    assert_eq!(metric("edge_lb_tries_total{pool=\"b\"}"), 20);
    let pool = |name: &str| ["a", "b"].map(|p| metric(&format!("edge_lb_{name}{{pool=\"{p}\"}}")));
    assert_eq!((pool("pool_size"), pool("pool_ejected")), ([1, 2], [0, 1]));
    // The maintenance state is stored for the next process.
    drop(process);
    let folder = temp_folder();
    let first = start_standalone(&text.replace("\"kept\"", &format!("{folder:?}")), &[]);
    assert_eq!(first.operator_request("POST", "/maintenance/enter", "a/n1").0, 200);
    drop(first);
    let second = start_standalone(&text.replace("\"kept\"", &format!("{folder:?}")), &[]);
    assert_eq!(second.metric("edge_lb_pool_ejected{pool=\"a\"}"), 1);
    assert_eq!(second.request(&get("a", "none")).status(), 503, "all of its endpoints are in maintenance");
    assert_eq!(second.metric("edge_lb_shed_total{kind=\"read\",pool=\"a\"}"), 1);
}

/// Starts the program with a listening socket as systemd would pass it.
fn start_with(listener: &TcpListener, config: &str, count: usize) -> std::process::Child {
    let path = temp_folder().join("lb.toml");
    std::fs::write(&path, config).expect("written");
    let inherited = OwnedFd::from(listener.try_clone().expect("another descriptor"));
    let mut command = Command::new("sh");
    let line = "LISTEN_PID=$$ exec \"$0\" serve --config \"$1\" 3<&0 </dev/null";
    command.args(["-c", line, env!("CARGO_BIN_EXE_amberlever")]).arg(&path);
    command.env("LISTEN_FDS", count.to_string()).env_remove("LB_CONFIG");
    command.stdin(Stdio::from(inherited)).stdout(Stdio::null()).stderr(Stdio::piped());
    command.spawn().expect("the proxy starts")
}

#[test]
fn a_successor_on_an_inherited_socket_loses_no_request() {
    let endpoints = [(); 3].map(|()| MockEndpoint::of(|_| ok("done")));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let text = config(&at.to_string(), endpoints.each_ref(), "");
    let start = || Process::attach(start_with(&listener, &text, 1), temp_folder());
    let mut old = start();
    assert_eq!(old.address, at);
    let mut persistent = HttpClient::of(TcpStream::connect(at).expect("connects"));
    assert_eq!(persistent.ask(&get("a", "kept-1")).status(), 200);
    let new = start();
    assert_eq!(new.operator_request("GET", "/status", "").0, 200);
    old.terminate();
    // The operators' address shows when the process has received the signal.
    let since = Instant::now();
    while old.operator_request("GET", "/status", "").0 != 503 {
        assert!(since.elapsed() < TEST_TIMEOUT);
        thread::sleep(Duration::from_millis(1));
    }
    let last = persistent.ask(&get("a", "kept-2"));
    assert_eq!((last.status(), last.header("Connection")), (200, Some("close")));
    for i in 0..30 {
        assert_eq!(new.request(&get("b", &format!("new-{i}"))).status(), 200);
    }
    drop(persistent);
    assert!(old.wait_for_exit().success());
    assert_eq!(new.metric("edge_lb_ok_total{kind=\"read\",pool=\"b\"}"), 30);
}

#[test]
fn inherited_sockets_that_do_not_match_the_listeners_end_the_program_with_one_line() {
    let endpoints = [(); 3].map(|()| MockEndpoint::of(|_| ok("done")));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let other = TcpListener::bind("127.0.0.1:0").expect("another").local_addr().expect("bound");
    let right = listener.local_addr().expect("bound").to_string();
    for (at, count, cause) in [(right.clone(), 2, "2 sockets"), (other.to_string(), 1, "listens on")] {
        let child = start_with(&listener, &config(&at, endpoints.each_ref(), ""), count);
        let output = child.wait_with_output().expect("the program exits");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && stderr.contains(cause), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}

#[test]
fn an_operators_address_that_is_not_on_loopback_is_rejected() {
    let endpoints = [(); 3].map(|()| MockEndpoint::of(|_| ok("done")));
    let text = config("127.0.0.1:0", endpoints.each_ref(), "").replacen(
        "[operators]\nlisten = \"127.0.0.1:0\"",
        "[operators]\nlisten = \"0.0.0.0:9600\"",
        1,
    );
    let (child, _) = spawn_standalone(&text, &[]);
    let output = child.wait_with_output().expect("the program exits");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && stderr.contains("not on loopback"), "{stderr}");
}
