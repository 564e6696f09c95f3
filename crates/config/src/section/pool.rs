//! Sections `[[pool]]`: pools of endpoints and the sources of their endpoint lists.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

use super::protocol::{Protocol, ProtocolKeys};
use crate::checker::{Checker, SpannedString};
use crate::endpoint::{EndpointSpec, EndpointState};

const MAX_SHARE: u32 = 10_000;
const MAX_WEIGHT: f64 = 1e6;

/// A pool of equivalent endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The name.
    pub name: String,
    /// The share of the sockets, relative to the other pools.
    pub share: u32,
    /// The source of the endpoint list.
    pub source: Source,
    /// The protocol of the endpoints.
    pub protocol: Protocol,
    /// The method of the JSON-RPC notification that cancels a request; `None` if the endpoints support no
    /// cancellation.
    pub cancel: Option<String>,
}

/// The source of a pool's endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The configuration.
    List(Vec<EndpointSpec>),
    /// A file that is watched.
    File(PathBuf),
    /// The platform's discovery service.
    Discovery(SocketAddr),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Pool")]
pub(crate) struct PoolFile {
    pub name: SpannedString,
    pub share: Option<Spanned<u32>>,
    #[serde(rename = "nodes")]
    pub endpoints: Option<Vec<EndpointFile>>,
    pub file: Option<SpannedString>,
    pub discovery: Option<SpannedString>,
    pub protocol: Option<SpannedString>,
    pub framing: Option<SpannedString>,
    pub calls: Option<Spanned<usize>>,
    pub cancel: Option<SpannedString>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Node")]
pub(crate) struct EndpointFile {
    pub name: SpannedString,
    pub address: SpannedString,
    pub zone: Option<String>,
    #[serde(rename = "kind", default)]
    pub machine_kind: String,
    pub cell: Option<u64>,
    pub weight: Option<Spanned<f64>>,
    #[serde(default)]
    pub state: EndpointStateFile,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum State")]
pub(crate) enum EndpointStateFile {
    #[default]
    Ready,
    Draining,
}

impl From<EndpointStateFile> for EndpointState {
    fn from(state: EndpointStateFile) -> Self {
        match state {
            EndpointStateFile::Ready => EndpointState::Ready,
            EndpointStateFile::Draining => EndpointState::Draining,
        }
    }
}

impl Checker<'_> {
    /// Checks a pool. `resolve_path` resolves paths relative to the configuration file.
    pub(crate) fn pool(
        &mut self,
        section: &PoolFile,
        proxy_zone: &str,
        resolve_path: &dyn Fn(&str) -> PathBuf,
    ) -> Pool {
        let source = self.endpoint_source(section, proxy_zone, resolve_path);
        let share = section.share.as_ref().map_or(1, |share| *share.get_ref());
        if let Some(value) = section.share.as_ref().filter(|_| !(1..=MAX_SHARE).contains(&share)) {
            self.report(value.span(), format!("`share`: {share} is not from 1 to {MAX_SHARE}"), None);
        }
        let protocol = self.protocol(&ProtocolKeys {
            protocol: &section.protocol,
            framing: &section.framing,
            calls: &section.calls,
        });
        let cancel = section.cancel.as_ref().map(|word| self.cancel(word, protocol));
        Pool { name: section.name.get_ref().clone(), share, source, protocol, cancel }
    }

    fn endpoint_source(
        &mut self,
        section: &PoolFile,
        proxy_zone: &str,
        resolve_path: &dyn Fn(&str) -> PathBuf,
    ) -> Source {
        let name = section.name.get_ref();
        match (&section.endpoints, &section.file, &section.discovery) {
            (Some(endpoints), None, None) => Source::List(self.endpoints(endpoints, proxy_zone)),
            (None, Some(file), None) => Source::File(resolve_path(file.get_ref())),
            (None, None, Some(address)) => Source::Discovery(self.address("discovery", address)),
            (None, None, None) => {
                let help = "give it `nodes`, a `file` or a `discovery` address".to_owned();
                self.report(section.name.span(), format!("pool `{name}` has no nodes"), Some(help));
                Source::List(Vec::new())
            }
            _ => {
                let help = "keep one of `nodes`, `file` and `discovery`".to_owned();
                let message = format!("pool `{name}` has two sources of nodes");
                self.report(section.name.span(), message, Some(help));
                Source::List(Vec::new())
            }
        }
    }

    fn cancel(&mut self, word: &SpannedString, protocol: Protocol) -> String {
        if protocol == Protocol::Http {
            let help = "leave it out, or write protocol = \"json-rpc\"".to_owned();
            self.report(word.span(), "`cancel`: only JSON-RPC has such notifications", Some(help));
        }
        word.get_ref().clone()
    }

    fn endpoints(&mut self, entries: &[EndpointFile], proxy_zone: &str) -> Vec<EndpointSpec> {
        self.name_index("node", entries.iter().map(|entry| &entry.name));
        entries.iter().map(|entry| self.endpoint(entry, proxy_zone)).collect()
    }

    fn endpoint(&mut self, entry: &EndpointFile, proxy_zone: &str) -> EndpointSpec {
        let zone = entry.zone.clone().unwrap_or_else(|| proxy_zone.to_owned());
        self.zones.intern(&zone);
        self.machine_kinds.intern(&entry.machine_kind);
        let address = self.address("address", &entry.address);
        let weight =
            entry.weight.as_ref().map_or(1.0, |weight| self.number("weight", weight, 0.0..=MAX_WEIGHT));
        EndpointSpec {
            name: entry.name.get_ref().clone(),
            address,
            zone,
            machine_kind: entry.machine_kind.clone(),
            cell: entry.cell,
            weight,
            state: EndpointState::from(entry.state),
            started_unix_ms: 0.0,
        }
    }
}
