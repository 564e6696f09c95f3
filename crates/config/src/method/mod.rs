//! JSON-RPC methods: the class of each, and the HTTP form of its calls.

#[cfg(test)]
mod tests;

use std::sync::Arc;

/// A method and the HTTP form of its calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Method {
    /// The name of the method.
    pub name: Arc<str>,
    /// The index of the class.
    pub class: usize,
    /// The HTTP method.
    pub http_method: HttpMethod,
    /// The path of the HTTP request.
    pub path: PathTemplate,
}

/// The HTTP method of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpMethod {
    /// `GET` without a body. `params` are in the query.
    Get,
    /// `POST` with `params` as the body.
    Post,
}

/// A path with parameters from the `params` of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathTemplate(Vec<Segment>);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Text(String),
    Member(Member),
}

/// A member of `params`, or of an object in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The object in `params` that contains the member; `None` if `params` itself does.
    pub object: Option<String>,
    /// The name of the member.
    pub name: String,
}

/// The members that carry the attributes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// The idempotency key.
    pub key: Member,
    /// The client's timeout, in milliseconds.
    pub timeout_ms: Member,
    /// The tenant that the client claims.
    pub tenant: Member,
    /// The class of the call; without it, the class of the method applies.
    pub class: Member,
    /// The request id that is sent to endpoints.
    pub id: Member,
}

/// The JSON-RPC methods and members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Methods {
    /// The methods.
    pub all: Vec<Method>,
    /// The members that carry the attributes of calls.
    pub members: Members,
}

impl Methods {
    /// The method with this name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Method> {
        self.all.iter().find(|method| *method.name == *name)
    }

    /// The first method of a class. Requests of the class are sent to JSON-RPC endpoints as calls of this
    /// method.
    #[must_use]
    pub fn of_class(&self, class: usize) -> Option<&Method> {
        self.all.iter().find(|method| method.class == class)
    }
}

impl Default for Members {
    fn default() -> Self {
        let in_meta = |name: &str| Member { object: Some("_meta".to_owned()), name: name.to_owned() };
        Members {
            key: Member { object: None, name: "key".to_owned() },
            timeout_ms: in_meta("timeoutMs"),
            tenant: in_meta("tenant"),
            class: in_meta("class"),
            id: in_meta("requestId"),
        }
    }
}

impl Member {
    /// Parses `name` or `object.name`. Returns `None` unless each name has 1 to 64 letters, digits, `_`, `-`
    /// or `$`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Member> {
        let is_name = |name: &str| {
            (1..=64).contains(&name.len())
                && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"_-$".contains(&b))
        };
        let (object, name) = match text.split_once('.') {
            Some((object, name)) => (Some(object.to_owned()), name),
            None => (None, text),
        };
        let is_valid = is_name(name) && object.as_deref().is_none_or(is_name);
        is_valid.then(|| Member { object, name: name.to_owned() })
    }
}

impl PathTemplate {
    /// Parses a template such as `/report-result/{table}`. Returns `None` if it is malformed or its literal
    /// parts are not a normal path.
    #[must_use]
    pub fn parse(text: &str) -> Option<PathTemplate> {
        let mut segments = Vec::new();
        let mut rest = text.strip_prefix('/').map(|_| text)?;
        while let Some(open) = rest.find('{') {
            let close = open + rest[open..].find('}')?;
            segments.push(Segment::Text(rest[..open].to_owned()));
            segments.push(Segment::Member(Member::parse(&rest[open + 1..close])?));
            rest = &rest[close + 1..];
        }
        segments.push(Segment::Text(rest.to_owned()));
        let is_plain = |text: &str| {
            text.bytes().all(|b| b.is_ascii_alphanumeric() || b"/-._~!$&'()*+,;=:@".contains(&b))
                && !text.contains("//")
                && !text.split('/').any(|part| part == "." || part == "..")
        };
        let is_valid = segments.iter().all(|segment| match segment {
            Segment::Member(_) => true,
            Segment::Text(text) => is_plain(text),
        });
        is_valid.then_some(PathTemplate(segments))
    }

    /// The default path of a method: `/name/{key}`, with the member of the idempotency key.
    #[must_use]
    pub fn of_method(name: &str, key: &Member) -> PathTemplate {
        PathTemplate(vec![Segment::Text(format!("/{name}/")), Segment::Member(key.clone())])
    }

    /// Fills in the parameters, percent-encoded. A parameter without a value becomes `-`.
    pub fn fill(&self, mut member: impl FnMut(&Member) -> Option<String>) -> String {
        let mut path = String::new();
        for segment in &self.0 {
            match segment {
                Segment::Text(text) => path.push_str(text),
                Segment::Member(name) => match member(name).filter(|value| !value.is_empty()) {
                    // A value of dots only would be a relative path segment.
                    Some(value) if value.bytes().all(|b| b == b'.') => {
                        path.push_str(&value.replace('.', "%2E-"))
                    }
                    Some(value) => escape(&value, &mut path),
                    None => path.push('-'),
                },
            }
        }
        path
    }
}

/// Appends a text to `into`, with all bytes percent-encoded but those that are unreserved in RFC 3986.
pub fn escape(text: &str, into: &mut String) {
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            into.push(char::from(byte));
        } else {
            into.push_str(&format!("%{byte:02X}"));
        }
    }
}
