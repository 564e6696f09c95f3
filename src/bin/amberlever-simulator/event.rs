//! Parses the events of an instance, one per line.

use std::collections::BTreeMap;

use decide::platform_settings::micros;
use decide::{Endpoint, EndpointId, Event, NewRequest, Outcome, RequestId, UpdateScope};

use crate::endpoint_list::ListEntry;
use crate::error::LineError;
use crate::fields::FieldReader;
use crate::instance::Instance;

/// The bit of a request's marks that is set if the work of the request is known.
const MARK_WORK_KNOWN: u64 = 1;
/// The bit of a request's marks that is set if the request is a retry by the client.
const MARK_RETRY: u64 = 2;

/// Endpoint lists by number.
pub type EndpointLists = BTreeMap<u32, Vec<ListEntry>>;

/// An event that owns the data that [`Event`] borrows.
pub enum ParsedEvent {
    /// An endpoint list.
    EndpointUpdate { scope: UpdateScope, endpoints: Vec<Endpoint> },
    /// A gossip message.
    GossipReceived { from: u32, payload: Vec<u8> },
    /// Any other event, which borrows nothing.
    Plain(Event<'static>),
}

impl ParsedEvent {
    /// Returns the event in the form that the balancer takes.
    pub fn as_event(&self) -> Event<'_> {
        match self {
            ParsedEvent::EndpointUpdate { scope, endpoints } => {
                Event::EndpointUpdate { scope: *scope, endpoints }
            }
            ParsedEvent::GossipReceived { from, payload } => Event::GossipReceived { from: *from, payload },
            ParsedEvent::Plain(event) => event.clone(),
        }
    }

    /// Parses an event of this kind from the rest of its line.
    pub fn parse(
        kind: &str,
        rest: &str,
        instance: &mut Instance,
        lists: &EndpointLists,
    ) -> Result<ParsedEvent, LineError> {
        let mut fields = FieldReader::new(rest);
        let event = match kind {
            "ENDPOINTS" => endpoint_update(&mut fields, instance, lists)?,
            "HEARD" => gossip_received(&mut fields)?,
            _ => ParsedEvent::Plain(plain_event(kind, &mut fields, instance)?),
        };
        fields.end()?;
        Ok(event)
    }
}

fn plain_event(
    kind: &str,
    fields: &mut FieldReader<'_>,
    instance: &Instance,
) -> Result<Event<'static>, LineError> {
    match kind {
        "SUBMIT" => new_request(fields, instance).map(Event::Request),
        "OPENED" => stream_started(fields),
        "RESOLVED" => attempt_ended(fields, instance),
        "CANCELLED_BY_CLIENT" => Ok(Event::ClientDisconnected(RequestId(fields.number()?))),
        "DUE" => Ok(Event::Timer(fields.number()?)),
        "HEALTH" => health_checked(fields, instance),
        _ => Err(LineError::UnknownEvent),
    }
}

fn endpoint_update(
    fields: &mut FieldReader<'_>,
    instance: &mut Instance,
    lists: &EndpointLists,
) -> Result<ParsedEvent, LineError> {
    let list: Option<u32> = fields.optional()?;
    let scope = parse_scope(fields.word()?)?;
    // The version of the list, which the balancer does not use.
    fields.word()?;
    if scope == UpdateScope::Failed {
        return Ok(ParsedEvent::EndpointUpdate { scope, endpoints: Vec::new() });
    }
    let entries = list.and_then(|list| lists.get(&list)).ok_or(LineError::UnknownList)?;
    let endpoints = entries.iter().map(|entry| entry.endpoint(&mut instance.names)).collect();
    Ok(ParsedEvent::EndpointUpdate { scope, endpoints })
}

fn gossip_received(fields: &mut FieldReader<'_>) -> Result<ParsedEvent, LineError> {
    let from = fields.number()?;
    let payload = fields.bytes()?;
    Ok(ParsedEvent::GossipReceived { from, payload })
}

fn new_request(fields: &mut FieldReader<'_>, instance: &Instance) -> Result<NewRequest, LineError> {
    let id = RequestId(fields.number()?);
    let work: Option<f64> = fields.optional()?;
    let marks: u64 = fields.optional()?.unwrap_or(0);
    // The client, which the balancer does not use.
    fields.word()?;
    let class = fields.word()?;
    let class = instance.names.class(class).ok_or_else(|| LineError::UnknownClass(class.to_owned()))?;
    let time_left = fields.time()?;
    let tenant = instance.names.tenant(fields.word()?);
    let is_work_known = marks & MARK_WORK_KNOWN != 0;
    Ok(NewRequest {
        id,
        class,
        tenant,
        time_left,
        work: work.filter(|work| is_work_known && work.is_finite() && *work > 0.0).map(micros),
        is_retry: marks & MARK_RETRY != 0,
        lacks_key: false,
        endpoint_filter: None,
        max_attempts: 0,
        downstream_connections: None,
        body_pending: 0,
    })
}

fn stream_started(fields: &mut FieldReader<'_>) -> Result<Event<'static>, LineError> {
    let request = RequestId(fields.number()?);
    // The attempt, its endpoint and the time are not used, but must be well-formed.
    fields.number::<u64>()?;
    fields.number::<u32>()?;
    fields.time()?;
    Ok(Event::StreamStarted { request })
}

fn attempt_ended(fields: &mut FieldReader<'_>, instance: &Instance) -> Result<Event<'static>, LineError> {
    Ok(Event::AttemptEnded {
        request: RequestId(fields.number()?),
        attempt: fields.number()?,
        endpoint: EndpointId(fields.number()?),
        outcome: parse_outcome(fields.word()?)?,
        took: fields.time()?,
        is_final: fields.flag()?,
        report: instance.parse_load_report(fields.word()?)?,
    })
}

fn health_checked(fields: &mut FieldReader<'_>, instance: &Instance) -> Result<Event<'static>, LineError> {
    Ok(Event::HealthChecked {
        endpoint: EndpointId(fields.number()?),
        outcome: parse_outcome(fields.word()?)?,
        took: fields.time()?,
        report: instance.parse_load_report(fields.word()?)?,
    })
}

fn parse_scope(word: &str) -> Result<UpdateScope, LineError> {
    match word {
        "0" => Ok(UpdateScope::Failed),
        "1" => Ok(UpdateScope::Full),
        "2" => Ok(UpdateScope::Cached),
        "4" => Ok(UpdateScope::Delta),
        _ => Err(LineError::UnknownScope(word.to_owned())),
    }
}

fn parse_outcome(word: &str) -> Result<Outcome, LineError> {
    match word {
        "GOOD" => Ok(Outcome::Ok),
        "BAD" => Ok(Outcome::Error),
        "FULL" => Ok(Outcome::Rejected),
        "LATE" => Ok(Outcome::Timeout),
        "NOCONN" => Ok(Outcome::ConnectFailed),
        "RST" => Ok(Outcome::Reset),
        "CXL" => Ok(Outcome::Cancelled),
        "NOP" => Ok(Outcome::NotSent),
        _ => Err(LineError::UnknownOutcome(word.to_owned())),
    }
}
