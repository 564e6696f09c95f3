//! The responses that are stored for repeats of idempotency keys.

#[path = "stubs/rpc.rs"]
mod rpc;
mod stubs;

use rpc::*;
use serde_json::json;
use stubs::*;
use testkit::json_rpc::request;

/// The default bound on the responses that are stored for repeats, in kilobytes.
const STORED_RESPONSES_KB: u64 = 16 << 10;
/// More keys than that bound allows, if each response keeps the buffer that it was read into.
const KEYS: usize = 6_000;

/// Guards against memory that grows with ever new keys: a stored response of two bytes kept the whole buffer into
/// which it was read.
#[test]
fn stored_responses_take_no_more_memory_than_their_bound() {
    let endpoint = MockEndpoint::of(|_| ok("[]"));
    let proxy = DualProtocolProxy::start(&RpcSite::http(&[endpoint.address]));
    let mut client = proxy.rpc();
    client.call(0, "report-result", json!({ "key": "first" }));
    let before = proxy.process.anonymous_memory_kb();
    let mut served = 0;
    for key in 1..=KEYS {
        client.send(&request(key, "report-result", json!({ "key": format!("k{key}") })));
        served += usize::from(client.receive().get("result").is_some());
    }
    let growth = proxy.process.anonymous_memory_kb() - before;
    println!("{served} responses stored: {growth} kB");
    assert!(served > KEYS / 2, "{served} of {KEYS} served");
    assert!(growth < STORED_RESPONSES_KB, "{served} stored responses of two bytes took {growth} kB");
}
