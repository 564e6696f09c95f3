//! The keys `protocol`, `framing` and `calls` of listeners and pools.

use jsonrpc::Framing;
use toml::Spanned;

use crate::checker::{Checker, SpannedString};
use crate::diagnostics::suggest;

/// The default number of open calls of a JSON-RPC connection.
const DEFAULT_OPEN_CALLS: usize = 32;
const MAX_OPEN_CALLS: usize = 1024;

/// The protocol on the connections of a listener or a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    Http,
    /// JSON-RPC 2.0.
    JsonRpc {
        /// The delimitation of messages.
        framing: Framing,
        /// The maximum number of open calls of a connection.
        calls: usize,
    },
}

/// The keys of a listener or pool that describe its protocol.
pub(crate) struct ProtocolKeys<'f> {
    pub(crate) protocol: &'f Option<SpannedString>,
    pub(crate) framing: &'f Option<SpannedString>,
    pub(crate) calls: &'f Option<Spanned<usize>>,
}

impl Checker<'_> {
    pub(crate) fn protocol(&mut self, keys: &ProtocolKeys<'_>) -> Protocol {
        let name = keys.protocol.as_ref().map_or("http", |word| word.get_ref());
        if name == "http" {
            self.forbid_json_rpc_keys(keys);
            return Protocol::Http;
        }
        if let Some(word) = keys.protocol.as_ref().filter(|_| name != "json-rpc") {
            let help = suggest(name, &["http", "json-rpc"]);
            self.report(word.span(), format!("`protocol`: {name:?} is none"), Some(help));
        }
        let framing = self.framing(keys.framing);
        let calls = self.open_calls(keys.calls);
        Protocol::JsonRpc { framing, calls }
    }

    fn forbid_json_rpc_keys(&mut self, keys: &ProtocolKeys<'_>) {
        let span = keys.framing.as_ref().map(SpannedString::span).or(keys.calls.as_ref().map(Spanned::span));
        if let Some(span) = span {
            let help = "leave it out, or write protocol = \"json-rpc\"".to_owned();
            self.report(span, "`framing` and `calls` are of JSON-RPC", Some(help));
        }
    }

    fn framing(&mut self, framing: &Option<SpannedString>) -> Framing {
        let Some(word) = framing else { return Framing::Line };
        match word.get_ref().as_str() {
            "line" => Framing::Line,
            "content-length" => Framing::ContentLength,
            other => {
                let help = suggest(other, &["line", "content-length"]);
                self.report(word.span(), format!("`framing`: {other:?} is none"), Some(help));
                Framing::Line
            }
        }
    }

    fn open_calls(&mut self, calls: &Option<Spanned<usize>>) -> usize {
        let Some(calls) = calls else { return DEFAULT_OPEN_CALLS };
        let count = *calls.get_ref();
        if !(1..=MAX_OPEN_CALLS).contains(&count) {
            self.report(calls.span(), format!("`calls`: {count} is not from 1 to {MAX_OPEN_CALLS}"), None);
        }
        count
    }
}
