//! Parses endpoint lists. A list is sent once for all instances; each instance maps the names of zones and
//! machine kinds to indexes of its own.

use decide::platform_settings::NameTable;
use decide::{Endpoint, EndpointId, EndpointState};

use crate::error::LineError;
use crate::fields::FieldReader;

/// The weight of an endpoint whose line gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The first line of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListHeader {
    /// The number by which events refer to the list.
    pub list: u32,
    /// The number of entries that follow, one per line.
    pub entries: u64,
}

impl ListHeader {
    /// Parses the rest of a `POOL` line.
    pub fn parse(rest: &str) -> Result<ListHeader, LineError> {
        let mut fields = FieldReader::new(rest);
        let list = fields.number()?;
        let entries = fields.number()?;
        fields.end()?;
        Ok(ListHeader { list, entries })
    }
}

/// An entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// The endpoint with default values for zone and machine kind.
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

    /// Returns the endpoint with its zone and machine kind as indexes into `names`.
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
