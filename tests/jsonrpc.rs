//! JSON-RPC over sockets: clients and endpoints of both protocols. The mock peers share no code with the
//! proxy.
#[path = "stubs/rpc.rs"]
mod rpc;
mod stubs;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rpc::*;
use serde_json::{json, Value};
use stubs::*;
use testkit::json_rpc::request;

/// The code of an error response.
fn code(response: &Value) -> i64 {
    response["error"]["code"].as_i64().unwrap_or_else(|| panic!("no error: {response}"))
}

// ---- Messages ----

#[test]
fn examples_of_the_specification_get_the_specified_responses() {
    let endpoint = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Result(json!(19))]);
    let proxy = DualProtocolProxy::start(&RpcSite::rpc(&[endpoint.address]));
    let mut client = proxy.rpc();
    let assert_null_id_error = |code: i64, response: &Value| {
        assert_eq!(
            (&response["id"], response["error"]["code"].as_i64()),
            (&Value::Null, Some(code)),
            "{response}"
        );
    };
    assert_eq!(client.ask(r#"{"jsonrpc":"2.0","method":"standings","params":[42,23],"id":1}"#)["result"], 19);
    assert_eq!(client.ask(r#"{"jsonrpc":"2.0","method":"standings","id":"2"}"#)["id"], "2");
    assert_eq!(code(&client.ask(r#"{"jsonrpc":"2.0","method":"foobar","id":"1"}"#)), -32601);
    assert_null_id_error(-32700, &client.ask(r#"{"jsonrpc":"2.0","method":"foobar,"params":"bar","baz]"#));
    assert_null_id_error(-32600, &client.ask(r#"{"jsonrpc":"2.0","method":1,"params":"bar"}"#));
    assert_null_id_error(
        -32700,
        &client
            .ask(r#"[{"jsonrpc":"2.0","method":"sum","params":[1,2,4],"id":"1"},{"jsonrpc":"2.0","method"]"#),
    );
    assert_null_id_error(-32600, &client.ask("[]"));
    let three = client.ask("[1,2,3]");
    assert_eq!(three.as_array().map(Vec::len), Some(3));
    three.as_array().into_iter().flatten().for_each(|one| assert_null_id_error(-32600, one));
    // Notifications get no response, alone or in a batch; an unsolicited response is ignored.
    client.send(r#"{"jsonrpc":"2.0","method":"standings","params":[1]}"#);
    client.send(r#"[{"jsonrpc":"2.0","method":"standings"},{"jsonrpc":"2.0","method":"foobar"}]"#);
    client.send(r#"{"jsonrpc":"2.0","result":1,"id":7}"#);
    assert_eq!(client.call(9, "standings", json!({}))["id"], 9);
}

#[test]
fn ids_are_returned_verbatim() {
    let endpoint = MockRpcEndpoint::new(Framing::ContentLength, [RpcBehavior::Result(json!(null))]);
    let proxy = DualProtocolProxy::start(&RpcSite {
        framing: Framing::ContentLength,
        ..RpcSite::rpc(&[endpoint.address])
    });
    let mut client = proxy.rpc();
    let digits = format!("-1{}", "0".repeat(400));
    for id in [digits.as_str(), r#""A\n""#, r#""""#, "null", "0", "18446744073709551616"] {
        let message = format!(r#"{{"id":{id},"jsonrpc":"2.0","method":"standings"}}"#);
        client.send(&message);
        let text = client.try_receive_text().expect("a response");
        assert!(text.contains(&format!("\"id\":{id},\"result\":null")), "{id}: {text}");
    }
    // The endpoint receives ids that the proxy chose, all different.
    let own: BTreeSet<String> =
        endpoint.requests().iter().map(|c| c["id"].as_str().expect("a string").to_owned()).collect();
    assert_eq!(own.len(), 6);
    for bad in ["1.5", "1e3", "{}", "true", r#""\ud800""#] {
        client.send(&format!(r#"{{"id":{bad},"jsonrpc":"2.0","method":"standings"}}"#));
        assert_eq!(code(&client.receive()), -32600, "{bad}");
    }
    client.send(r#"{"id":1,"id":2,"jsonrpc":"2.0","method":"standings"}"#);
    assert_eq!(client.receive()["id"], Value::Null, "an ambiguous id was used");
    client.send_bytes(b"Content-Length: 3\r\n\r\n\"\xff\"");
    assert_eq!(code(&client.receive()), -32700);
    assert!(endpoint.requests().is_empty());
}

#[test]
fn an_endless_message_is_rejected_and_uses_no_memory() {
    let endpoint = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Echo]);
    let proxy = DualProtocolProxy::start(&RpcSite::rpc(&[endpoint.address]));
    proxy.rpc().call(1, "standings", json!({}));
    let (_, before) = proxy.process.descriptors_and_memory();
    let mut client = proxy.rpc();
    let mut stream = client.stream().try_clone().expect("a copy");
    let sending = thread::spawn(move || {
        // 200 MB, if it were read.
        let piece = vec![b'x'; 1 << 20];
        (0..200).take_while(|_| stream.write_all(&piece).is_ok()).count()
    });
    let response = client.receive();
    assert_eq!((code(&response), &response["id"]), (-32005, &Value::Null));
    assert_eq!(client.receive()["method"], "$/closing");
    let sent = sending.join().expect("no panic");
    let (_, after) = proxy.process.descriptors_and_memory();
    assert!(after < before + (8 << 10), "{before} kB, then {after} kB, with {sent} MB sent");
    // Bytes that are no valid head of a message with a length.
    let lengths = DualProtocolProxy::start(&RpcSite {
        framing: Framing::ContentLength,
        ..RpcSite::rpc(&[endpoint.address])
    });
    let mut client = lengths.rpc();
    client.send_bytes(b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(code(&client.receive()), -32700);
}

// ---- Many calls at once ----

#[test]
fn responses_come_in_any_order_and_the_open_call_limit_pauses_reading() {
    let release = Arc::new(Release::default());
    let on_release = RpcBehavior::ResultOnRelease(Arc::clone(&release), json!("late"));
    let endpoint = MockRpcEndpoint::new(
        Framing::Lines,
        [on_release.clone(), RpcBehavior::Result(json!("soon")), on_release.clone(), on_release],
    );
    let site =
        RpcSite { rpc_listener_settings: ", calls = 2".to_owned(), ..RpcSite::rpc(&[endpoint.address]) };
    let proxy = DualProtocolProxy::start(&site);
    let mut client = proxy.rpc();
    client.send(&request(1, "standings", json!({})));
    endpoint.request();
    client.send(&request(2, "standings", json!({})));
    assert_eq!(
        (&client.receive()["result"], endpoint.request().0),
        (&json!("soon"), 0),
        "the second call is not on the same connection"
    );
    // The id of an open call.
    client.send(&request(1, "standings", json!({})));
    assert_eq!(code(&client.receive()), -32003);
    for id in 3..=10 {
        client.send(&request(id, "standings", json!({})));
    }
    assert_eq!(endpoint.request().1["method"], "standings");
    // Another client is served meanwhile. Nothing more has been read from the first one.
    let mut other_client = proxy.rpc();
    other_client.send(&request(99, "standings", json!({})));
    assert_eq!(endpoint.request().1["params"]["_meta"]["verb"], Value::Null);
    // If the proxy had read on, it would have forwarded the next call by then.
    std::thread::sleep(Duration::from_millis(100));
    assert!(endpoint.requests().is_empty());
    release.release();
    let answered: BTreeSet<i64> =
        (0..9).map(|_| client.receive()["id"].as_i64().expect("a number")).collect();
    assert_eq!(answered, BTreeSet::from([1, 3, 4, 5, 6, 7, 8, 9, 10]));
}

#[test]
fn batch_calls_are_decided_separately_and_answered_together() {
    let endpoint = MockRpcEndpoint::of(Framing::Lines, |call| match call["params"]["do"].as_str() {
        Some("fail") => RpcBehavior::Error(-32050),
        Some("full") => RpcBehavior::Error(-32004),
        Some("hang") => RpcBehavior::Hang,
        _ => RpcBehavior::Echo,
    });
    let proxy = DualProtocolProxy::start(&RpcSite::rpc(&[endpoint.address]));
    let mut client = proxy.rpc();
    let batch = format!(
        "[{},{},{},{},{},{}]",
        request(1, "standings", json!({})),
        request(2, "close-round", json!({ "do": "full" })),
        request(3, "close-round", json!({ "do": "fail" })),
        r#"{"jsonrpc":"2.0","id":4,"method":7}"#,
        r#"{"jsonrpc":"2.0","method":"close-round","params":{"note":1}}"#,
        request("five", "report-result", json!({})),
    );
    let responses = client.ask(&batch);
    let responses = responses.as_array().expect("answers");
    let response_to =
        |id: Value| responses.iter().find(|a| a["id"] == id).unwrap_or_else(|| panic!("none for {id}"));
    assert_eq!(responses.len(), 5, "{responses:?}");
    assert_eq!(response_to(json!(1))["result"]["method"], "standings");
    assert_eq!(code(response_to(json!(2))), -32000, "a call that was not executed is rejected");
    assert_eq!(code(response_to(json!(3))), -32001, "a call that may have been executed fails");
    assert_eq!(code(response_to(json!(4))), -32600);
    assert_eq!(code(response_to(json!("five"))), -32602, "its class requires a key");
    // The notification was executed once too, and no call that may have been executed was retried.
    let calls = endpoint.requests();
    let executions = |what: &Value| {
        calls.iter().filter(|c| c["params"]["do"] == *what && c["method"] == "close-round").count()
    };
    assert_eq!((executions(&json!("fail")), executions(&Value::Null)), (1, 1));
    let proxy =
        DualProtocolProxy::start(&RpcSite { latency_objective_ms: 300, ..RpcSite::rpc(&[endpoint.address]) });
    let mut client = proxy.rpc();
    // A call that hangs delays the others at most by the shortest client timeout.
    let since = Instant::now();
    let slow = format!(
        "[{},{}]",
        request(1, "close-round", json!({ "do": "hang" })),
        request(2, "standings", json!({ "_meta": { "timeoutMs": 400 } })),
    );
    let responses = client.ask(&slow);
    assert!(since.elapsed() < Duration::from_secs(3), "{:?}", since.elapsed());
    let response_to = |id: i64| {
        responses.as_array().into_iter().flatten().find(|a| a["id"] == id).expect("answered").clone()
    };
    assert_eq!((code(&response_to(1)), &response_to(2)["result"]["method"]), (-32002, &json!("standings")));
}

#[test]
fn a_client_that_never_reads_is_bounded_by_the_open_call_limit() {
    let endpoint = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Result(json!("x".repeat(60_000)))]);
    let proxy = DualProtocolProxy::start(&RpcSite::rpc(&[endpoint.address]));
    proxy.rpc().call(0, "standings", json!({}));
    let (_, before) = proxy.process.descriptors_and_memory();
    let client = proxy.rpc();
    client.stream().set_nonblocking(true).expect("set");
    let mut sent = 0;
    let since = Instant::now();
    // Sends until the proxy has stopped reading for some time.
    while since.elapsed() < Duration::from_secs(3) && sent < 20_000 {
        let call = Framing::Lines.encode(&request(sent, "standings", json!({ "pad": "y".repeat(2_000) })));
        match client.stream().write(&call) {
            Ok(n) if n == call.len() => sent += 1,
            _ => thread::sleep(Duration::from_millis(10)),
        }
        proxy.rpc().call(1, "standings", json!({}));
    }
    let (_, after) = proxy.process.descriptors_and_memory();
    assert!(after < before + (16 << 10), "{before} kB, then {after} kB after {sent} calls");
    let _ = client.stream().shutdown(std::net::Shutdown::Both);
}

#[test]
fn partial_messages_time_out_and_idle_connections_stay() {
    let endpoint = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Echo]);
    let proxy = DualProtocolProxy::start(&RpcSite::rpc(&[endpoint.address]));
    let mut silent = proxy.rpc();
    let mut slow = proxy.rpc();
    let since = Instant::now();
    let mut stream = slow.stream().try_clone().expect("a copy");
    thread::spawn(move || {
        while stream.write_all(b"{").is_ok() {
            thread::sleep(Duration::from_millis(300));
        }
    });
    assert!(slow.try_receive().is_none());
    assert!(since.elapsed() > Duration::from_secs(2), "{:?}", since.elapsed());
    assert_eq!(silent.call(1, "standings", json!({}))["id"], 1);
}

// ---- Closed connections ----

#[test]
fn a_client_disconnect_cancels_calls_at_the_endpoint() {
    let endpoint = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Hang]);
    let site = RpcSite {
        pool_settings: ", cancel = \"$/cancelRequest\"".to_owned(),
        ..RpcSite::rpc(&[endpoint.address])
    };
    let proxy = DualProtocolProxy::start(&site);
    let mut client = proxy.rpc();
    client.send(&format!(
        "[{},{}]",
        request(1, "close-round", json!({})),
        r#"{"jsonrpc":"2.0","method":"close-round","params":{}}"#
    ));
    let ids: BTreeSet<String> = (0..2).map(|_| endpoint.request().1["id"].to_string()).collect();
    drop(client);
    let cancelled: BTreeSet<String> = (0..2)
        .map(|_| {
            let notice = endpoint.request().1;
            assert_eq!(
                notice["method"], "$/cancelRequest",
                "a call that may have been executed was retried: {notice}"
            );
            notice["params"]["id"].to_string()
        })
        .collect();
    assert_eq!(cancelled, ids);
    // The upstream connection stays in use.
    let mut client = proxy.rpc();
    client.send(&request(1, "standings", json!({})));
    assert_eq!(endpoint.request().0, 0);
}

/// An upstream connection breaks with calls on it that were not written, partly written, completely written,
/// and answered. Each call gets one response. A call that may have been executed is not retried, and one that
/// was not written completely is.
#[test]
fn a_broken_upstream_connection_fails_each_of_its_calls() {
    const CALLS: usize = 150;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&listener).set_recv_buffer_size(4 << 10).expect("set");
    let breaking_address = listener.local_addr().expect("bound");
    // Reads six calls, responds to three of them, waits for the signal while further bytes fill the buffers,
    // and closes the connection.
    let (call_read, read_calls) = std::sync::mpsc::channel();
    let close_signal = Arc::new(Release::default());
    let wait = Arc::clone(&close_signal);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (call_read, wait) = (call_read.clone(), Arc::clone(&wait));
            thread::spawn(move || {
                let mut reader =
                    std::io::BufReader::with_capacity(1 << 10, stream.try_clone().expect("a copy"));
                for n in 0..6 {
                    let Some(text) = Framing::Lines.read(&mut reader) else { return };
                    let call: Value = serde_json::from_str(&text).expect("JSON");
                    call_read
                        .send(call["params"]["n"].as_u64().expect("a number"))
                        .expect("the receiver is open");
                    if n < 3 {
                        let response =
                            json!({ "jsonrpc": "2.0", "id": call["id"], "result": "first" }).to_string();
                        (&stream).write_all(&Framing::Lines.encode(&response)).expect("written");
                    }
                }
                wait.wait();
                // Because of the unread bytes the close is a reset.
            });
        }
    });
    let working = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Result(json!("second"))]);
    let site = RpcSite {
        rpc_listener_settings: ", calls = 200".to_owned(),
        pool_settings: ", calls = 200".to_owned(),
        ..RpcSite::rpc(&[breaking_address, working.address])
    };
    let proxy = DualProtocolProxy::start(&site);
    let mut client = proxy.rpc();
    for n in 0..CALLS {
        client.send(&request(
            n,
            "close-round",
            json!({ "n": n, "pad": "z".repeat(60_000), "_meta": { "timeoutMs": 20_000 } }),
        ));
    }
    let mut responses: Vec<Value> = Vec::new();
    let mut completely_read: BTreeSet<u64> = BTreeSet::new();
    // The connection breaks once the first calls have been read and answered.
    completely_read.extend((0..6).map(|_| read_calls.recv_timeout(TEST_TIMEOUT).expect("a call")));
    while responses.iter().filter(|a| a["result"] == "first").count() < 3 {
        responses.push(client.receive());
    }
    close_signal.release();
    while responses.len() < CALLS {
        responses.push(client.receive());
    }
    completely_read.extend(read_calls.try_iter());
    let ids: BTreeSet<u64> = responses.iter().map(|a| a["id"].as_u64().expect("a number")).collect();
    assert_eq!(ids.len(), CALLS, "some call did not get exactly one response");
    let second: BTreeSet<u64> =
        working.requests().iter().map(|c| c["params"]["n"].as_u64().expect("a number")).collect();
    assert!(
        second.is_disjoint(&completely_read),
        "executed twice: {:?}",
        second.intersection(&completely_read).collect::<Vec<_>>()
    );
    for response in &responses {
        match response["result"].as_str() {
            Some("first") => {}
            Some(_) => assert!(second.contains(&response["id"].as_u64().expect("a number"))),
            // Only calls that were not executed are rejected, so none of these may have been read completely.
            None if code(response) == -32000 => {
                assert!(!completely_read.contains(&response["id"].as_u64().expect("a number")))
            }
            None => assert!(matches!(code(response), -32001 | -32002), "{response}"),
        }
    }
    let failed = responses.iter().filter(|a| a["error"].is_object() && code(a) != -32000).count();
    assert!(failed >= 3, "at least the three calls without a response fail, not only {failed}");
}

#[test]
fn unmatched_responses_are_ignored() {
    let twice = "{\"jsonrpc\":\"2.0\",\"id\":$ID,\"result\":1}\n{\"jsonrpc\":\"2.0\",\"id\":$ID,\"result\":2}\n{\"jsonrpc\":\"2.0\",\"id\":\"never\",\"result\":3}\n";
    let endpoint =
        MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Raw(twice.to_owned()), RpcBehavior::Echo]);
    let proxy = DualProtocolProxy::start(&RpcSite::rpc(&[endpoint.address]));
    let mut client = proxy.rpc();
    assert_eq!(client.call(1, "close-round", json!({}))["result"], 1);
    let echo = client.call(2, "close-round", json!({}));
    assert_eq!((&echo["id"], &echo["result"]["method"]), (&json!(2), &json!("close-round")));
    // An invalid response fails its call, which may have been executed. Bytes that are no message close the
    // connection.
    let endpoint = MockRpcEndpoint::new(
        Framing::Lines,
        [
            RpcBehavior::Raw("{\"id\":$ID,\"result\":1}\n".to_owned()),
            RpcBehavior::Raw("{\"id\":$ID,\n".to_owned()),
            RpcBehavior::Echo,
        ],
    );
    let proxy = DualProtocolProxy::start(&RpcSite::rpc(&[endpoint.address]));
    let mut client = proxy.rpc();
    assert_eq!(code(&client.call(1, "close-round", json!({}))), -32001);
    assert_eq!(code(&client.call(2, "close-round", json!({}))), -32001);
    assert_eq!(client.call(3, "close-round", json!({}))["result"]["method"], "close-round");
    assert_eq!(endpoint.requests().len(), 3);
}

// ---- Two protocols ----

#[test]
fn all_four_protocol_combinations_serve_the_same() {
    let json =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n{\"n\":1e400 }";
    let http = MockEndpoint::new([Behavior::Respond(json.to_owned())]);
    let endpoint = MockRpcEndpoint::new(
        Framing::Lines,
        [RpcBehavior::Raw("{\"jsonrpc\":\"2.0\",\"id\":$ID,\"result\":{\"n\":1e400 }}\n".to_owned())],
    );
    let with_short_objective =
        |site: RpcSite| DualProtocolProxy::start(&RpcSite { latency_objective_ms: 300, ..site });
    let (to_http, to_rpc) = (
        with_short_objective(RpcSite::http(&[http.address])),
        with_short_objective(RpcSite::rpc(&[endpoint.address])),
    );
    let post = "POST /report-result/12?a=b HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nX-Timeout-Ms: 900\r\nContent-Length: 7\r\n\r\n{\"a\":1}";
    let call = request(1, "report-result", json!({ "key": "k2", "a": 1, "_meta": { "timeoutMs": 900 } }));
    for proxy in [&to_http, &to_rpc] {
        let response = proxy.process.request(post);
        assert_eq!((response.status(), &*response.body), (200, &b"{\"n\":1e400 }"[..]));
        let mut client = proxy.rpc();
        client.send(&call);
        assert!(client.try_receive_text().expect("a response").contains("\"result\":{\"n\":1e400 }"));
    }
    let (by_http, by_rpc) = (http.request().1, http.request().1);
    assert_eq!(
        (&*by_http.line, &*by_rpc.line),
        ("POST /report-result/12?a=b HTTP/1.1", "POST /report-result/k2 HTTP/1.1")
    );
    assert_eq!(by_rpc.header("Idempotency-Key"), Some("k2"));
    assert_eq!(serde_json::from_slice::<Value>(&by_rpc.body).expect("JSON")["a"], 1);
    let (from_http, from_rpc) = (endpoint.request().1, endpoint.request().1);
    assert_eq!((&from_http["method"], &from_http["params"]["a"]), (&json!("report-result"), &json!(1)));
    let meta = &from_http["params"]["_meta"];
    assert_eq!((&meta["key"], &meta["path"]), (&json!("k"), &json!("/report-result/12?a=b")));
    assert!((1..=900).contains(&meta["timeoutMs"].as_u64().expect("a time")));
    let params = &from_rpc["params"];
    assert_eq!(
        (&params["key"], &params["_meta"]["key"], &params["a"]),
        (&json!("k2"), &json!("k2"), &json!(1))
    );
}

#[test]
fn an_idempotency_key_is_executed_once_across_protocols() {
    let release = Arc::new(Release::default());
    let endpoint = MockRpcEndpoint::new(
        Framing::Lines,
        [
            RpcBehavior::ResultOnRelease(Arc::clone(&release), json!("done")),
            RpcBehavior::Result(json!("again")),
        ],
    );
    let proxy =
        DualProtocolProxy::start(&RpcSite { key_window_ms: 4_000, ..RpcSite::rpc(&[endpoint.address]) });
    let post = |key: &str| {
        let head = format!("POST /report-result/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {key}\r\nContent-Length: 0\r\n\r\n");
        proxy.process.request(&head)
    };
    let mut client = proxy.rpc();
    client.send(&request(1, "report-result", json!({ "key": "k" })));
    endpoint.request();
    // While the first is in progress, its key is rejected over both protocols.
    let rejection = post("k");
    assert_eq!((rejection.status(), rejection.header("X-Refusal-Cause")), (409, Some("key-open")));
    let rejection = proxy.rpc().call(2, "report-result", json!({ "key": "k" }));
    assert_eq!((code(&rejection), &rejection["error"]["data"]["cause"]), (-32003, &json!("key-open")));
    assert_eq!(rejection["error"]["data"]["retryAfterMs"], 1000);
    release.release();
    assert_eq!(client.receive()["result"], "done");
    let served_at = Instant::now();
    // Once it is served, its key gets the stored response, and nothing is sent upstream.
    assert_eq!(post("k").body, b"\"done\"");
    assert_eq!(proxy.rpc().call(3, "report-result", json!({ "key": "k" }))["result"], "done");
    assert!(endpoint.requests().is_empty());
    // Another key is executed, and so is this key again after its window.
    assert_eq!(post("l").body, b"\"again\"");
    thread::sleep(Duration::from_millis(4_100).saturating_sub(served_at.elapsed()));
    assert_eq!(post("k").body, b"\"again\"");
    assert_eq!(endpoint.requests().len(), 2);
    // Of two simultaneous requests with a key one is executed, and the other rejected or answered with its
    // response.
    for round in 0..50 {
        let key = format!("r{round}");
        let (mut http, mut rpc) = (proxy.process.connect(), proxy.rpc());
        let body = format!("POST /report-result/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {key}\r\nContent-Length: 0\r\n\r\n");
        http.send(&body);
        rpc.send(&request(round, "report-result", json!({ "key": key })));
        let (by_http, by_rpc) = (http.receive().status(), rpc.receive());
        assert!(by_http == 200 || by_http == 409, "{by_http}");
        assert!(by_rpc["result"] == "again" || code(&by_rpc) == -32003, "{by_rpc}");
        assert_eq!(endpoint.requests().len(), 1, "round {round}");
    }
}

#[test]
fn at_the_key_limit_new_keys_are_rejected_and_none_is_executed_twice() {
    let endpoint = MockRpcEndpoint::new(Framing::Lines, [RpcBehavior::Result(json!("z".repeat(100)))]);
    let site = RpcSite {
        server_settings: "keys = { entries = 3, bytes = 250 }\n".to_owned(),
        ..RpcSite::rpc(&[endpoint.address])
    };
    let proxy = DualProtocolProxy::start(&site);
    let mut client = proxy.rpc();
    let mut call = |key: &str| client.call(1, "report-result", json!({ "key": key }));
    for key in ["a", "b", "c"] {
        assert!(call(key)["result"].is_string(), "{key}");
    }
    let full = call("d");
    assert_eq!((code(&full), &full["error"]["data"]["cause"]), (-32000, &json!("keys")));
    assert!(full["error"]["data"]["retryAfterMs"].as_u64() > Some(1_000));
    let done = call("a");
    assert_eq!((code(&done), &done["error"]["data"]["cause"]), (-32003, &json!("key-done")));
    assert_eq!(endpoint.requests().len(), 3);
}

// ---- Configuration ----

#[test]
fn configuration_errors_are_reported() {
    let site = RpcSite::rpc(&["127.0.0.1:9".parse().expect("an address")]);
    let good = site.config();
    for (from, to, message) in [
        ("protocol = \"json-rpc\"", "protocol = \"grpc\"", "`protocol`: \"grpc\" is none"),
        ("framing = \"line\"", "framing = \"lines\"", "`framing`: \"lines\" is none"),
        ("framing = \"line\"", "calls = 0", "`calls`: 0 is not from 1 to 1024"),
        (
            "[[class]]",
            "[[method]]\nname = \"a\"\nclass = \"standing\"\n[[class]]",
            "there is no class `standing`",
        ),
        (
            "[[class]]",
            "[[method]]\nname = \"a\"\nclass = \"standings\"\npath = \"x\"\n[[class]]",
            "`path`: \"x\" is no path",
        ),
        ("[[class]]", "[members]\nkey = \"a.b.c\"\n[[class]]", "`key`: \"a.b.c\" is no member"),
    ] {
        let (mut child, _) = spawn_standalone(&good.replacen(from, to, 1), &[]);
        let mut stderr_text = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut stderr_text).expect("text");
        assert_eq!(child.wait().expect("the program exits").code(), Some(2), "{message}");
        assert!(stderr_text.contains(message), "{stderr_text}");
    }
}

#[test]
fn methods_and_members_follow_the_configuration() {
    let http = MockEndpoint::new([ok("{}")]);
    let more = "[[method]]\nname = \"rank\"\nclass = \"standings\"\npath = \"/standings/{where.event}\"\nverb = \"POST\"\n[members]\ntimeout_ms = \"wait\"\nkey = \"_meta.dedup\"\n";
    let proxy = DualProtocolProxy::start(&RpcSite {
        extra_config: more.to_owned(),
        latency_objective_ms: 300,
        ..RpcSite::http(&[http.address])
    });
    let mut client = proxy.rpc();
    client.call(1, "rank", json!({ "where": { "event": 12 }, "wait": 700 }));
    let received = http.request().1;
    assert_eq!(received.line, "POST /standings/12 HTTP/1.1");
    assert!(received.header("X-Timeout-Ms").and_then(|ms| ms.parse::<u64>().ok()) <= Some(700));
    client.call(2, "report-result", json!({ "_meta": { "dedup": "k" } }));
    assert_eq!(http.request().1.header("Idempotency-Key"), Some("k"));
    assert_eq!(
        code(&client.call(3, "standings", json!({}))),
        -32601,
        "a class with a configured method is callable by its own name"
    );
    for bad in [json!({ "wait": -1 }), json!({ "wait": "soon" }), json!({ "wait": 0 }), json!({ "wait": {} })]
    {
        assert_eq!(code(&client.call(4, "rank", bad.clone())), -32602, "{bad}");
    }
    client.send(r#"{"jsonrpc":"2.0","id":5,"method":"rank","params":{"wait":5,"wait":6}}"#);
    assert_eq!(code(&client.receive()), -32602);
    assert_eq!(http.requests().len(), 0);
    // No member of a call can add a line or a path segment to an HTTP head.
    let response = client.call(6, "rank", json!({ "where": { "event": "a\r\nX: y/../?#" } }));
    assert_eq!(code(&response), -32602, "a member with a path segment or a line break was accepted");
    assert_eq!(http.requests().len(), 0);
    client.call(7, "rank", json!({ "where": { "event": "a b?#" } }));
    assert_eq!(http.request().1.line, "POST /standings/a%20b%3F%23 HTTP/1.1");
    let _ = TcpStream::connect(proxy.rpc).expect("connects");
}
