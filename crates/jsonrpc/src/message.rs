//! Parses the content of a frame into messages.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::object::{members_with_repeats, BorrowedText};
use crate::{code, Limits};

/// The content of a frame.
#[derive(Debug)]
pub enum Parsed<'a> {
    /// A single message.
    One(MessageResult<'a>),
    /// A batch; never empty.
    Batch(Vec<MessageResult<'a>>),
}

/// A message, or the reason why it is invalid.
pub type MessageResult<'a> = Result<Message<'a>, InvalidMessage<'a>>;

/// A message.
#[derive(Debug)]
pub enum Message<'a> {
    /// A request or notification.
    Call(Call<'a>),
    /// A response.
    Response(Response<'a>),
}

/// A request, or a notification if it has no id.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The id as it was sent: a string, a whole number or null.
    pub id: Option<&'a RawValue>,
    /// The name of the method.
    pub method: Cow<'a, str>,
    /// The parameters, an array or object.
    pub params: Option<&'a RawValue>,
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response<'a> {
    /// The id as it was sent.
    pub id: &'a RawValue,
    /// The result, or the error object.
    pub outcome: Result<&'a RawValue, &'a RawValue>,
}

/// The reason why a frame or an entry of a batch is not a message.
#[derive(Clone, Debug)]
pub struct InvalidMessage<'a> {
    /// The id for the error response, if there is a valid one.
    pub id: Option<&'a RawValue>,
    /// The error code.
    pub code: i64,
    /// The error message.
    pub reason: &'static str,
}

impl<'a> InvalidMessage<'a> {
    fn new(code: i64, reason: &'static str) -> Self {
        InvalidMessage { id: None, code, reason }
    }

    fn request(id: Option<&'a RawValue>, reason: &'static str) -> Self {
        InvalidMessage { id, code: code::INVALID_REQUEST, reason }
    }
}

impl Response<'_> {
    /// Returns the code and message of the error, or `None` if the response has a result or a malformed error
    /// object.
    #[must_use]
    pub fn error(&self) -> Option<(i64, String)> {
        #[derive(Deserialize)]
        struct ErrorObject {
            code: i64,
            #[serde(default)]
            message: String,
        }
        let error: ErrorObject = serde_json::from_str(self.outcome.err()?.get()).ok()?;
        Some((error.code, error.message))
    }
}

/// Parses the content of a frame.
///
/// # Errors
/// If it is not JSON, or exceeds a limit. One error response is sent for the whole frame.
pub fn parse<'a>(frame: &'a [u8], limits: &Limits) -> Result<Parsed<'a>, InvalidMessage<'a>> {
    if frame.len() > limits.message_bytes {
        return Err(InvalidMessage::new(code::TOO_LARGE, "more bytes than are taken"));
    }
    let text = std::str::from_utf8(frame).map_err(|_| InvalidMessage::new(code::PARSE_ERROR, "not UTF-8"))?;
    if nesting_depth(frame) > limits.nesting_depth {
        return Err(InvalidMessage::new(code::PARSE_ERROR, "deeper than is taken"));
    }
    let not_json = |_| InvalidMessage::new(code::PARSE_ERROR, "not JSON");
    let json: &RawValue = serde_json::from_str(text).map_err(not_json)?;
    if !json.get().starts_with('[') {
        return Ok(Parsed::One(parse_message(json, limits)));
    }
    let entries: Vec<&RawValue> = serde_json::from_str(json.get()).map_err(not_json)?;
    if entries.is_empty() {
        return Ok(Parsed::One(Err(InvalidMessage::new(code::INVALID_REQUEST, "an empty batch"))));
    }
    if entries.len() > limits.batch_entries {
        return Err(InvalidMessage::new(code::TOO_LARGE, "more entries than are taken"));
    }
    Ok(Parsed::Batch(entries.into_iter().map(|entry| parse_message(entry, limits)).collect()))
}

/// Returns the maximum nesting depth of arrays and objects.
fn nesting_depth(json: &[u8]) -> usize {
    let mut depth = 0_usize;
    let mut deepest = 0;
    let mut is_quoted = false;
    let mut is_escaped = false;
    for byte in json {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_quoted => is_escaped = true,
            b'"' => is_quoted = !is_quoted,
            b'[' | b'{' if !is_quoted => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' if !is_quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

fn parse_message<'a>(json: &'a RawValue, limits: &Limits) -> MessageResult<'a> {
    let Some(envelope) = Envelope::parse(json) else {
        return Err(InvalidMessage::request(None, "not an object"));
    };
    if envelope.has_repeats {
        // It is ambiguous which of the values is meant, also for the id.
        return Err(InvalidMessage::request(None, "a member is there twice"));
    }
    let id = envelope.id.filter(|id| is_valid_id(id, limits));
    if envelope.id.is_some() && id.is_none() {
        let reason = "an id is a string, a whole number or null, of some bytes at most";
        return Err(InvalidMessage::request(None, reason));
    }
    if envelope.jsonrpc.map(RawValue::get) != Some("\"2.0\"") {
        return Err(InvalidMessage::request(id, "`jsonrpc` is not \"2.0\""));
    }
    match (envelope.method, envelope.result, envelope.error) {
        (Some(method), None, None) => parse_call(id, method, envelope.params).map(Message::Call),
        (None, result, error) if envelope.params.is_none() => {
            parse_response(id, result, error).map(Message::Response)
        }
        _ => Err(InvalidMessage::request(id, NOT_A_MESSAGE)),
    }
}

const NOT_A_MESSAGE: &str = "neither a request nor a response";

fn parse_call<'a>(
    id: Option<&'a RawValue>,
    method: &'a RawValue,
    params: Option<&'a RawValue>,
) -> Result<Call<'a>, InvalidMessage<'a>> {
    let Ok(BorrowedText(method)) = serde_json::from_str(method.get()) else {
        return Err(InvalidMessage::request(id, "`method` is no string"));
    };
    if params.is_some_and(|params| !params.get().starts_with(['[', '{'])) {
        return Err(InvalidMessage::request(id, "`params` are an array or an object"));
    }
    Ok(Call { id, method, params })
}

fn parse_response<'a>(
    id: Option<&'a RawValue>,
    result: Option<&'a RawValue>,
    error: Option<&'a RawValue>,
) -> Result<Response<'a>, InvalidMessage<'a>> {
    match (id, result, error) {
        (Some(id), Some(result), None) => Ok(Response { id, outcome: Ok(result) }),
        (Some(id), None, Some(error)) if error.get().starts_with('{') => {
            Ok(Response { id, outcome: Err(error) })
        }
        _ => Err(InvalidMessage::request(id, NOT_A_MESSAGE)),
    }
}

/// Returns whether the id is a string, a whole number or null, and within its limit.
fn is_valid_id(id: &RawValue, limits: &Limits) -> bool {
    let text = id.get();
    if text.len() > limits.id_bytes {
        return false;
    }
    if text.starts_with('"') {
        // A string with an escaped lone surrogate is not valid Unicode, so it could not be sent back.
        return serde_json::from_str::<BorrowedText<'_>>(text).is_ok();
    }
    let digits = text.strip_prefix('-').unwrap_or(text);
    let is_whole_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    text == "null" || is_whole_number
}

/// The members of a message that the protocol defines. It is parsed by hand because a derived deserializer
/// does not distinguish `"id": null` from a missing id.
#[derive(Default)]
struct Envelope<'a> {
    jsonrpc: Option<&'a RawValue>,
    id: Option<&'a RawValue>,
    method: Option<&'a RawValue>,
    params: Option<&'a RawValue>,
    result: Option<&'a RawValue>,
    error: Option<&'a RawValue>,
    /// Whether one of these members occurs more than once.
    has_repeats: bool,
}

impl<'a> Envelope<'a> {
    /// Returns `None` if `json` is not an object.
    fn parse(json: &'a RawValue) -> Option<Envelope<'a>> {
        let mut envelope = Envelope::default();
        for (name, value) in members_with_repeats(json.get())? {
            let member = match &*name {
                "jsonrpc" => &mut envelope.jsonrpc,
                "id" => &mut envelope.id,
                "method" => &mut envelope.method,
                "params" => &mut envelope.params,
                "result" => &mut envelope.result,
                "error" => &mut envelope.error,
                _ => continue,
            };
            envelope.has_repeats |= member.replace(value).is_some();
        }
        Some(envelope)
    }
}
