//! Endpoint lists. They are given once for all instances; the names of zones and machine kinds are resolved by each.

use decide::platform_settings::NameTable;
use decide::{Endpoint, EndpointId, EndpointState};

use crate::error::LineError;
use crate::fields::FieldReader;

/// The weight of an endpoint where none is given.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The head of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListHead {
    /// The list's number.
    pub list: u32,
    /// The number of its entries, one a line.
    pub entries: u64,
}

impl ListHead {
    /// Parses the rest of a `POOL` line.
    pub fn parse(rest: &str) -> Result<ListHead, LineError> {
        let mut fields = FieldReader::new(rest);
        let list = fields.number()?;
        let entries = fields.number()?;
        fields.end()?;
        Ok(ListHead { list, entries })
    }
}

/// An entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// The endpoint, without zone and machine kind.
    endpoint: Endpoint,
    zone: String,
    machine_kind: String,
}

impl ListEntry {
    /// Parses a `BACKEND` line.
    pub fn parse(line: &str) -> Result<ListEntry, LineError> {
        let rest = line.strip_prefix("BACKEND ").ok_or(LineError::ExpectedBackend)?;
        let mut fields = FieldReader::new(rest);
        let state = parse_state(fields.word()?)?;
        let weight = fields.optional::<f64>()?.unwrap_or(DEFAULT_WEIGHT);
        let up_since = fields.optional_time()?.filter(|time| *time != 0);
        let zone = fields.word()?.to_owned();
        let machine_kind = fields.word()?.to_owned();
        let id = EndpointId(fields.number()?);
        let cell = fields.optional()?;
        fields.end()?;
        let endpoint = Endpoint { id, state, weight, up_since, cell, ..Endpoint::default() };
        Ok(ListEntry { endpoint, zone, machine_kind })
    }

    /// The endpoint, with the indexes of this instance's names.
    pub fn endpoint(&self, names: &mut NameTable) -> Endpoint {
        Endpoint {
            zone: names.zone(&self.zone),
            machine_kind: names.kind(&self.machine_kind),
            ..self.endpoint.clone()
        }
    }
}

fn parse_state(word: &str) -> Result<EndpointState, LineError> {
    match word {
        "0" => Ok(EndpointState::Removed),
        "1" => Ok(EndpointState::Ready),
        "2" => Ok(EndpointState::Draining),
        _ => Err(LineError::UnknownState(word.to_owned())),
    }
}
