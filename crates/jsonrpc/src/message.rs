//! What a frame holds.

use std::borrow::Cow;
use std::fmt;

use serde::de::{self, Deserializer, IgnoredAny, MapAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{code, Bounds};

/// What a frame holds.
#[derive(Debug)]
pub enum Parsed<'a> {
    /// One message.
    One(Entry<'a>),
    /// Several; never none.
    Batch(Vec<Entry<'a>>),
}

/// A message, or why it is none.
pub type Entry<'a> = Result<Body<'a>, Invalid<'a>>;

/// A message.
#[derive(Debug)]
pub enum Body<'a> {
    /// A request or notification.
    Call(Call<'a>),
    /// An answer.
    Response(Response<'a>),
}

/// A request; without an id a notification.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// As it was sent: a string, a whole number or null.
    pub id: Option<&'a RawValue>,
    /// The method.
    pub method: Cow<'a, str>,
    /// An array or object, if there are any.
    pub params: Option<&'a RawValue>,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Response<'a> {
    /// As it was sent.
    pub id: &'a RawValue,
    /// The result, or the error object.
    pub outcome: Result<&'a RawValue, &'a RawValue>,
}

/// Why something is no message, and the id to say so with where it has one.
#[derive(Clone, Debug)]
pub struct Invalid<'a> {
    /// The id, if there is one that can be read.
    pub id: Option<&'a RawValue>,
    /// The code of the error.
    pub code: i64,
    /// In words.
    pub why: &'static str,
}

impl Invalid<'_> {
    fn new(code: i64, why: &'static str) -> Self {
        Invalid { id: None, code, why }
    }
}

impl Response<'_> {
    /// The code and message of its error, if it is one.
    #[must_use]
    pub fn error(&self) -> Option<(i64, String)> {
        #[derive(Deserialize)]
        struct Error {
            code: i64,
            #[serde(default)]
            message: String,
        }
        let error: Error = serde_json::from_str(self.outcome.err()?.get()).ok()?;
        Some((error.code, error.message))
    }
}

/// Reads a frame.
///
/// # Errors
/// It is not JSON, or over a bound: one error is owed for all of it.
pub fn parse<'a>(frame: &'a [u8], bounds: &Bounds) -> Result<Parsed<'a>, Invalid<'a>> {
    if frame.len() > bounds.bytes {
        return Err(Invalid::new(code::TOO_LARGE, "more bytes than are taken"));
    }
    let text = std::str::from_utf8(frame).map_err(|_| Invalid::new(code::PARSE, "not UTF-8"))?;
    if depth(frame) > bounds.depth {
        return Err(Invalid::new(code::PARSE, "deeper than is taken"));
    }
    let whole: &RawValue = serde_json::from_str(text).map_err(|_| Invalid::new(code::PARSE, "not JSON"))?;
    if !whole.get().starts_with('[') {
        return Ok(Parsed::One(entry(whole, bounds)));
    }
    let entries: Vec<&RawValue> =
        serde_json::from_str(whole.get()).map_err(|_| Invalid::new(code::PARSE, "not JSON"))?;
    match entries.len() {
        0 => Ok(Parsed::One(Err(Invalid::new(code::INVALID_REQUEST, "an empty batch")))),
        n if n > bounds.entries => Err(Invalid::new(code::TOO_LARGE, "more entries than are taken")),
        _ => Ok(Parsed::Batch(entries.into_iter().map(|raw| entry(raw, bounds)).collect())),
    }
}

/// How deep arrays and objects stand within one another.
fn depth(json: &[u8]) -> usize {
    let (mut depth, mut deepest, mut quoted, mut escaped) = (0_usize, 0, false, false);
    for byte in json {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

fn entry<'a>(raw: &'a RawValue, bounds: &Bounds) -> Entry<'a> {
    let invalid = |id, why| Err(Invalid { id, code: code::INVALID_REQUEST, why });
    if !raw.get().starts_with('{') {
        return invalid(None, "not an object");
    }
    let Ok(members) = serde_json::from_str::<Members<'_>>(raw.get()) else {
        return invalid(None, "not an object");
    };
    let good_id = members.id.filter(|id| is_id(id, bounds));
    if members.twice {
        // Which of the two is meant, nobody can tell; that goes for the id as well.
        return invalid(None, "a member is there twice");
    }
    if members.id.is_some() && good_id.is_none() {
        return invalid(None, "an id is a string, a whole number or null, of some bytes at most");
    }
    if members.jsonrpc.map(RawValue::get) != Some("\"2.0\"") {
        return invalid(good_id, "`jsonrpc` is not \"2.0\"");
    }
    match (members.method, members.result, members.error) {
        (Some(method), None, None) => {
            let Ok(method) = serde_json::from_str::<CowStr<'_>>(method.get()) else {
                return invalid(good_id, "`method` is no string");
            };
            if members.params.is_some_and(|p| !p.get().starts_with(['[', '{'])) {
                return invalid(good_id, "`params` are an array or an object");
            }
            Ok(Body::Call(Call { id: good_id, method: method.0, params: members.params }))
        }
        (None, result, error) if members.params.is_none() => match (good_id, result, error) {
            (Some(id), Some(result), None) => Ok(Body::Response(Response { id, outcome: Ok(result) })),
            (Some(id), None, Some(error)) if error.get().starts_with('{') => {
                Ok(Body::Response(Response { id, outcome: Err(error) }))
            }
            _ => invalid(good_id, "neither a request nor a response"),
        },
        _ => invalid(good_id, "neither a request nor a response"),
    }
}

/// A string, a whole number or null.
fn is_id(id: &RawValue, bounds: &Bounds) -> bool {
    let text = id.get();
    let whole = || {
        let digits = text.strip_prefix('-').unwrap_or(text);
        !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit())
    };
    // A lone half of a pair is no text that a reader can give back.
    let string = || text.starts_with('"') && serde_json::from_str::<CowStr<'_>>(text).is_ok();
    text.len() <= bounds.id && (text == "null" || whole() || string())
}

/// A string that is borrowed where nothing in it is escaped.
struct CowStr<'a>(Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for CowStr<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Text;
        impl<'de> Visitor<'de> for Text {
            type Value = CowStr<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a string")
            }

            fn visit_borrowed_str<E: de::Error>(self, text: &'de str) -> Result<CowStr<'de>, E> {
                Ok(CowStr(Cow::Borrowed(text)))
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<CowStr<'de>, E> {
                Ok(CowStr(Cow::Owned(text.to_owned())))
            }
        }
        deserializer.deserialize_str(Text)
    }
}

/// The members of an object in their order, each as it was written. None where it is no object, or a member is there
/// twice: nobody can tell which of them is meant.
#[must_use]
pub fn members(object: &str) -> Option<Vec<(Cow<'_, str>, &RawValue)>> {
    struct All<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

    impl<'de: 'a, 'a> Deserialize<'de> for All<'a> {
        fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
            struct Object;
            impl<'de> Visitor<'de> for Object {
                type Value = All<'de>;

                fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str("an object")
                }

                fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<All<'de>, A::Error> {
                    let mut all = Vec::new();
                    while let Some((CowStr(name), value)) = map.next_entry::<CowStr<'de>, &'de RawValue>()? {
                        all.push((name, value));
                    }
                    Ok(All(all))
                }
            }
            deserializer.deserialize_map(Object)
        }
    }

    let All(all) = serde_json::from_str(object).ok()?;
    let mut names: Vec<&str> = all.iter().map(|(name, _)| &**name).collect();
    names.sort_unstable();
    names.windows(2).all(|pair| pair[0] != pair[1]).then_some(all)
}

/// The members of a message. A derived reader could not tell `"id": null` from no id.
#[derive(Default)]
struct Members<'a> {
    jsonrpc: Option<&'a RawValue>,
    id: Option<&'a RawValue>,
    method: Option<&'a RawValue>,
    params: Option<&'a RawValue>,
    result: Option<&'a RawValue>,
    error: Option<&'a RawValue>,
    /// One of these is there twice.
    twice: bool,
}

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Object;
        impl<'de> Visitor<'de> for Object {
            type Value = Members<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Members<'de>, A::Error> {
                let mut members = Members::default();
                while let Some(CowStr(key)) = map.next_key::<CowStr<'de>>()? {
                    let place = match &*key {
                        "jsonrpc" => &mut members.jsonrpc,
                        "id" => &mut members.id,
                        "method" => &mut members.method,
                        "params" => &mut members.params,
                        "result" => &mut members.result,
                        "error" => &mut members.error,
                        _ => {
                            map.next_value::<IgnoredAny>()?;
                            continue;
                        }
                    };
                    let before = place.replace(map.next_value()?);
                    members.twice |= before.is_some();
                }
                Ok(members)
            }
        }
        deserializer.deserialize_map(Object)
    }
}
