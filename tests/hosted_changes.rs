//! Changes of the tenants of a hosted service while it serves requests.
#[path = "stubs/api.rs"]
mod api;
mod stubs;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use api::*;
use serde_json::{json, Value};
use stubs::*;

/// Starts an endpoint with a fixed latency, which names itself in `X-Served-By`.
fn endpoint(name: &str, latency_ms: u64) -> FixedLatencyEndpoint {
    FixedLatencyEndpoint::start(name, Duration::from_millis(latency_ms)).expect("a port")
}

/// The progress of the rounds of changes, shared with the clients.
#[derive(Default)]
struct Progress {
    /// The last round whose change was sent.
    requested: AtomicUsize,
    /// The last round whose change was confirmed.
    confirmed: AtomicUsize,
    stop: AtomicBool,
}

/// The tenant's document in a round. The first of three endpoints is in even rounds only, the last in odd
/// ones.
fn tenant_of_round(round: usize, addresses: &[SocketAddr]) -> Value {
    let used = &addresses[round % 2..2 + round % 2];
    let limits = json!({ "requests_per_s": 100_000 + round, "in_flight": 100 + round % 7 });
    let mut doc = tenant("club.example", used, limits);
    let config = &mut doc["config"];
    config["class"][0]["semantics"] = json!("at-most-once");
    let class = ["standings", "tables"][round / 10 % 2];
    config["class"][0]["name"] = json!(class);
    config["route"][0]["class"] = json!(class);
    doc
}

/// Sends requests and checks that each was served under a version that may have applied when it was sent.
/// Returns the number of requests.
fn send_until_stopped(service: &HostedService, progress: &Progress) -> usize {
    let mut client = service.process.connect();
    let mut sent = 0;
    while !progress.stop.load(Ordering::Relaxed) {
        let from = progress.confirmed.load(Ordering::SeqCst);
        let response = client.ask("POST /x HTTP/1.1\r\nHost: club.example\r\nContent-Length: 1\r\n\r\nx");
        assert_eq!(response.status(), 200);
        let to = progress.requested.load(Ordering::SeqCst);
        let by = response.header("X-Served-By").expect("the name of an endpoint");
        let is_possible = |round: usize| by == "n1" || (by == "n0") == round.is_multiple_of(2);
        assert!((from..=to).any(is_possible), "served by {by} in rounds {from} to {to}");
        sent += 1;
    }
    sent
}

/// The limits, the endpoints and the name of the class of a tenant change 500 times under load.
#[test]
fn five_hundred_changes_under_load_lose_no_request() {
    let endpoints: Vec<FixedLatencyEndpoint> = (0..3).map(|i| endpoint(&format!("n{i}"), 0)).collect();
    let service = Arc::new(start_hosted(&hosted_config("", "")));
    let addresses: Vec<_> = endpoints.iter().map(|n| n.address).collect();
    let document = |round: usize| tenant_of_round(round, &addresses);
    assert_eq!(service.put("/v1/tenants/club", &document(0)).status, 200);
    assert_eq!(
        service.put("/v1/tenants/other", &tenant("other.example", &[addresses[2]], json!({}))).status,
        200
    );
    let progress = Arc::<Progress>::default();
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (service, progress) = (Arc::clone(&service), Arc::clone(&progress));
            thread::spawn(move || send_until_stopped(&service, &progress))
        })
        .collect();
    let mut tag = service.get("/v1/tenants/club").etag;
    let untouched = service.get("/v1/tenants/other").etag;
    for round in 1..=500 {
        progress.requested.store(round, Ordering::SeqCst);
        let response =
            service.call("PUT", "/v1/tenants/club?why=round", None, tag.as_deref(), Some(&document(round)));
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body["version"], round + 3);
        tag = response.etag;
        progress.confirmed.store(round, Ordering::SeqCst);
    }
    progress.stop.store(true, Ordering::Relaxed);
    let sent: usize = clients.into_iter().map(|c| c.join().expect("every request was answered")).sum();
    let served: usize = endpoints.iter().map(FixedLatencyEndpoint::served).sum();
    assert_eq!(served, sent, "each request is executed once");
    assert_eq!(service.get("/v1/tenants/other").etag, untouched);
    assert_eq!(service.get("/v1/tenants/other/status").body["version"], 3, "the other tenant was changed");
}

#[test]
fn concurrent_changes_need_the_current_version() {
    let one = endpoint("one", 0);
    let service = start_hosted(&hosted_config("", ""));
    let doc = tenant("club.example", &[one.address], json!({}));
    service.put("/v1/tenants/club", &doc);
    let tag = service.get("/v1/tenants/club/config").etag;
    let mut changed = doc["config"].clone();
    changed["class"][0]["aim_ms"] = json!(1000);
    let put =
        |tag: Option<&str>| service.call("PUT", "/v1/tenants/club/config", None, tag, Some(&changed)).status;
    assert_eq!(put(None), 428, "a change without a version tag was accepted");
    assert_eq!(put(tag.as_deref()), 200);
    assert_eq!(put(tag.as_deref()), 412, "a change of an outdated version was accepted");
    assert_eq!(service.call("PUT", "/v1/tenants/new", None, Some("\"x\""), Some(&doc)).status, 412);
    // A dry run reports the result and changes nothing.
    let before = service.get("/v1/versions").body;
    let response = service.put("/v1/tenants/club/config?dry_run=true", &doc["config"]);
    assert_eq!((response.status, &response.body["dry_run"]), (200, &json!(true)));
    let response = service.put("/v1/tenants/club/config?dry_run=true", &json!({ "pool": 7 }));
    assert_eq!(response.status, 422);
    assert_eq!(service.get("/v1/versions").body, before);
}

/// A change is checked against the expectations of its own tenant only.
#[test]
fn a_change_is_checked_against_the_expectations_of_its_own_tenant() {
    let (one, two) = (endpoint("one", 0), endpoint("two", 0));
    let service = start_hosted(&hosted_config("", ""));
    service.put("/v1/tenants/one", &tenant("one.example", &[one.address], json!({})));
    service.put("/v1/tenants/two", &tenant("two.example", &[two.address], json!({})));
    // The tenant expects a pool for /x, which has no route after this change.
    let response = service.put(
        "/v1/tenants/one/config/routes/r",
        &json!({ "match": { "path": "/y" }, "class": "standings", "pool": "p" }),
    );
    assert_eq!(response.status, 422);
    assert_eq!(response.body["detail"]["kind"], "expectations");
    let error = response.body["error"].as_str().expect("an error text");
    assert!(error.contains("tenant `one`") && error.contains("`served`") && error.contains("404"), "{error}");
    assert_eq!(service.request("one.example", "/x").status(), 200, "the previous version is not served");
    // No change of one tenant changes the other's responses, version or state.
    let get_of_two = |what: &str| service.get(&format!("/v1/tenants/two{what}"));
    let before = (get_of_two("").etag, get_of_two("/status").body["version"].clone());
    assert_eq!(
        service.put("/v1/tenants/one/config", &json!({})).status,
        200,
        "an empty configuration was not accepted"
    );
    assert_eq!(service.request("one.example", "/x").status(), 404);
    assert_eq!(
        service.put("/v1/tenants/one/pools/p/nodes/n0/state", &json!({ "state": "draining" })).status,
        404
    );
    assert_eq!(service.delete("/v1/tenants/one").status, 200);
    assert_eq!(before, (get_of_two("").etag, get_of_two("/status").body["version"].clone()));
    assert_eq!(service.request("two.example", "/x").status(), 200);
}

#[test]
fn endpoints_are_drained_and_versions_are_listed_and_rolled_back() {
    let (one, two) = (endpoint("one", 0), endpoint("two", 0));
    let service = start_hosted(&hosted_config("", ""));
    service.put("/v1/tenants/club", &tenant("club.example", &[one.address, two.address], json!({})));
    let state = |state: &str| {
        let path = "/v1/tenants/club/pools/p/nodes/n0/state?why=maintenance%20of%20one";
        service.put(path, &json!({ "state": state })).status
    };
    assert_eq!(state("draining"), 200);
    for _ in 0..20 {
        assert_eq!(service.request("club.example", "/x").header("X-Served-By"), Some("two"));
    }
    assert_eq!(state("asleep"), 422);
    let versions = service.get("/v1/versions").body;
    assert_eq!(
        (&versions[0]["number"], &versions[0]["who"], &versions[0]["why"]),
        (&json!(3), &json!("local"), &json!("maintenance of one"))
    );
    assert!(versions[0]["at_ms"].as_u64() > Some(1_700_000_000_000));
    let diff = service.get("/v1/versions/2/diff/3").body;
    assert_eq!(diff, json!([{ "path": "/tenants/club/config/pool/p/nodes/n0/state", "after": "draining" }]));
    let response = service.call("POST", "/v1/versions/2/rollback?why=back", None, None, None);
    assert_eq!((response.status, &response.body["version"]), (200, &json!(4)));
    assert_eq!(
        service.get("/v1/versions/2").body["document"],
        service.get("/v1/versions/4").body["document"]
    );
    let response = service.put("/v1/tenants/club/pools/p/nodes/n1/state", &json!({ "state": "draining" }));
    assert_eq!(response.status, 200);
    assert_eq!(
        service.request("club.example", "/x").header("X-Served-By"),
        Some("one"),
        "the first endpoint is not in use again"
    );
    assert_eq!(service.call("POST", "/v1/versions/9/rollback", None, None, None).status, 404);
    // A rollback of a tenant keeps its limits, which the operator sets.
    service.put("/v1/tenants/club/limits", &json!({ "weight": 3 }));
    let tag = service.get("/v1/tenants/club").etag;
    let response = service.call("POST", "/v1/tenants/club/rollback?to=3", None, tag.as_deref(), None);
    assert_eq!(response.status, 200, "{response:?}");
    let now = service.get("/v1/tenants/club").body;
    assert_eq!(
        (&now["limits"]["weight"], &now["config"]["pool"][0]["nodes"][0]["state"]),
        (&json!(3), &json!("draining"))
    );
}
