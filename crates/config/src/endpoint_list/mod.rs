//! Endpoint lists in the form of discovery.

#[cfg(test)]
mod tests;

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::endpoint::{EndpointSpec, EndpointState};

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
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// When it started, in Unix milliseconds; 0 for long ago.
    #[serde(rename = "born_ms", default)]
    pub started_unix_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// An endpoint's state in discovery's form.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedState {
    /// Takes requests.
    Serving,
    /// Finishes the requests that it has.
    Draining,
    /// Removed from its pool.
    Deleted,
}

/// Reads a list in discovery's form.
///
/// # Errors
/// It is no list.
pub fn parse_full_list(json: &str) -> Result<EndpointList, String> {
    serde_json::from_str(json).map_err(|error| error.to_string())
}

/// A list as discovery sends it, read entry by entry: an unreadable entry costs that endpoint and not the list.
#[derive(Debug)]
pub struct ParsedEndpointList {
    /// What could be read. Of two entries of an endpoint the last counts.
    pub list: EndpointList,
    /// Endpoints with an unreadable entry, which may have been a drain.
    pub unreadable: BTreeSet<String>,
    /// The problems in one line, if there are any.
    pub fault: Option<String>,
}

#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    is_full: bool,
    #[serde(borrow, rename = "hosts")]
    entries: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct NameOnly {
    #[serde(rename = "host")]
    name: String,
}

/// Reads a list as discovery sends it.
///
/// # Errors
/// It is no list.
pub fn parse_endpoint_list(json: &[u8]) -> Result<ParsedEndpointList, String> {
    let raw: RawList<'_> = serde_json::from_slice(json).map_err(|error| error.to_string())?;
    let mut entries = EntryParser::with_capacity(raw.entries.len());
    for entry in raw.entries {
        entries.add(entry);
    }
    Ok(entries.finish(raw.version, raw.is_full))
}

/// Collects the entries of a list that can be read.
struct EntryParser {
    endpoints: Vec<ListedEndpoint>,
    index_by_name: BTreeMap<String, usize>,
    unreadable: BTreeSet<String>,
    first_problem: Option<String>,
    further_problems: usize,
}

impl EntryParser {
    fn with_capacity(entries: usize) -> Self {
        EntryParser {
            endpoints: Vec::with_capacity(entries),
            index_by_name: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            first_problem: None,
            further_problems: 0,
        }
    }

    fn add(&mut self, entry: &RawValue) {
        match parse_entry(entry) {
            Ok(endpoint) => self.add_endpoint(endpoint),
            Err(error) => self.add_unreadable(entry, &error),
        }
    }

    fn add_endpoint(&mut self, endpoint: ListedEndpoint) {
        match self.index_by_name.entry(endpoint.name.clone()) {
            Entry::Vacant(vacant) => {
                vacant.insert(self.endpoints.len());
                self.endpoints.push(endpoint);
            }
            Entry::Occupied(occupied) => {
                let index = *occupied.get();
                self.add_problem(format!("{:?} stands in it twice", endpoint.name));
                self.endpoints[index] = endpoint;
            }
        }
    }

    fn add_unreadable(&mut self, entry: &RawValue, error: &str) {
        let name = serde_json::from_str(entry.get()).ok().map(|entry: NameOnly| entry.name);
        self.add_problem(format!("{:?}: {error}", name.as_deref().unwrap_or_default()));
        self.unreadable.extend(name.filter(|name| !name.is_empty()));
    }

    fn add_problem(&mut self, problem: String) {
        match self.first_problem {
            None => self.first_problem = Some(problem),
            Some(_) => self.further_problems += 1,
        }
    }

    fn finish(mut self, version: u64, is_full: bool) -> ParsedEndpointList {
        // A readable entry does not outweigh an unreadable one of the same endpoint.
        self.endpoints.retain(|endpoint| !self.unreadable.contains(&endpoint.name));
        let fault = self.first_problem.map(|first| match self.further_problems {
            0 => first,
            more => format!("{first}, and {more} more"),
        });
        let list = EndpointList { version, is_full, endpoints: self.endpoints };
        ParsedEndpointList { list, unreadable: self.unreadable, fault }
    }
}

fn parse_entry(entry: &RawValue) -> Result<ListedEndpoint, String> {
    let endpoint: ListedEndpoint = serde_json::from_str(entry.get()).map_err(|error| error.to_string())?;
    if endpoint.name.is_empty() {
        return Err("no name".to_owned());
    }
    Ok(endpoint)
}

impl EndpointList {
    /// The endpoints of a full list.
    ///
    /// # Errors
    /// The list is not full, or two endpoints have the same name.
    pub fn into_endpoints(self) -> Result<Vec<EndpointSpec>, String> {
        if !self.is_full {
            return Err("not a whole list: `whole` is false".to_owned());
        }
        let mut endpoints: Vec<EndpointSpec> = Vec::with_capacity(self.endpoints.len());
        let mut names = BTreeSet::new();
        for listed in self.endpoints {
            if !names.insert(listed.name.clone()) {
                return Err(format!("two hosts are named {:?}", listed.name));
            }
            endpoints.push(EndpointSpec::from(listed));
        }
        Ok(endpoints)
    }
}

impl From<ListedEndpoint> for EndpointSpec {
    fn from(listed: ListedEndpoint) -> Self {
        EndpointSpec {
            name: listed.name,
            address: listed.address,
            zone: listed.zone,
            machine_kind: listed.machine_kind,
            cell: listed.cell,
            weight: listed.weight,
            state: match listed.state {
                ListedState::Serving => EndpointState::Ready,
                ListedState::Draining => EndpointState::Draining,
                ListedState::Deleted => EndpointState::Gone,
            },
            started_unix_ms: listed.started_unix_ms,
        }
    }
}
