//! The one mapping between JSON-RPC and HTTP, both ways, as `docs/operators/jsonrpc.md` has it in a table. Pure: a call
//! has a form in HTTP, by which it is routed and decided like any request; a request has a form as a call.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use config::{escape, Member, Methods, Verb};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use jsonrpc::{object_members, Call};
use serde_json::value::RawValue;
use serde_json::{json, Value};

use crate::exchange::{RpcCall, UpstreamRequest, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER};
use crate::router::{single_header_value, CLASS_HEADER, TENANT_HEADER};

/// The longest query that carries a call's `params`, in bytes as encoded.
const MOST_QUERY: usize = 8 << 10;
/// Where a call to a node says what HTTP says in its head.
const META: &str = "_meta";
const JSON: HeaderValue = HeaderValue::from_static("application/json");

// ---- Calls as requests ----

/// The head of a call in HTTP, and its class if the method alone says it.
///
/// # Errors
/// 404 for no such method; 400 for `params` that cannot be read in one way.
pub fn head_of(methods: &Methods, host: &str, call: &Call<'_>) -> Result<(Parts, Option<usize>), StatusCode> {
    const BAD: StatusCode = StatusCode::BAD_REQUEST;
    let method = methods.named(&call.method).ok_or(StatusCode::NOT_FOUND)?;
    let params = Params::read(call.params).ok_or(BAD)?;
    let mut path = method.path.fill(|member| params.get(member).and_then(word));
    if let (Verb::Get, Some(raw)) = (method.verb, call.params) {
        path.push_str("?params=");
        escape(raw.get(), &mut path);
        if path.len() > MOST_QUERY {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
    }
    let verb = match method.verb {
        Verb::Get => hyper::Method::GET,
        Verb::Post => hyper::Method::POST,
    };
    let head = Request::builder().method(verb).uri(path).header(header::HOST, host);
    let (mut head, ()) = head.body(()).map_err(|_| BAD)?.into_parts();
    let mut says = |member: &Member, field: &'static str| -> Result<bool, StatusCode> {
        let Some(raw) = params.get(member) else { return Ok(false) };
        let value = word(raw).and_then(|w| HeaderValue::try_from(w).ok()).ok_or(BAD)?;
        head.headers.insert(HeaderName::from_static(field), value);
        Ok(true)
    };
    let names = &methods.members;
    says(&names.key, IDEMPOTENCY_KEY_HEADER)?;
    says(&names.timeout_ms, TIMEOUT_HEADER)?;
    says(&names.tenant, TENANT_HEADER)?;
    says(&names.id, REQUEST_ID_HEADER)?;
    let class = if says(&names.class, CLASS_HEADER)? { None } else { Some(method.class) };
    if method.verb == Verb::Post && call.params.is_some() {
        head.headers.insert(header::CONTENT_TYPE, JSON);
    }
    Ok((head, class))
}

/// The body of a call in HTTP. `frame` is what the call was read from, and is not copied.
pub fn body_of(head: &Parts, call: &Call<'_>, frame: &Bytes) -> Bytes {
    match call.params {
        Some(params) if head.method == hyper::Method::POST => frame.slice_ref(params.get().as_bytes()),
        _ => Bytes::new(),
    }
}

/// The members of `params` that say something, by name; none where they stand by position.
struct Params<'a>(Vec<(std::borrow::Cow<'a, str>, &'a RawValue)>);

impl<'a> Params<'a> {
    /// None where a member is there twice.
    fn read(params: Option<&'a RawValue>) -> Option<Params<'a>> {
        match params.map(RawValue::get) {
            Some(raw) if raw.starts_with('{') => object_members(raw).map(Params),
            _ => Some(Params(Vec::new())),
        }
    }

    fn get(&self, member: &Member) -> Option<&'a RawValue> {
        let named = |all: &[(std::borrow::Cow<'a, str>, &'a RawValue)], name: &str| {
            all.iter().find(|(n, _)| n == name).map(|(_, raw)| *raw)
        };
        match &member.within {
            None => named(&self.0, &member.name),
            Some(within) => named(&object_members(named(&self.0, within)?.get())?, &member.name),
        }
    }
}

/// A string, or a whole number in its digits.
fn word(raw: &RawValue) -> Option<String> {
    let text = raw.get();
    if text.starts_with('"') {
        return serde_json::from_str(text).ok();
    }
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.to_owned())
}

/// A node's answer over HTTP as a result: JSON as it is, text as a string, other bytes in Base64.
pub fn result_of(headers: &HeaderMap, body: &[u8]) -> String {
    let is_json = headers.get(header::CONTENT_TYPE).is_some_and(|v| {
        let kind = v.as_bytes().split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        kind.eq_ignore_ascii_case(b"application/json")
    });
    match std::str::from_utf8(body) {
        Ok(text) if is_json && serde_json::from_str::<&RawValue>(text).is_ok() => text.trim().to_owned(),
        Ok("") => "null".to_owned(),
        Ok(text) => Value::from(text).to_string(),
        Err(_) => json!({ "base64": STANDARD.encode(body) }).to_string(),
    }
}

// ---- Requests as calls ----

/// A request as a call to a node, under an id in JSON and with so much time left.
pub fn call_of(message: &UpstreamRequest, body: &Bytes, id: &str, left_ms: u64) -> Vec<u8> {
    let (method, sent, received_over_http) = match message.extensions().get::<RpcCall>() {
        Some(called) => (&*called.method, called.params.as_ref(), called.received_over_http),
        None => ("", None, true),
    };
    let params =
        params_of(message, if received_over_http { Some(body) } else { sent }, received_over_http, left_ms);
    let params = RawValue::from_string(params).ok();
    jsonrpc::encode_request(Some(id), method, params.as_deref())
}

fn params_of(
    message: &UpstreamRequest,
    sent: Option<&Bytes>,
    received_over_http: bool,
    left_ms: u64,
) -> String {
    let text = |bytes: &Bytes| std::str::from_utf8(bytes).ok().map(|t| t.trim().to_owned());
    let given = match sent.filter(|s| !s.is_empty()) {
        None => Ok("{}".to_owned()),
        Some(bytes) => match text(bytes) {
            Some(json) if json.starts_with('[') && is_json(&json) => return json,
            Some(json) if json.starts_with('{') && object_members(&json).is_some() => Ok(json),
            Some(other) => Err(json!({ "body": other })),
            None => Err(json!({ "body": { "base64": STANDARD.encode(bytes) } })),
        },
    };
    let given = given.unwrap_or_else(|other| other.to_string());
    let header = |name: &str| single_header_value(message.headers(), name).ok().flatten();
    let mut own: Vec<(&str, Value)> = vec![("timeoutMs", left_ms.into())];
    own.extend(header(REQUEST_ID_HEADER).map(|id| ("requestId", id.into())));
    own.extend(header(IDEMPOTENCY_KEY_HEADER).map(|key| ("key", key.into())));
    if received_over_http {
        own.push(("verb", message.method().as_str().into()));
        own.push(("path", message.uri().path_and_query().map_or("/", |p| p.as_str()).into()));
    }
    // What its caller put there besides goes along.
    let all = object_members(&given).unwrap_or_default();
    let theirs = all.iter().find(|(name, _)| name == META).and_then(|(_, raw)| object_members(raw.get()));
    let mut meta: Vec<String> = own.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    let others = theirs.iter().flatten().filter(|(name, _)| own.iter().all(|(n, _)| n != name));
    meta.extend(others.map(|(name, raw)| format!("{}:{}", Value::from(&**name), raw.get())));
    let mut out: Vec<String> = all
        .iter()
        .filter(|(name, _)| name != META)
        .map(|(name, raw)| format!("{}:{}", Value::from(&**name), raw.get()))
        .collect();
    out.push(format!("\"{META}\":{{{}}}", meta.join(",")));
    format!("{{{}}}", out.join(","))
}

fn is_json(text: &str) -> bool {
    serde_json::from_str::<&RawValue>(text).is_ok()
}

/// A node's result as its answer over HTTP.
pub fn answer_of(result: &RawValue) -> (HeaderMap, Bytes) {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, JSON);
    (headers, Bytes::copy_from_slice(result.get().as_bytes()))
}

/// The body of a message, which is whole where calls are spoken.
pub fn body(message: &UpstreamRequest) -> Bytes {
    message.body().buffered().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use config::{Members, Method, Template};
    use jsonrpc::{parse, Limits, Parsed};

    use super::*;

    fn methods() -> Methods {
        let key = Members::default().key;
        let method = |name: &str, verb, path| Method { name: name.into(), class: 0, verb, path };
        Methods {
            all: vec![
                method("standings", Verb::Get, Template::of_method("standings", &key)),
                method("report", Verb::Post, Template::parse("/report/{table}").expect("a path")),
            ],
            members: Members::default(),
        }
    }

    fn call<T>(json: &str, look: impl FnOnce(&Call<'_>) -> T) -> T {
        let Ok(Parsed::One(Ok(jsonrpc::Message::Call(call)))) = parse(json.as_bytes(), &Limits::default())
        else {
            panic!("no call: {json}")
        };
        look(&call)
    }

    #[test]
    fn a_call_has_a_form_in_http() {
        let json = r#"{"jsonrpc":"2.0","id":1,"method":"report","params":{"table":12,"key":"k 1","_meta":{"timeoutMs":900,"tenant":"a","requestId":"r"}}}"#;
        call(json, |call| {
            let (head, class) = head_of(&methods(), "club.example", call).expect("a head");
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
            assert!(body_of(&head, &call, &frame).starts_with(b"{\"table\":12"));
        });
        let get = r#"{"jsonrpc":"2.0","id":1,"method":"standings","params":{"key":"ü/","a":1}}"#;
        call(get, |call| {
            let (head, _) = head_of(&methods(), "h", call).expect("a head");
            assert_eq!(head.uri.path(), "/standings/%C3%BC%2F");
            assert!(head.uri.query().expect("params").starts_with("params=%7B%22key%22"));
        });
        let none = r#"{"jsonrpc":"2.0","id":1,"method":"other"}"#;
        call(none, |call| assert_eq!(head_of(&methods(), "h", call).err(), Some(StatusCode::NOT_FOUND)));
        for bad in [
            r#"{"key":"a","key":"b"}"#,
            r#"{"key":{}}"#,
            r#"{"key":"a\nb"}"#,
            r#"{"_meta":{"timeoutMs":1.5}}"#,
        ] {
            let json = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"report","params":{bad}}}"#);
            call(&json, |call| {
                assert_eq!(head_of(&methods(), "h", call).err(), Some(StatusCode::BAD_REQUEST), "{bad}")
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
    fn a_request_has_a_form_as_a_call() {
        let received_over_http =
            RpcCall { method: Arc::from("report"), params: None, received_over_http: true };
        let params = |body: &str, called: RpcCall| {
            let (message, bytes) = message(body, called);
            assert_eq!(super::body(&message), bytes);
            let call: Value = serde_json::from_slice(&call_of(&message, &bytes, "\"i\"", 70)).expect("JSON");
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
        let call = String::from_utf8(call_of(&message, &bytes, "1", 70)).expect("text");
        assert!(call.contains(r#""a":1e400"#), "a figure that no double holds goes on as it was: {call}");
        assert!(call.contains(r#""timeoutMs":70"#) && call.contains(r#""trace":"t""#), "{call}");
        assert!(call.contains(r#""key":"k""#) && !call.contains("lie"), "{call}");
    }

    #[test]
    fn answers_keep_what_they_say() {
        let typed = |kind: &'static str| {
            HeaderMap::from_iter([(header::CONTENT_TYPE, HeaderValue::from_static(kind))])
        };
        assert_eq!(
            result_of(&typed("application/json; charset=utf-8"), b" {\"a\":1e400}\n"),
            "{\"a\":1e400}"
        );
        assert_eq!(result_of(&typed("application/json"), b"{"), "\"{\"");
        assert_eq!(result_of(&typed("text/plain"), b"42"), "\"42\"");
        assert_eq!(result_of(&HeaderMap::new(), b""), "null");
        assert_eq!(result_of(&HeaderMap::new(), b"\xff"), r#"{"base64":"/w=="}"#);
    }
}
