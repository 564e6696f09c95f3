//! Reloads lose no request: each is completed under the configuration that routed it.
mod stubs;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// A configuration with these pools and a route to each.
fn config(pools: &[(&str, &MockEndpoint)], more: &str) -> String {
    let mut text = r#"[server]
listen = [{ address = "127.0.0.1:0" }]

[[class]]
name = "write"
aim_ms = 8000
deadline_ms = 20000
semantics = "at-most-once"
"#
    .to_owned();
    for (name, endpoint) in pools {
        text += &format!(
            "\n[[pool]]\nname = \"{name}\"\nnodes = [{{ name = \"n\", address = \"{}\" }}]\n\n[[route]]\nname = \"{name}\"\nmatch = {{ path = \"/{name}/*\" }}\nclass = \"write\"\npool = \"{name}\"\n",
            endpoint.address
        );
    }
    text + more
}

fn post(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: 1\r\n\r\nx")
}

const DONE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

#[test]
fn a_removed_pool_completes_requests_in_flight() {
    let release = Arc::new(Release::default());
    let old = MockEndpoint::new([
        Behavior::RespondOnRelease(Arc::clone(&release), DONE.to_owned()),
        Behavior::Hang,
    ]);
    let new = MockEndpoint::new([ok("new")]);
    let proxy = start_standalone(&config(&[("old", &old), ("new", &new)], ""), &[]);
    let (mut running, mut silent, mut persistent) = (proxy.connect(), proxy.connect(), proxy.connect());
    running.send(&post("/old/1", ""));
    old.request();
    silent.send(&post("/old/2", "X-Timeout-Ms: 2500\r\n"));
    old.request();
    assert_eq!(persistent.ask(&post("/new/1", "")).body, b"new");
    proxy.reload(&config(&[("new", &new)], ""));
    proxy.wait_for_log("configuration reloaded: version 2, 1 routes, 1 pools");
    // No new request is sent to the removed pool, from open connections either.
    assert_eq!(proxy.request(&post("/old/3", "")).status(), 404);
    assert_eq!(persistent.ask(&post("/new/2", "")).body, b"new");
    // Requests in flight get one response each, when they complete or at their deadline.
    release.release();
    assert_eq!(running.receive().body, b"done");
    assert_eq!(running.ask(&post("/new/3", "")).body, b"new", "its connection is not usable");
    assert_eq!(silent.receive().status(), 504);
    assert_eq!(silent.ask(&post("/new/4", "")).body, b"new");
    // The connections to the removed endpoint are closed once no request uses them.
    old.wait_for_close();
    old.wait_for_close();
    assert!(old.requests().is_empty());
}

#[test]
fn an_unchanged_pool_keeps_its_connections() {
    let (same, other) = (MockEndpoint::new([ok("same")]), MockEndpoint::new([ok("other")]));
    let proxy = start_standalone(&config(&[("same", &same)], ""), &[]);
    let mut client = proxy.connect();
    for reload in 2..6 {
        client.ask(&post("/same/1", ""));
        assert_eq!(same.request().0, 0, "the first connection is not in use");
        let pools: &[(&str, &MockEndpoint)] =
            if reload % 2 == 0 { &[("same", &same), ("other", &other)] } else { &[("same", &same)] };
        proxy.reload(&config(pools, ""));
        proxy.wait_for_log(&format!("configuration reloaded: version {reload}, "));
    }
    // A changed setting of its class replaces the pool.
    proxy.reload(&config(&[("same", &same)], "").replace("aim_ms = 8000", "aim_ms = 7000"));
    proxy.wait_for_log("configuration reloaded: version 6, ");
    client.ask(&post("/same/1", ""));
    assert_eq!(same.request().0, 1);
}

#[test]
fn an_invalid_configuration_leaves_the_current_one_in_place() {
    let endpoint = MockEndpoint::new([ok("done")]);
    let valid = config(&[("p", &endpoint)], "");
    let expect = "[[expect]]\nname = \"p stays\"\nwhen = { method = \"POST\", path = \"/p/1\" }\nthen = { pool = \"p\" }\n";
    let valid = valid.replacen("\n\n[[class]]", "\nexpectations = [\"expect.toml\"]\n\n[[class]]", 1);
    let proxy = start_standalone(&valid, &[("expect.toml", expect)]);
    let bad = [
        ("[server]".to_owned(), "configuration reload failed, keeping version 1: "),
        (
            valid.replace("\"/p/*\"", "\"/q/*\""),
            "`p stays`: expected pool `p`, but it would be refused with 404",
        ),
        (
            valid.replace("listen = [", "listen = [{ address = \"127.0.0.1:1\" }, "),
            "a change of `server.listen` requires a restart",
        ),
        (valid.replace("pool = \"p\"\n", "pool = \"q\"\n"), "there is no pool `q` (there are `p`)"),
    ];
    for (text, words) in &bad {
        proxy.reload(text);
        proxy.wait_for_log(words);
        assert_eq!(proxy.request(&post("/p/1", "")).status(), 200, "{words}");
    }
    assert_eq!(
        proxy.log().matches("configuration reload failed, keeping version 1: ").count(),
        bad.len(),
        "{}",
        proxy.log()
    );
    proxy.reload(&valid);
    proxy.wait_for_log("configuration reloaded: version 2, ");
}

/// The configuration of a round: a pool that stays, and one whose name and endpoint change. Every third round
/// replaces both.
fn config_of_round(round: usize, endpoints: &[FixedLatencyEndpoint]) -> String {
    let pool = |name: &str, endpoint: &FixedLatencyEndpoint| {
        format!(
            "\n[[pool]]\nname = \"{name}\"\nnodes = [{{ name = \"n\", address = \"{}\" }}]\n",
            endpoint.address
        )
    };
    let route = |name: &str, pool: &str| {
        format!(
            "\n[[route]]\nname = \"{name}\"\nmatch = {{ path = \"/{name}/*\" }}\nclass = \"write\"\npool = \"{pool}\"\n"
        )
    };
    let changing = format!("changing-{round}");
    let mut text = format!(
        "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}]\n\n[[class]]\nname = \"write\"\naim_ms = {}\ndeadline_ms = 20000\nsemantics = \"at-most-once\"\n",
        10_000 + round / 3
    );
    text += &pool("steady", &endpoints[0]);
    text += &pool(&changing, &endpoints[1 + round % 2]);
    text += &route("steady", "steady");
    text += &route("changing", &changing);
    text
}

/// Sends requests on one connection until `stop` is set, and counts the responses.
fn send_until_stopped(proxy: &Process, path: &str, stop: &AtomicBool, answered: &AtomicUsize) {
    let mut client = proxy.connect();
    while !stop.load(Ordering::Relaxed) {
        let response = client.ask(&post(path, ""));
        assert_eq!(response.status(), 200, "{path}");
        answered.fetch_add(1, Ordering::Relaxed);
    }
}

/// Pools are added, removed and changed while six clients send requests without a pause. Each request gets
/// one response.
#[test]
fn two_hundred_reloads_under_load_lose_no_request_and_leak_nothing() {
    let endpoints: Vec<FixedLatencyEndpoint> = (0..3)
        .map(|i| FixedLatencyEndpoint::start(&format!("n{i}"), Duration::from_millis(1)).expect("a port"))
        .collect();
    let text = |round: usize| config_of_round(round, &endpoints);
    let proxy = Arc::new(start_standalone(&text(0), &[]));
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::<AtomicUsize>::default());
    let clients: Vec<_> = (0..6)
        .map(|i| {
            let (proxy, stop, answered) = (Arc::clone(&proxy), Arc::clone(&stop), Arc::clone(&answered));
            let path = if i % 2 == 0 { "/steady/1" } else { "/changing/1" };
            thread::spawn(move || send_until_stopped(&proxy, path, &stop, &answered))
        })
        .collect();
    let wait_for_responses = |count: usize| {
        // Memory and descriptors are compared in the same state, which takes some traffic after a reload.
        let from = answered.load(Ordering::Relaxed);
        while answered.load(Ordering::Relaxed) < from + count {
            thread::sleep(Duration::from_millis(2));
        }
    };
    let mut baseline = None;
    let since = Instant::now();
    for round in 1..=200 {
        proxy.reload(&text(round));
        proxy.wait_for_log(&format!("configuration reloaded: version {}, ", round + 1));
        if round == 20 {
            wait_for_responses(200);
            baseline = Some(proxy.descriptors_and_memory());
        }
    }
    eprintln!("200 reloads in {:?}, {} requests", since.elapsed(), answered.load(Ordering::Relaxed));
    wait_for_responses(200);
    let ((descriptors, memory), (before, memory_before)) =
        (proxy.descriptors_and_memory(), baseline.expect("a baseline"));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("every request was answered"));
    assert!(descriptors <= before + 4, "{before} descriptors, then {descriptors}");
    assert!(memory <= memory_before + 2048, "{memory_before} kB, then {memory} kB");
    let served: usize = endpoints.iter().map(FixedLatencyEndpoint::served).sum();
    assert_eq!(served, answered.load(Ordering::Relaxed), "each request is executed once");
}
