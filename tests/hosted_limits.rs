//! Limits of the tenants of a hosted service: rejections, retries, and the isolation of their load.
#[path = "stubs/api.rs"]
mod api;
mod stubs;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use api::*;
use serde_json::json;
use stubs::*;

/// Starts an endpoint with a fixed latency.
fn endpoint(name: &str, latency_ms: u64) -> FixedLatencyEndpoint {
    FixedLatencyEndpoint::start(name, Duration::from_millis(latency_ms)).expect("a port")
}

#[test]
fn each_limit_rejects_with_its_reason_and_changes_at_run_time() {
    let stuck = MockEndpoint::new([Behavior::Hang]);
    let service = start_hosted(&hosted_config("", ""));
    let with = |limits: serde_json::Value| tenant("club.example", &[stuck.address], limits);
    assert_eq!(service.put("/v1/tenants/club", &with(json!({ "in_flight": 1 }))).status, 200);
    let mut first = service.process.connect();
    first.send("GET /x HTTP/1.1\r\nHost: club.example\r\n\r\n");
    stuck.request();
    let rejection = || {
        let response = service.request("club.example", "/x");
        (response.status(), response.header("X-Refusal-Cause").map(str::to_owned))
    };
    assert_eq!(rejection(), (429, Some("in-flight".to_owned())));
    assert_eq!(service.put("/v1/tenants/club/limits", &json!({ "connections": 1 })).status, 200);
    assert_eq!(rejection(), (429, Some("connections".to_owned())));
    assert_eq!(service.put("/v1/tenants/club/limits", &json!({ "body_bytes": 10 })).status, 200);
    let post = "POST /x HTTP/1.1\r\nHost: club.example\r\nContent-Length: 11\r\n\r\nhello world";
    let response = service.process.request(post);
    assert_eq!((response.status(), response.header("X-Refusal-Cause")), (429, Some("bodies")));
    let status = service.get("/v1/tenants/club/status").body;
    assert_eq!(
        status["refused"],
        json!({ "rate": 0, "share": 0, "in-flight": 1, "connections": 1, "bodies": 1 })
    );
    assert_eq!((&status["in_flight"], &status["admitted"]), (&json!(1), &json!(1)));
    for bad in [json!({ "weight": 0 }), json!({ "requests_per_s": -1 }), json!({ "burst": 1e300 })] {
        assert_eq!(service.put("/v1/tenants/club/limits", &bad).status, 422, "{bad}");
    }
    assert_eq!(
        service.put("/v1/tenants/club/limits", &json!({ "speed": 1 })).status,
        422,
        "an unknown limit was accepted"
    );
}

/// With endpoints that never respond, a tenant's requests accumulate up to its own limit only.
#[test]
fn a_tenant_with_hanging_endpoints_does_not_affect_others() {
    let stuck = MockEndpoint::new([Behavior::Hang]);
    let good = endpoint("good", 0);
    let service = start_hosted(&hosted_config("sockets = 512\ncapacity = { in_flight = 200 }\n", ""));
    service.put("/v1/tenants/stuck", &tenant("stuck.example", &[stuck.address], json!({})));
    service.put("/v1/tenants/good", &tenant("good.example", &[good.address], json!({})));
    service.request("good.example", "/x");
    let (before, memory_before) = service.process.descriptors_and_memory();
    let stop = Arc::new(AtomicBool::new(false));
    let address = service.process.address;
    let clients: Vec<_> = (0..160)
        .map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let stream = std::net::TcpStream::connect(address).expect("connects");
                    let mut client = HttpClient::of(stream);
                    client.send("GET /x HTTP/1.1\r\nHost: stuck.example\r\nX-Timeout-Ms: 3900\r\n\r\n");
                    client.try_receive();
                }
            })
        })
        .collect();
    // Waits until the tenant's requests have accumulated.
    while service.get("/v1/tenants/stuck/status").body["in_flight"].as_u64() < Some(20) {
        thread::sleep(Duration::from_millis(10));
    }
    let mut client = service.process.connect();
    for _ in 0..300 {
        assert_eq!(client.ask("GET /x HTTP/1.1\r\nHost: good.example\r\n\r\n").status(), 200);
    }
    let stuck_status = service.get("/v1/tenants/stuck/status").body;
    let (during, memory) = service.process.descriptors_and_memory();
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|thread| thread.join().expect("no panic"));
    assert!(stuck_status["in_flight"].as_u64() <= Some(190), "{stuck_status}");
    // The bound covers its downstream connections and its half of the upstream connections.
    assert!(during < before + 170 + 96 + 10, "{before}, then {during}");
    assert!(memory < memory_before + (16 << 10), "{memory_before} kB, then {memory} kB");
    assert_eq!(service.get("/v1/tenants/good/status").body["refused"]["in-flight"], 0);
}

/// Every retry counts against the tenant's limit.
#[test]
fn a_tenant_without_retries_left_has_one_attempt_for_each_request() {
    let disconnecting: Vec<MockEndpoint> =
        (0..3).map(|_| MockEndpoint::new([Behavior::Disconnect])).collect();
    let addresses: Vec<_> = disconnecting.iter().map(|endpoint| endpoint.address).collect();
    let attempts = || disconnecting.iter().map(|endpoint| endpoint.requests().len()).sum::<usize>();
    let service = start_hosted(&hosted_config("", ""));
    let status = || service.get("/v1/tenants/club/status").body;
    service.put("/v1/tenants/club", &tenant("club.example", &addresses, json!({})));
    // Every attempt fails or is rejected.
    let send_request = || assert!(matches!(service.request("club.example", "/x").status(), 502 | 503));
    send_request();
    let unlimited = attempts();
    assert!(unlimited > 1, "no retry without a limit: {unlimited} attempts");
    assert_eq!(status()["retries"], unlimited - 1);
    assert_eq!(service.put("/v1/tenants/club/limits", &json!({ "retries_per_s": 0.001 })).status, 200);
    // One retry of the burst is left. The request that uses it may exceed the limit.
    send_request();
    let limited = attempts();
    (0..5).for_each(|_| send_request());
    assert!(attempts() <= 5, "more than one attempt each");
    assert_eq!(status()["retries"], unlimited - 1 + limited.saturating_sub(1));
}

#[test]
fn retries_of_a_disconnected_client_count_against_the_limit() {
    // The endpoint that gets the second attempt does not respond.
    let attempts = Arc::new(AtomicUsize::new(0));
    let listen = |attempts: Arc<AtomicUsize>| {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        thread::spawn(move || {
            let mut open_streams = Vec::new();
            for stream in listener.incoming() {
                let stream = stream.expect("accepts");
                let mut reader = std::io::BufReader::new(stream.try_clone().expect("a copy"));
                if read_message(&mut reader).is_some() && attempts.fetch_add(1, Ordering::SeqCst) > 0 {
                    open_streams.push(stream);
                }
            }
        });
        address
    };
    let addresses: Vec<_> = (0..3).map(|_| listen(Arc::clone(&attempts))).collect();
    let service = start_hosted(&hosted_config("", ""));
    let limits = json!({ "retries_per_s": 0.001 });
    assert_eq!(service.put("/v1/tenants/club", &tenant("club.example", &addresses, limits)).status, 200);
    let status = || service.get("/v1/tenants/club/status").body;
    let mut client = service.process.connect();
    client.send("GET /x HTTP/1.1\r\nHost: club.example\r\n\r\n");
    let since = Instant::now();
    while attempts.load(Ordering::SeqCst) < 2 {
        assert!(since.elapsed() < TEST_TIMEOUT, "no second attempt");
        thread::sleep(Duration::from_millis(2));
    }
    drop(client);
    while status()["in_flight"] != 0 {
        assert!(since.elapsed() < TEST_TIMEOUT, "the request continues without its client");
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(status()["retries"], 1);
    // No retry is left: the next request has at most one attempt, which gets no response.
    let ask = "GET /x HTTP/1.1\r\nHost: club.example\r\nX-Timeout-Ms: 300\r\n\r\n";
    assert!(matches!(service.process.request(ask).status(), 503 | 504));
    assert!(attempts.load(Ordering::SeqCst) <= 3);
    assert_eq!(status()["retries"], 1);
}

/// A fallback to another pool counts as a retry if the first pool made an attempt.
#[test]
fn a_tenant_without_retries_left_does_not_fall_back_for_a_second_attempt() {
    let (busy, spare) = (MockEndpoint::new([full()]), MockEndpoint::new([ok("spare")]));
    let service = start_hosted(&hosted_config("", ""));
    let mut club = tenant("club.example", &[busy.address], json!({}));
    let pool = |name: &str, endpoint: &MockEndpoint| json!({ "name": name, "nodes": [{ "name": name, "address": endpoint.address.to_string() }] });
    club["config"]["pool"] = json!([pool("p", &busy), pool("q", &spare)]);
    club["config"]["route"][0]["fallback"] = json!([{ "pool": "q", "when": ["refused"] }]);
    assert_eq!(service.put("/v1/tenants/club", &club).status, 200);
    assert_eq!(service.request("club.example", "/x").status(), 200, "the fallback pool did not serve");
    let before = (busy.requests().len(), spare.requests().len());
    assert_eq!(before.1, 1);
    assert_eq!(service.put("/v1/tenants/club/limits", &json!({ "retries_per_s": 0.001 })).status, 200);
    // The first request uses the last retry for a fallback.
    let responses: Vec<u16> = (0..4).map(|_| service.request("club.example", "/x").status()).collect();
    assert_eq!(responses[0], 200);
    let (first_attempts, fallback_attempts) = (busy.requests().len(), spare.requests().len());
    // A fallback without an attempt in the first pool is a first attempt and needs no retry.
    let total = first_attempts + fallback_attempts;
    assert!(
        total <= 4 + 2,
        "more than one attempt each and one retry: {responses:?}, {first_attempts} and {fallback_attempts}"
    );
}

/// Sends requests of a tenant for this time. Returns their latencies in microseconds, sorted.
fn latencies(service: &HostedService, host: &str, time: Duration) -> Vec<u64> {
    let mut client = service.process.connect();
    let (since, mut all) = (Instant::now(), Vec::new());
    while since.elapsed() < time {
        let sent = Instant::now();
        assert_eq!(client.ask(&format!("GET /x HTTP/1.1\r\nHost: {host}\r\n\r\n")).status(), 200, "{host}");
        all.push(sent.elapsed().as_micros() as u64);
        // At most 100 per second: well below a third of the capacity.
        thread::sleep(Duration::from_millis(10));
    }
    all.sort_unstable();
    all
}

/// The clients of one tenant retry at once, at five times its share. All requests of two tenants below their
/// shares are served.
#[test]
fn a_retry_storm_of_one_tenant_does_not_affect_two_others() {
    let endpoints: Vec<FixedLatencyEndpoint> = (0..3).map(|i| endpoint(&format!("n{i}"), 1)).collect();
    let service = start_hosted(&hosted_config("capacity = { requests_per_s = 450 }\n", ""));
    for (i, name) in ["storm", "b", "c"].iter().enumerate() {
        let response = service.put(
            &format!("/v1/tenants/{name}"),
            &tenant(&format!("{name}.example"), &[endpoints[i].address], json!({})),
        );
        assert_eq!(response.status, 200, "{response:?}");
    }
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::<AtomicUsize>::default());
    let address = service.process.address;
    let storm: Vec<_> = (0..8)
        .map(|_| {
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            thread::spawn(move || {
                let mut client = HttpClient::of(std::net::TcpStream::connect(address).expect("connects"));
                while !stop.load(Ordering::Relaxed) {
                    let response =
                        client.ask("GET /x HTTP/1.1\r\nHost: storm.example\r\nX-Retried: 1\r\n\r\n");
                    assert!([200, 429, 503].contains(&response.status()));
                    sent.fetch_add(1, Ordering::Relaxed);
                    // With eight clients this is far more than the share of 150 per second, also on a slow
                    // machine.
                    thread::sleep(Duration::from_millis(4));
                }
            })
        })
        .collect();
    while sent.load(Ordering::Relaxed) < 400 {
        thread::sleep(Duration::from_millis(5));
    }
    let quiet = thread::scope(|s| {
        let c = s.spawn(|| latencies(&service, "c.example", Duration::from_secs(2)));
        [latencies(&service, "b.example", Duration::from_secs(2)), c.join().expect("no panic")]
    });
    stop.store(true, Ordering::Relaxed);
    storm.into_iter().for_each(|t| t.join().expect("no panic"));
    for (name, all) in ["b", "c"].iter().zip(&quiet) {
        let status = service.get(&format!("/v1/tenants/{name}/status")).body;
        let refused: u64 =
            status["refused"].as_object().expect("by reason").values().filter_map(|n| n.as_u64()).sum();
        assert_eq!((refused, status["admitted"].as_u64()), (0, Some(all.len() as u64)), "{status}");
    }
    let status = service.get("/v1/tenants/storm/status").body;
    assert!(status["refused"]["share"].as_u64() > Some(100), "{status}");
}
