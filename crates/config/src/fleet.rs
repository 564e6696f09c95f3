//! The nodes of pools: as the configuration lists them, and as a list in discovery's form tells them.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::fault::{Faults, Text};
use crate::model::{Config, Source};
use crate::Reading;

/// The state of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Taken away.
    Gone,
}

/// A node of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name, once in its pool.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell, for deduplication.
    pub cell: Option<u64>,
    /// A size to set against the others'.
    pub weight: f64,
    /// Its state.
    pub state: NodeState,
    /// When it started, in Unix milliseconds; 0 for long ago.
    pub started_unix_ms: f64,
}

/// What is known of the nodes of each pool, by the pool's index.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The nodes.
    pub pools: Vec<Vec<Node>>,
}

impl Fleet {
    pub(crate) fn read(config: &Config, text: Text, read: Reading<'_>, faults: &mut Faults) -> Fleet {
        let mut pools = Vec::new();
        for pool in &config.pools {
            pools.push(match &pool.source {
                Source::List(nodes) => nodes.clone(),
                Source::Discovery(_) => Vec::new(),
                Source::File(path) => {
                    let nodes = read(path).and_then(|json| parse_full_list(&json)?.nodes());
                    nodes.unwrap_or_else(|e| {
                        let message = format!("pool `{}`: {}: {e}", pool.name, path.display());
                        let quoted = format!("{:?}", path.file_name().unwrap_or_default().to_string_lossy());
                        let at = faults.text(text).find(quoted.trim_matches('"')).unwrap_or(0);
                        let help = "a list of nodes has the form of discovery's answers".to_owned();
                        faults.at(text, at..at + quoted.len() - 2, message, Some(help));
                        Vec::new()
                    })
                }
            });
        }
        Fleet { pools }
    }
}

/// A list of endpoints, in discovery's form. JSON that has been cut off anywhere is no JSON, so a half-written list is
/// never taken for a short one.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Its version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// It holds all endpoints, and not only those that changed.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// The endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    /// Its name.
    #[serde(rename = "host")]
    pub name: String,
    /// Where it listens.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Its kind of machine.
    #[serde(rename = "class")]
    pub machine_kind: String,
    /// Its cell, for deduplication.
    #[serde(rename = "block")]
    pub cell: Option<u64>,
    /// Its state.
    #[serde(rename = "health")]
    pub state: ListedState,
    /// Its capacity relative to the others'.
    #[serde(rename = "share", default = "one")]
    pub weight: f64,
    /// When it started, in Unix milliseconds; 0 for long ago.
    #[serde(rename = "born_ms", default)]
    pub started_unix_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// A node's state in discovery's words.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedState {
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Taken away.
    Deleted,
}

/// Reads a list in discovery's form.
///
/// # Errors
/// What is wrong with it.
pub fn parse_full_list(json: &str) -> Result<EndpointList, String> {
    serde_json::from_str(json).map_err(|e| e.to_string())
}

/// A list as discovery tells it, entry by entry: one that cannot be read costs that node, and not the list.
#[derive(Debug)]
pub struct ParsedEndpointList {
    /// What could be read. A node that was told of twice counts as it was told last.
    pub list: EndpointList,
    /// Nodes of which something was told that cannot be read. Nobody knows whether that was a drain.
    pub unreadable: BTreeSet<String>,
    /// What is wrong with it, in a line, if anything is.
    pub fault: Option<String>,
}

#[derive(Deserialize)]
struct RawList<'a> {
    seq: u64,
    whole: bool,
    #[serde(borrow)]
    hosts: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct NameOnly {
    host: String,
}

/// Reads a list as discovery tells it.
///
/// # Errors
/// It is no list.
pub fn parse_endpoint_list(json: &[u8]) -> Result<ParsedEndpointList, String> {
    let raw: RawList<'_> = serde_json::from_slice(json).map_err(|e| e.to_string())?;
    let mut unreadable = BTreeSet::new();
    let (mut fault, mut more) = (None, 0);
    let mut wrong = |what: String| match fault {
        None => fault = Some(what),
        Some(_) => more += 1,
    };
    let mut places = BTreeMap::new();
    let mut hosts: Vec<ListedEndpoint> = Vec::with_capacity(raw.hosts.len());
    for entry in raw.hosts {
        let read = serde_json::from_str(entry.get()).map_err(|e| e.to_string());
        match read
            .and_then(|h: ListedEndpoint| if h.name.is_empty() { Err("no name".to_owned()) } else { Ok(h) })
        {
            Ok(host) => match places.entry(host.name.clone()) {
                Entry::Vacant(place) => {
                    place.insert(hosts.len());
                    hosts.push(host);
                }
                Entry::Occupied(place) => {
                    wrong(format!("{:?} stands in it twice", host.name));
                    hosts[*place.get()] = host;
                }
            },
            Err(fault) => {
                let name = serde_json::from_str(entry.get()).ok().map(|n: NameOnly| n.host);
                wrong(format!("{:?}: {fault}", name.as_deref().unwrap_or_default()));
                unreadable.extend(name.filter(|name| !name.is_empty()));
            }
        }
    }
    // What was told readably of the same node does not outweigh what was not.
    hosts.retain(|host| !unreadable.contains(&host.name));
    let fault = fault.map(|first| if more == 0 { first } else { format!("{first}, and {more} more") });
    Ok(ParsedEndpointList {
        list: EndpointList { version: raw.seq, is_full: raw.whole, endpoints: hosts },
        unreadable,
        fault,
    })
}

impl EndpointList {
    /// The nodes of a whole list.
    ///
    /// # Errors
    /// What keeps it from being one.
    pub fn nodes(self) -> Result<Vec<Node>, String> {
        if !self.is_full {
            return Err("not a whole list: `whole` is false".to_owned());
        }
        let mut nodes: Vec<Node> = Vec::with_capacity(self.endpoints.len());
        let mut names = std::collections::BTreeSet::new();
        for host in self.endpoints {
            if !names.insert(host.name.clone()) {
                return Err(format!("two hosts are named {:?}", host.name));
            }
            nodes.push(Node {
                name: host.name,
                address: host.address,
                zone: host.zone,
                kind: host.machine_kind,
                cell: host.cell,
                weight: host.weight,
                state: match host.state {
                    ListedState::Serving => NodeState::Ready,
                    ListedState::Draining => NodeState::Draining,
                    ListedState::Deleted => NodeState::Gone,
                },
                started_unix_ms: host.started_unix_ms,
            });
        }
        Ok(nodes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(host: &str, health: &str) -> String {
        format!(
            r#"{{"host":"{host}","dial":"10.0.0.1:80","site":"a","class":"m","block":1,"health":"{health}"}}"#
        )
    }

    fn told(entries: &[String]) -> ParsedEndpointList {
        let json = format!("{{\"seq\": 7,\n \"whole\": true, \"hosts\": [\n{}]}}", entries.join(",\n"));
        parse_endpoint_list(json.as_bytes()).expect("a list")
    }

    #[test]
    fn a_malformed_entry_costs_that_node_and_not_the_list() {
        let told = told(&[
            entry("a", "SERVING"),
            entry("b", "SLEEPING"),
            entry("", "SERVING"),
            entry("c", "SERVING").replace("10.0.0.1:80", "nowhere"),
            "7".to_owned(),
            entry("a", "DRAINING"),
            entry("b", "SERVING"),
        ]);
        let names: Vec<_> = told.list.endpoints.iter().map(|h| (h.name.as_str(), h.state)).collect();
        assert!(matches!(names[..], [("a", ListedState::Draining)]), "{names:?}");
        assert_eq!(told.unreadable, ["b", "c"].map(str::to_owned).into());
        let fault = told.fault.expect("told of");
        assert!(fault.starts_with("\"b\": ") && fault.ends_with(", and 4 more"), "{fault}");
    }

    #[test]
    fn what_is_no_list_is_none() {
        for bad in [
            "",
            "[]",
            "7",
            "{\"seq\":1}",
            "{\"seq\":1,\"whole\":7,\"hosts\":[]}",
            "{\"seq\":1,\"whole\":true,\"hosts\":[",
        ] {
            assert!(parse_endpoint_list(bad.as_bytes()).is_err(), "{bad}");
        }
        assert!(parse_endpoint_list(b"\xff\xfe").is_err());
    }

    #[test]
    fn a_list_full_of_rubbish_takes_no_more_than_itself() {
        let told = told(&vec!["0".to_owned(); 200_000]);
        assert!(told.list.endpoints.is_empty() && told.unreadable.is_empty());
        assert!(told.fault.is_some_and(|fault| fault.len() < 200));
    }
}
