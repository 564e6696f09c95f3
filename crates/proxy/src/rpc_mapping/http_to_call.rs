//! Conversion of HTTP requests to calls to JSON-RPC endpoints, and of the calls' results to HTTP responses.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use hyper::{header, HeaderMap};
use jsonrpc::object_members;
use serde_json::value::RawValue;
use serde_json::{json, Value};

use super::{is_json, JSON_CONTENT_TYPE};
use crate::exchange::{RpcCall, UpstreamRequest, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use crate::router::single_header_value;

/// The member of `params` that contains the information from the HTTP head.
const META_MEMBER: &str = "_meta";

/// Converts a request to a call to an endpoint. `id` is JSON; `time_left_ms` is the remaining time of the
/// client in milliseconds.
pub fn http_request_to_call(request: &UpstreamRequest, body: &Bytes, id: &str, time_left_ms: u64) -> Vec<u8> {
    let method = rpc_call(request).map_or("", |call| &*call.method);
    let received_over_http = is_received_over_http(request);
    let params = match sent_params(sent_bytes(request, body)) {
        SentParams::Positional(array) => array,
        SentParams::ByName(object) => {
            let own_meta = meta_members(request, received_over_http, time_left_ms);
            add_meta(&object, &own_meta)
        }
    };
    let params = RawValue::from_string(params).ok();
    jsonrpc::encode_request(Some(id), method, params.as_deref())
}

/// Whether the call to which a request is converted contains the information from the HTTP head, such as its
/// idempotency key. Positional `params` have no place for it.
pub fn carries_meta(request: &UpstreamRequest) -> bool {
    matches!(sent_params(sent_bytes(request, &buffered_body(request))), SentParams::ByName(_))
}

fn rpc_call(request: &UpstreamRequest) -> Option<&RpcCall> {
    request.extensions().get()
}

fn is_received_over_http(request: &UpstreamRequest) -> bool {
    rpc_call(request).is_none_or(|call| call.received_over_http)
}

/// The bytes that are converted to `params`: the body of an HTTP request, or the `params` of a call.
fn sent_bytes<'a>(request: &'a UpstreamRequest, body: &'a Bytes) -> Option<&'a Bytes> {
    if is_received_over_http(request) {
        Some(body)
    } else {
        rpc_call(request).and_then(|call| call.params.as_ref())
    }
}

/// Converts a result to the headers and body of an HTTP response.
pub fn result_to_http_response(result: &RawValue) -> (HeaderMap, Bytes) {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, JSON_CONTENT_TYPE);
    (headers, Bytes::copy_from_slice(result.get().as_bytes()))
}

/// The body of a request to a JSON-RPC endpoint, which is always buffered.
pub fn buffered_body(request: &UpstreamRequest) -> Bytes {
    request.body().buffered().unwrap_or_default()
}

/// The `params` that a client sent, as JSON.
enum SentParams {
    /// An array, which is forwarded unchanged.
    Positional(String),
    /// An object, to which [`META_MEMBER`] is added.
    ByName(String),
}

/// Converts received bytes to `params`: a JSON object or array unchanged; anything else as the member `body`,
/// in Base64 if it is not text.
fn sent_params(sent: Option<&Bytes>) -> SentParams {
    let Some(bytes) = sent.filter(|bytes| !bytes.is_empty()) else {
        return SentParams::ByName("{}".to_owned());
    };
    let Ok(text) = std::str::from_utf8(bytes) else {
        return SentParams::ByName(json!({ "body": { "base64": STANDARD.encode(bytes) } }).to_string());
    };
    let text = text.trim();
    if text.starts_with('[') && is_json(text) {
        SentParams::Positional(text.to_owned())
    } else if text.starts_with('{') && object_members(text).is_some() {
        SentParams::ByName(text.to_owned())
    } else {
        SentParams::ByName(json!({ "body": text }).to_string())
    }
}

/// The members that this proxy sets in [`META_MEMBER`].
fn meta_members(
    request: &UpstreamRequest,
    received_over_http: bool,
    time_left_ms: u64,
) -> Vec<(&'static str, Value)> {
    let header = |name: &str| single_header_value(request.headers(), name).ok().flatten();
    let mut members: Vec<(&'static str, Value)> = vec![("timeoutMs", time_left_ms.into())];
    members.extend(header(REQUEST_ID_HEADER).map(|id| ("requestId", id.into())));
    members.extend(header(IDEMPOTENCY_KEY_HEADER).map(|key| ("key", key.into())));
    if received_over_http {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        members.push(("verb", request.method().as_str().into()));
        members.push(("path", path.into()));
    }
    members
}

/// Adds this proxy's members of [`META_MEMBER`] to an object. They replace the client's members with the same
/// name; the client's other members are kept.
fn add_meta(object: &str, own_meta: &[(&str, Value)]) -> String {
    let members = object_members(object).unwrap_or_default();
    let client_meta = members.iter().find(|(name, _)| name == META_MEMBER);
    let client_meta = client_meta.and_then(|(_, value)| object_members(value.get())).unwrap_or_default();
    let mut meta: Vec<String> = own_meta.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    let is_own = |name: &str| own_meta.iter().any(|(own_name, _)| *own_name == name);
    let others = client_meta.iter().filter(|(name, _)| !is_own(name));
    meta.extend(others.map(|(name, value)| encode_member(name, value)));
    let others = members.iter().filter(|(name, _)| name != META_MEMBER);
    let mut encoded: Vec<String> = others.map(|(name, value)| encode_member(name, value)).collect();
    encoded.push(format!("\"{META_MEMBER}\":{{{}}}", meta.join(",")));
    format!("{{{}}}", encoded.join(","))
}

fn encode_member(name: &str, value: &RawValue) -> String {
    format!("{}:{}", Value::from(name), value.get())
}
