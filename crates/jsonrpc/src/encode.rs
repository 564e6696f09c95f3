//! Encodes messages. Raw JSON that was received is written unchanged.

use serde_json::value::RawValue;

fn json_string(text: &str) -> String {
    serde_json::to_string(text).unwrap_or_default()
}

fn id_or_null(id: Option<&RawValue>) -> &str {
    id.map_or("null", RawValue::get)
}

/// Encodes a request, or a notification if `id` is `None`. `id` is JSON.
#[must_use]
pub fn encode_request(id: Option<&str>, method: &str, params: Option<&RawValue>) -> Vec<u8> {
    let mut json = String::from("{\"jsonrpc\":\"2.0\"");
    if let Some(id) = id {
        json.push_str(",\"id\":");
        json.push_str(id);
    }
    json.push_str(",\"method\":");
    json.push_str(&json_string(method));
    if let Some(params) = params {
        json.push_str(",\"params\":");
        json.push_str(params.get());
    }
    json.push('}');
    json.into_bytes()
}

/// Encodes a response with a result, which is JSON. The id is null if `id` is `None`.
#[must_use]
pub fn encode_response(id: Option<&RawValue>, result: &str) -> Vec<u8> {
    let id = id_or_null(id);
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{result}}}").into_bytes()
}

/// Encodes a response with an error; `data` is JSON. The id is null if `id` is `None`.
#[must_use]
pub fn encode_error(id: Option<&RawValue>, code: i64, message: &str, data: Option<&str>) -> Vec<u8> {
    let id = id_or_null(id);
    let message = json_string(message);
    let data = data.map_or_else(String::new, |data| format!(",\"data\":{data}"));
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":{message}{data}}}}}")
        .into_bytes()
}

/// Encodes the response to a batch from the encoded responses to its entries. Returns `None` if there are no
/// responses: then nothing is sent.
#[must_use]
pub fn encode_batch(responses: &[Vec<u8>]) -> Option<Vec<u8>> {
    if responses.is_empty() {
        return None;
    }
    let mut json = vec![b'['];
    json.extend(responses.join(&b','));
    json.push(b']');
    Some(json)
}
