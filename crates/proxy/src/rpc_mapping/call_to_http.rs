//! Conversion of clients' JSON-RPC calls to HTTP requests, and of HTTP responses to results of the calls.

use std::borrow::Cow;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use config::{escape, HttpMethod, Member, Method, Methods};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use jsonrpc::{object_members, Call};
use serde_json::value::RawValue;
use serde_json::{json, Value};

use super::{is_json, JSON_CONTENT_TYPE};
use crate::exchange::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER};
use crate::router::{CLASS_HEADER, TENANT_HEADER};

/// The maximum length of path and query if a call's `params` are in the query, in encoded bytes.
const MAX_QUERY_BYTES: usize = 8 << 10;
const JSON_MEDIA_TYPE: &[u8] = b"application/json";

/// Converts a call to an HTTP head. Also returns the index of the class if the method alone determines the
/// class.
///
/// # Errors
/// Returns 404 if there is no such method, 400 if `params` are ambiguous or cannot be converted to headers,
/// and 413 if they are too long for the query.
pub fn call_to_http_head(
    methods: &Methods,
    host: &str,
    call: &Call<'_>,
) -> Result<(Parts, Option<usize>), StatusCode> {
    let method = methods.named(&call.method).ok_or(StatusCode::NOT_FOUND)?;
    let params = Params::parse(call.params).ok_or(StatusCode::BAD_REQUEST)?;
    let request = Request::builder()
        .method(http_method(method.http_method))
        .uri(path_and_query(method, &params, call.params)?)
        .header(header::HOST, host);
    let (mut head, ()) = request.body(()).map_err(|_| StatusCode::BAD_REQUEST)?.into_parts();
    let has_class = insert_headers(methods, &params, &mut head.headers)?;
    if method.http_method == HttpMethod::Post && call.params.is_some() {
        head.headers.insert(header::CONTENT_TYPE, JSON_CONTENT_TYPE);
    }
    Ok((head, (!has_class).then_some(method.class)))
}

/// Returns the HTTP body of a call. Shares the bytes of `frame`, from which the call was parsed.
pub fn call_to_http_body(head: &Parts, call: &Call<'_>, frame: &Bytes) -> Bytes {
    match call.params {
        Some(params) if head.method == hyper::Method::POST => frame.slice_ref(params.get().as_bytes()),
        _ => Bytes::new(),
    }
}

/// Converts an HTTP response to a result: JSON unchanged, other text as a string, an empty body as `null`,
/// other bytes in Base64.
pub fn http_response_to_result(headers: &HeaderMap, body: &[u8]) -> String {
    match std::str::from_utf8(body) {
        Ok(text) if has_json_type(headers) && is_json(text) => text.trim().to_owned(),
        Ok("") => "null".to_owned(),
        Ok(text) => Value::from(text).to_string(),
        Err(_) => json!({ "base64": STANDARD.encode(body) }).to_string(),
    }
}

fn has_json_type(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_some_and(|value| {
        let media_type = value.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
        media_type.trim_ascii().eq_ignore_ascii_case(JSON_MEDIA_TYPE)
    })
}

fn http_method(method: HttpMethod) -> hyper::Method {
    match method {
        HttpMethod::Get => hyper::Method::GET,
        HttpMethod::Post => hyper::Method::POST,
    }
}

/// The path of a call, with the members of `params` filled in. For GET, the query contains all `params`.
fn path_and_query(
    method: &Method,
    params: &Params<'_>,
    raw_params: Option<&RawValue>,
) -> Result<String, StatusCode> {
    let mut path = method.path.fill(|member| params.get(member).and_then(scalar_text));
    if let (HttpMethod::Get, Some(raw)) = (method.http_method, raw_params) {
        path.push_str("?params=");
        escape(raw.get(), &mut path);
        if path.len() > MAX_QUERY_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
    }
    Ok(path)
}

/// Inserts the headers that correspond to members of `params`. Returns whether the class header is among
/// them.
fn insert_headers(
    methods: &Methods,
    params: &Params<'_>,
    headers: &mut HeaderMap,
) -> Result<bool, StatusCode> {
    let members = &methods.members;
    let mut insert = |member: &Member, name: &'static str| -> Result<bool, StatusCode> {
        let Some(raw) = params.get(member) else { return Ok(false) };
        let value = scalar_text(raw).and_then(|text| HeaderValue::try_from(text).ok());
        headers.insert(HeaderName::from_static(name), value.ok_or(StatusCode::BAD_REQUEST)?);
        Ok(true)
    };
    insert(&members.key, IDEMPOTENCY_KEY_HEADER)?;
    insert(&members.timeout_ms, TIMEOUT_HEADER)?;
    insert(&members.tenant, TENANT_HEADER)?;
    insert(&members.id, REQUEST_ID_HEADER)?;
    insert(&members.class, CLASS_HEADER)
}

/// The members of `params` by name; empty if `params` are absent or positional.
struct Params<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'a> Params<'a> {
    /// Parses `params`; returns `None` if a member is repeated.
    fn parse(params: Option<&'a RawValue>) -> Option<Params<'a>> {
        match params.map(RawValue::get) {
            Some(raw) if raw.starts_with('{') => object_members(raw).map(Params),
            _ => Some(Params(Vec::new())),
        }
    }

    fn get(&self, member: &Member) -> Option<&'a RawValue> {
        match &member.object {
            None => find_member(&self.0, &member.name),
            Some(outer) => {
                let object = find_member(&self.0, outer)?;
                find_member(&object_members(object.get())?, &member.name)
            }
        }
    }
}

fn find_member<'a>(members: &[(Cow<'a, str>, &'a RawValue)], name: &str) -> Option<&'a RawValue> {
    members.iter().find(|(other, _)| other == name).map(|(_, value)| *value)
}

/// The text of a string or of a whole number; `None` for any other value.
fn scalar_text(raw: &RawValue) -> Option<String> {
    let text = raw.get();
    if text.starts_with('"') {
        return serde_json::from_str(text).ok();
    }
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.to_owned())
}
