//! Endpoint lists in the JSON format of discovery.

#[cfg(test)]
mod tests;

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::endpoint::{EndpointSpec, EndpointState};

/// A list of endpoints in the format of discovery. Truncated JSON does not parse, so a partially written list
/// is never mistaken for a short one.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// The version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether the list contains all endpoints; otherwise it contains only those that changed.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// The endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint in the format of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    /// The name, unique in the list.
    #[serde(rename = "host")]
    pub name: String,
    /// The address that it listens on.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The name of the zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// The kind of machine.
    #[serde(rename = "class")]
    pub machine_kind: String,
    /// The cell; `None` if the endpoint is in none. With deduplication by cell, the endpoints of a cell
    /// discard each other's repeats.
    #[serde(rename = "block")]
    pub cell: Option<u64>,
    /// The state.
    #[serde(rename = "health")]
    pub state: ListedState,
    /// The capacity, relative to the other endpoints.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// The time of its start, in Unix milliseconds. If it is 0, the endpoint has no slow start.
    #[serde(rename = "born_ms", default)]
    pub started_unix_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// The state of an endpoint in the format of discovery.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedState {
    /// Accepts requests.
    Serving,
    /// Completes its requests in flight and gets no new ones.
    Draining,
    /// Removed from its pool.
    Deleted,
}

/// Parses a list in the format of discovery. A malformed entry is an error.
///
/// # Errors
/// If the JSON is not a list of well-formed entries, returns the parser's message.
pub fn parse_full_list(json: &str) -> Result<EndpointList, String> {
    serde_json::from_str(json).map_err(|error| error.to_string())
}

/// A list from discovery, parsed entry by entry. A malformed entry makes one endpoint unreadable and not the
/// whole list.
#[derive(Debug)]
pub struct ParsedEndpointList {
    /// The well-formed entries. Of several entries with one name the last counts. Endpoints in `unreadable`
    /// are left out.
    pub list: EndpointList,
    /// The names of endpoints with a malformed entry. Their states are unknown: a malformed entry
    /// may have changed the state to draining.
    pub unreadable: BTreeSet<String>,
    /// The first problem and the number of others, in one line; `None` if there are no problems.
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

/// Parses a list from discovery, entry by entry.
///
/// # Errors
/// If the JSON as a whole is not a list, returns the parser's message. Malformed entries are not errors.
pub fn parse_endpoint_list(json: &[u8]) -> Result<ParsedEndpointList, String> {
    let raw: RawList<'_> = serde_json::from_slice(json).map_err(|error| error.to_string())?;
    let mut entries = EntryParser::with_capacity(raw.entries.len());
    for entry in raw.entries {
        entries.add(entry);
    }
    Ok(entries.finish(raw.version, raw.is_full))
}

/// Collects the entries of a list, and the problems with malformed ones.
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
                self.add_problem(format!("{:?} has two entries", endpoint.name));
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
        // An endpoint with both a well-formed and a malformed entry is unreadable.
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
        return Err("`host` is empty".to_owned());
    }
    Ok(endpoint)
}

impl EndpointList {
    /// Converts a full list into endpoints.
    ///
    /// # Errors
    /// If the list is not full or two endpoints have the same name, returns a message.
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
