//! The mapping between JSON-RPC and HTTP in both directions, as the table in `docs/operators/jsonrpc.md`
//! defines it.
//!
//! A call from a client is converted to an HTTP request, to be routed and admitted like any other request. A
//! request to a JSON-RPC endpoint is converted to a call. Nothing here does I/O.

mod call_to_http;
mod http_to_call;

use hyper::header::HeaderValue;
use serde_json::value::RawValue;

pub use call_to_http::{call_to_http_body, call_to_http_head, http_response_to_result};
pub use http_to_call::{buffered_body, carries_meta, http_request_to_call, result_to_http_response};

const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");

fn is_json(text: &str) -> bool {
    serde_json::from_str::<&RawValue>(text).is_ok()
}

#[cfg(test)]
mod tests;
