//! The mapping in both directions, as the table in `docs/operators/jsonrpc.md` defines it. A difference would
//! lose members of a call, or let a client overwrite members that only this proxy may set.

use std::sync::Arc;

use config::{Members, Method, PathTemplate};
use jsonrpc::{parse, Limits, Parsed};

use bytes::Bytes;
use config::{HttpMethod, Methods};
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use jsonrpc::Call;
use serde_json::{json, Value};

use super::*;
use crate::exchange::{RpcCall, UpstreamRequest, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER};
use crate::router::{CLASS_HEADER, TENANT_HEADER};

fn methods() -> Methods {
    let key = Members::default().key;
    let method = |name: &str, verb, path| Method { name: name.into(), class: 0, http_method: verb, path };
    Methods {
        all: vec![
            method("standings", HttpMethod::Get, PathTemplate::of_method("standings", &key)),
            method("report", HttpMethod::Post, PathTemplate::parse("/report/{table}").expect("a path")),
        ],
        members: Members::default(),
    }
}

fn with_call<T>(json: &str, check: impl FnOnce(&Call<'_>) -> T) -> T {
    let Ok(Parsed::One(Ok(jsonrpc::Message::Call(call)))) = parse(json.as_bytes(), &Limits::default()) else {
        panic!("no call: {json}")
    };
    check(&call)
}

#[test]
fn calls_map_to_http_requests() {
    let json = r#"{"jsonrpc":"2.0","id":1,"method":"report","params":{"table":12,"key":"k 1","_meta":{"timeoutMs":900,"tenant":"a","requestId":"r"}}}"#;
    with_call(json, |call| {
        let (head, class) = call_to_http_head(&methods(), "club.example", call).expect("a head");
        let field = |name: &str| head.headers.get(name).map(|v| v.to_str().expect("text"));
        assert_eq!((head.method.as_str(), head.uri.path(), class), ("POST", "/report/12", Some(0)));
        assert_eq!(
            (field("host"), field(IDEMPOTENCY_KEY_HEADER), field(TIMEOUT_HEADER)),
            (Some("club.example"), Some("k 1"), Some("900"))
        );
        assert_eq!(
            (field(TENANT_HEADER), field(REQUEST_ID_HEADER), field(CLASS_HEADER)),
            (Some("a"), Some("r"), None)
        );
        let frame = Bytes::copy_from_slice(json.as_bytes());
        let Ok(Parsed::One(Ok(jsonrpc::Message::Call(call)))) = parse(&frame, &Limits::default()) else {
            panic!("no call")
        };
        assert!(call_to_http_body(&head, &call, &frame).starts_with(b"{\"table\":12"));
    });
    let get = r#"{"jsonrpc":"2.0","id":1,"method":"standings","params":{"key":"ü/","a":1}}"#;
    with_call(get, |call| {
        let (head, _) = call_to_http_head(&methods(), "h", call).expect("a head");
        assert_eq!(head.uri.path(), "/standings/%C3%BC%2F");
        assert!(head.uri.query().expect("params").starts_with("params=%7B%22key%22"));
    });
    let none = r#"{"jsonrpc":"2.0","id":1,"method":"other"}"#;
    with_call(none, |call| {
        assert_eq!(call_to_http_head(&methods(), "h", call).err(), Some(StatusCode::NOT_FOUND))
    });
    for bad in
        [r#"{"key":"a","key":"b"}"#, r#"{"key":{}}"#, r#"{"key":"a\nb"}"#, r#"{"_meta":{"timeoutMs":1.5}}"#]
    {
        let json = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"report","params":{bad}}}"#);
        with_call(&json, |call| {
            assert_eq!(call_to_http_head(&methods(), "h", call).err(), Some(StatusCode::BAD_REQUEST), "{bad}")
        });
    }
}

fn message(body: &str, called: RpcCall) -> (UpstreamRequest, Bytes) {
    let body = Bytes::copy_from_slice(body.as_bytes());
    let request = Request::builder()
        .method("POST")
        .uri("/report/1?a=b")
        .header(REQUEST_ID_HEADER, "r")
        .header(IDEMPOTENCY_KEY_HEADER, "k");
    let mut message = request.body(body.clone().into()).expect("a request");
    message.extensions_mut().insert(called);
    (message, body)
}

#[test]
fn http_requests_map_to_calls() {
    let received_over_http = RpcCall { method: Arc::from("report"), params: None, received_over_http: true };
    let params = |body: &str, called: RpcCall| {
        let (message, bytes) = message(body, called);
        assert_eq!(super::buffered_body(&message), bytes);
        let call: Value =
            serde_json::from_slice(&http_request_to_call(&message, &bytes, "\"i\"", 70)).expect("JSON");
        assert_eq!((&call["id"], &call["method"]), (&json!("i"), &json!("report")));
        call["params"].clone()
    };
    let meta =
        json!({ "timeoutMs": 70, "requestId": "r", "key": "k", "verb": "POST", "path": "/report/1?a=b" });
    assert_eq!(params(r#"{"a":1}"#, received_over_http.clone()), json!({ "a": 1, "_meta": meta }));
    assert_eq!(params("1-0", received_over_http.clone()), json!({ "body": "1-0", "_meta": meta }));
    assert_eq!(params("", received_over_http.clone()), json!({ "_meta": meta }));
    assert_eq!(params("[1,2]", received_over_http), json!([1, 2]));
    let sent = Bytes::from_static(br#"{"a":1e400,"_meta":{"timeoutMs":5000,"trace":"t","key":"lie"}}"#);
    let by_rpc = RpcCall { method: Arc::from("report"), params: Some(sent), received_over_http: false };
    let (message, bytes) = message("", by_rpc);
    let call = String::from_utf8(http_request_to_call(&message, &bytes, "1", 70)).expect("text");
    assert!(call.contains(r#""a":1e400"#), "a number that no double can represent is unchanged: {call}");
    assert!(call.contains(r#""timeoutMs":70"#) && call.contains(r#""trace":"t""#), "{call}");
    assert!(call.contains(r#""key":"k""#) && !call.contains("lie"), "{call}");
}

#[test]
fn http_responses_map_to_results() {
    let typed =
        |kind: &'static str| HeaderMap::from_iter([(header::CONTENT_TYPE, HeaderValue::from_static(kind))]);
    assert_eq!(
        http_response_to_result(&typed("application/json; charset=utf-8"), b" {\"a\":1e400}\n"),
        "{\"a\":1e400}"
    );
    assert_eq!(http_response_to_result(&typed("application/json"), b"{"), "\"{\"");
    assert_eq!(http_response_to_result(&typed("text/plain"), b"42"), "\"42\"");
    assert_eq!(http_response_to_result(&HeaderMap::new(), b""), "null");
    assert_eq!(http_response_to_result(&HeaderMap::new(), b"\xff"), r#"{"base64":"/w=="}"#);
}
