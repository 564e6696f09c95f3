//! JSON-RPC in the configuration: which method is which class, and how a call stands in HTTP.

use std::sync::Arc;

use jsonrpc::Framing;

/// What is spoken on a listener's or a pool's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    Http,
    /// JSON-RPC 2.0.
    JsonRpc {
        /// How messages are told apart.
        framing: Framing,
        /// Calls that a connection may have open.
        calls: usize,
    },
}

/// A method, and how its calls stand in HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Method {
    /// Its name.
    pub name: Arc<str>,
    /// The class, by index.
    pub class: usize,
    /// The HTTP method.
    pub verb: Verb,
    /// The path.
    pub path: Template,
}

/// The HTTP method of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Without a body: `params` stand in the query.
    Get,
    /// With `params` as the body.
    Post,
}

/// A path with parts from a call's `params`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template(Vec<Piece>);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Piece {
    Text(String),
    Member(Member),
}

/// A member of `params`, or of an object in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The object in `params`, if it is not there itself.
    pub within: Option<String>,
    /// Its name.
    pub name: String,
}

/// Where a call says what it is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// The key by which repeats are known.
    pub key: Member,
    /// The time that its caller waits, in milliseconds.
    pub timeout_ms: Member,
    /// The tenant that it says it is of.
    pub tenant: Member,
    /// The class, where a method may be of several.
    pub class: Member,
    /// An id of the request for the nodes.
    pub id: Member,
}

/// All that is said of JSON-RPC beside listeners and pools.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Methods {
    /// The methods.
    pub all: Vec<Method>,
    /// See there.
    pub members: Members,
}

impl Methods {
    /// The method of this name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Method> {
        self.all.iter().find(|m| *m.name == *name)
    }

    /// The method that a request of this class is called by: the first that was written.
    #[must_use]
    pub fn of_class(&self, class: usize) -> Option<&Method> {
        self.all.iter().find(|m| m.class == class)
    }
}

impl Default for Members {
    fn default() -> Self {
        let within = |name: &str| Member { within: Some("_meta".to_owned()), name: name.to_owned() };
        Members {
            key: Member { within: None, name: "key".to_owned() },
            timeout_ms: within("timeoutMs"),
            tenant: within("tenant"),
            class: within("class"),
            id: within("requestId"),
        }
    }
}

impl Member {
    /// `name` or `object.name`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Member> {
        let is_name = |name: &str| {
            (1..=64).contains(&name.len())
                && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"_-$".contains(&b))
        };
        let (within, name) = match text.split_once('.') {
            Some((within, name)) => (Some(within.to_owned()), name),
            None => (None, text),
        };
        let good = is_name(name) && within.as_deref().is_none_or(is_name);
        good.then(|| Member { within, name: name.to_owned() })
    }
}

impl Template {
    /// Reads one such as `/report-result/{table}`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Template> {
        let mut pieces = Vec::new();
        let mut rest = text.strip_prefix('/').map(|_| text)?;
        while let Some(open) = rest.find('{') {
            let close = open + rest[open..].find('}')?;
            pieces.push(Piece::Text(rest[..open].to_owned()));
            pieces.push(Piece::Member(Member::parse(&rest[open + 1..close])?));
            rest = &rest[close + 1..];
        }
        pieces.push(Piece::Text(rest.to_owned()));
        let plain = |text: &str| {
            text.bytes().all(|b| b.is_ascii_alphanumeric() || b"/-._~!$&'()*+,;=:@".contains(&b))
                && !text.contains("//")
                && !text.split('/').any(|part| part == "." || part == "..")
        };
        let good =
            pieces.iter().all(|p| matches!(p, Piece::Member(_)) || matches!(p, Piece::Text(t) if plain(t)));
        good.then_some(Template(pieces))
    }

    /// `/method/{key}`.
    #[must_use]
    pub fn of_method(name: &str, key: &Member) -> Template {
        Template(vec![Piece::Text(format!("/{name}/")), Piece::Member(key.clone())])
    }

    /// The path with its parts filled in; one that is not there is `-`.
    pub fn fill(&self, mut member: impl FnMut(&Member) -> Option<String>) -> String {
        let mut path = String::new();
        for piece in &self.0 {
            match piece {
                Piece::Text(text) => path.push_str(text),
                Piece::Member(name) => match member(name).filter(|value| !value.is_empty()) {
                    // A dot alone would be read as a step in the path.
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

/// Percent-encodes all that may not stand in a part of a path or query.
pub fn escape(text: &str, into: &mut String) {
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            into.push(char::from(byte));
        } else {
            into.push_str(&format!("%{byte:02X}"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_path_is_filled_in() {
        let template = Template::parse("/a/{b}/{_meta.c}").expect("good");
        let fill = |value: &str| template.fill(|m| (m.name == "b").then(|| value.to_owned()));
        assert_eq!(fill("x y/ü"), "/a/x%20y%2F%C3%BC/-");
        assert_eq!(fill(""), "/a/-/-");
        assert_eq!(fill(".."), "/a/%2E-%2E-/-");
        for bad in ["", "a", "/a?b", "/a//b", "/../a", "/{a", "/{}", "/{a.b.c}", "/a b", "/%41"] {
            assert_eq!(Template::parse(bad), None, "{bad}");
        }
    }
}
