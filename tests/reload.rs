//! Reload without loss: requests complete under the configuration that they were routed by.
mod stubs;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

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
    for (name, backend) in pools {
        text += &format!(
            "\n[[pool]]\nname = \"{name}\"\nnodes = [{{ name = \"n\", address = \"{}\" }}]\n\n[[route]]\nname = \"{name}\"\nmatch = {{ path = \"/{name}/*\" }}\nclass = \"write\"\npool = \"{name}\"\n",
            backend.address
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
    // No new request goes there, on open connections either.
    assert_eq!(proxy.request(&post("/old/3", "")).status(), 404);
    assert_eq!(persistent.ask(&post("/new/2", "")).body, b"new");
    // Requests in flight: one response each, at their end or their deadline.
    release.release();
    assert_eq!(running.receive().body, b"done");
    assert_eq!(running.ask(&post("/new/3", "")).body, b"new", "its connection goes on");
    assert_eq!(silent.receive().status(), 504);
    assert_eq!(silent.ask(&post("/new/4", "")).body, b"new");
    // Its connections are closed once no request needs them.
    old.wait_for_close();
    old.wait_for_close();
    assert!(old.requests().is_empty());
}

#[test]
fn an_unchanged_pool_keeps_its_connections() {
    let (same, other) = (MockEndpoint::new([ok("same")]), MockEndpoint::new([ok("other")]));
    let proxy = start_standalone(&config(&[("same", &same)], ""), &[]);
    let mut caller = proxy.connect();
    for reload in 2..6 {
        caller.ask(&post("/same/1", ""));
        assert_eq!(same.request().0, 0, "the first connection serves on");
        let pools: &[(&str, &MockEndpoint)] =
            if reload % 2 == 0 { &[("same", &same), ("other", &other)] } else { &[("same", &same)] };
        proxy.reload(&config(pools, ""));
        proxy.wait_for_log(&format!("configuration {reload}: "));
    }
    // Another setting of its class: a new pool.
    proxy.reload(&config(&[("same", &same)], "").replace("aim_ms = 8000", "aim_ms = 7000"));
    proxy.wait_for_log("configuration reloaded: version 6, ");
    caller.ask(&post("/same/1", ""));
    assert_eq!(same.request().0, 1);
}

#[test]
fn an_invalid_configuration_leaves_the_current_one_in_place() {
    let node = MockEndpoint::new([ok("done")]);
    let good = config(&[("p", &node)], "");
    let expect = "[[expect]]\nname = \"p stays\"\nwhen = { method = \"POST\", path = \"/p/1\" }\nthen = { pool = \"p\" }\n";
    let good = good.replacen("\n\n[[class]]", "\nexpectations = [\"expect.toml\"]\n\n[[class]]", 1);
    let proxy = start_standalone(&good, &[("expect.toml", expect)]);
    let bad = [
        ("[server]".to_owned(), "configuration reload failed, keeping version 1: "),
        (
            good.replace("\"/p/*\"", "\"/q/*\""),
            "`p stays`: expected pool `p`, but it would be refused with 404",
        ),
        (
            good.replace("listen = [", "listen = [{ address = \"127.0.0.1:1\" }, "),
            "a change of `server.listen` requires a restart",
        ),
        (good.replace("pool = \"p\"\n", "pool = \"q\"\n"), "there is no pool `q` (there are `p`)"),
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
    proxy.reload(&good);
    proxy.wait_for_log("configuration reloaded: version 2, ");
}

/// A pool that stays, and one that changes its name and endpoint. Every third round starts both anew.
fn config_of_round(round: usize, nodes: &[FixedLatencyEndpoint]) -> String {
    let pool = |name: &str, node: &FixedLatencyEndpoint| {
        format!(
            "\n[[pool]]\nname = \"{name}\"\nnodes = [{{ name = \"n\", address = \"{}\" }}]\n",
            node.address
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
    text += &pool("steady", &nodes[0]);
    text += &pool(&changing, &nodes[1 + round % 2]);
    text += &route("steady", "steady");
    text += &route("changing", &changing);
    text
}

fn send_until_stopped(proxy: &Process, path: &str, stop: &AtomicBool, answered: &AtomicUsize) {
    let mut caller = proxy.connect();
    while !stop.load(Ordering::Relaxed) {
        let answer = caller.ask(&post(path, ""));
        assert_eq!(answer.status(), 200, "{path}");
        answered.fetch_add(1, Ordering::Relaxed);
    }
}

/// Pools are added, removed and changed while six clients send requests without a pause: each gets one response.
#[test]
fn two_hundred_reloads_under_load_lose_no_request_and_leak_nothing() {
    let nodes: Vec<FixedLatencyEndpoint> = (0..3)
        .map(|i| FixedLatencyEndpoint::start(&format!("n{i}"), Duration::from_millis(1)).expect("a port"))
        .collect();
    let text = |round: usize| config_of_round(round, &nodes);
    let proxy = Arc::new(start_standalone(&text(0), &[]));
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::<AtomicUsize>::default());
    let callers: Vec<_> = (0..6)
        .map(|i| {
            let (proxy, stop, answered) = (Arc::clone(&proxy), Arc::clone(&stop), Arc::clone(&answered));
            let path = if i % 2 == 0 { "/steady/1" } else { "/changing/1" };
            thread::spawn(move || send_until_stopped(&proxy, path, &stop, &answered))
        })
        .collect();
    let settled = |until: usize| {
        // Some traffic in between, so that memory and descriptors are compared in the same state.
        let from = answered.load(Ordering::Relaxed);
        while answered.load(Ordering::Relaxed) < from + until {
            thread::sleep(Duration::from_millis(2));
        }
    };
    let mut began = None;
    let since = Instant::now();
    for round in 1..=200 {
        proxy.reload(&text(round));
        proxy.wait_for_log(&format!("configuration {}: ", round + 1));
        if round == 20 {
            settled(200);
            began = Some(proxy.descriptors_and_memory());
        }
    }
    eprintln!("200 reloads in {:?}, {} requests", since.elapsed(), answered.load(Ordering::Relaxed));
    settled(200);
    let ((descriptors, memory), (before, memory_before)) =
        (proxy.descriptors_and_memory(), began.expect("taken"));
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().expect("every request was answered"));
    assert!(descriptors <= before + 4, "{before} descriptors, then {descriptors}");
    assert!(memory <= memory_before + 2048, "{memory_before} kB, then {memory} kB");
    let served: usize = nodes.iter().map(FixedLatencyEndpoint::served).sum();
    assert_eq!(served, answered.load(Ordering::Relaxed), "each request ran once");
}
