//! Reads batches of lines and writes the actions of each batch.
//!
//! A batch starts with `BATCH time sequence` and ends with `OVER_TO_YOU`. In between are endpoint lists,
//! selections of an instance, and events for the selected instance. The reply ends with `EOR sequence`.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use decide::{Action, Micros};

use crate::action::write_action;
use crate::endpoint_list::{ListEntry, ListHeader};
use crate::error::{LineError, SessionError};
use crate::event::{EndpointLists, ParsedEvent};
use crate::fields::FieldReader;
use crate::instance::Instance;

/// Answers batches until the input ends.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), SessionError> {
    let mut lines = LineReader { input, text: String::new(), number: 0 };
    let mut session = Session::default();
    while lines.advance()? {
        let header = BatchHeader::parse(&lines.text).map_err(|error| lines.error(error))?;
        session.now = header.time;
        session.read_batch(&mut lines)?;
        session.write_reply(&mut output, header.sequence)?;
    }
    Ok(())
}

/// Reads lines and counts them.
struct LineReader<R> {
    input: R,
    /// The current line.
    text: String,
    number: u64,
}

impl<R: BufRead> LineReader<R> {
    /// Reads the next line. Returns false at the end of the input.
    fn advance(&mut self) -> Result<bool, SessionError> {
        self.text.clear();
        let bytes = self.input.read_line(&mut self.text)?;
        if bytes > 0 {
            self.number += 1;
            let length = self.text.trim_end_matches(['\n', '\r']).len();
            self.text.truncate(length);
        }
        Ok(bytes > 0)
    }

    /// Reads the next line. The end of the input is an error.
    fn advance_in_batch(&mut self) -> Result<(), SessionError> {
        if self.advance()? {
            Ok(())
        } else {
            Err(SessionError::Truncated(self.number))
        }
    }

    /// Returns an error for the current line.
    fn error(&self, source: LineError) -> SessionError {
        SessionError::InvalidLine { number: self.number, text: self.text.clone(), source }
    }
}

/// The first line of a batch.
struct BatchHeader {
    time: Micros,
    sequence: u64,
}

impl BatchHeader {
    fn parse(line: &str) -> Result<BatchHeader, LineError> {
        let rest = line.strip_prefix("BATCH ").ok_or(LineError::ExpectedBatch)?;
        let mut fields = FieldReader::new(rest);
        let time = fields.time()?;
        let sequence = fields.number()?;
        fields.end()?;
        Ok(BatchHeader { time, sequence })
    }
}

/// The actions of an instance for consecutive events.
struct Reply {
    instance: String,
    actions: Vec<Action>,
}

/// A panic of an instance. No further event of the batch is handled.
struct Panic {
    instance: String,
    message: String,
}

#[derive(Default)]
struct Session {
    instances: BTreeMap<String, Instance>,
    lists: EndpointLists,
    /// The replies of the current batch, in the order of their events.
    replies: Vec<Reply>,
    panic: Option<Panic>,
    now: Micros,
}

impl Session {
    /// Reads the rest of a batch and passes its events to the instances.
    fn read_batch<R: BufRead>(&mut self, lines: &mut LineReader<R>) -> Result<(), SessionError> {
        let mut selected = String::new();
        loop {
            lines.advance_in_batch()?;
            if lines.text == "OVER_TO_YOU" {
                return Ok(());
            }
            if let Some(rest) = lines.text.strip_prefix("POOL ") {
                let header = ListHeader::parse(rest).map_err(|error| lines.error(error))?;
                self.read_list(header, lines)?;
            } else if let Some(name) = lines.text.strip_prefix("SWITCH_TO ") {
                selected = name.to_owned();
            } else {
                self.on_event(&selected, &lines.text).map_err(|error| lines.error(error))?;
            }
        }
    }

    fn read_list<R: BufRead>(
        &mut self,
        header: ListHeader,
        lines: &mut LineReader<R>,
    ) -> Result<(), SessionError> {
        let mut entries = Vec::new();
        for _ in 0..header.entries {
            lines.advance_in_batch()?;
            entries.push(ListEntry::parse(&lines.text).map_err(|error| lines.error(error))?);
        }
        self.lists.insert(header.list, entries);
        Ok(())
    }

    /// Handles an event of an instance.
    fn on_event(&mut self, name: &str, line: &str) -> Result<(), LineError> {
        let (kind, rest) = line.split_once(' ').unwrap_or((line, ""));
        match kind {
            "POWER_ON" => self.start_instance(name, rest),
            "KILLED" => self.kill_instance(name),
            _ => {
                let instance = self.instances.get_mut(name);
                let instance = instance.ok_or_else(|| LineError::UnknownInstance(name.to_owned()))?;
                let event = ParsedEvent::parse(kind, rest, instance, &self.lists)?;
                if self.panic.is_none() {
                    self.handle(name, &event);
                }
                Ok(())
            }
        }
    }

    fn start_instance(&mut self, name: &str, rest: &str) -> Result<(), LineError> {
        let (seed, settings) = rest.split_once(' ').ok_or(LineError::MissingValue)?;
        let seed = seed.parse().map_err(|_| LineError::InvalidSeed(seed.to_owned()))?;
        if name.is_empty() {
            return Err(LineError::NoInstanceSelected);
        }
        self.instances.insert(name.to_owned(), Instance::start(seed, settings)?);
        Ok(())
    }

    fn kill_instance(&mut self, name: &str) -> Result<(), LineError> {
        // The requests of a killed instance are lost, so its actions from this batch are dropped.
        self.replies.retain(|reply| reply.instance != name);
        let killed = self.instances.remove(name);
        killed.map(drop).ok_or_else(|| LineError::UnknownInstance(name.to_owned()))
    }

    /// Passes an event to an instance and collects its actions.
    fn handle(&mut self, name: &str, event: &ParsedEvent) {
        let Some(instance) = self.instances.get_mut(name) else { return };
        let mut reply = match self.replies.pop_if(|last| last.instance == name) {
            Some(reply) => reply,
            None => Reply { instance: name.to_owned(), actions: Vec::new() },
        };
        if let Err(message) = instance.handle(self.now, event.as_event(), &mut reply.actions) {
            self.panic = Some(Panic { instance: name.to_owned(), message });
        }
        self.replies.push(reply);
    }

    fn write_reply(&mut self, output: &mut impl Write, sequence: u64) -> Result<(), SessionError> {
        for reply in self.replies.drain(..).filter(|reply| !reply.actions.is_empty()) {
            writeln!(output, "FOR {}", reply.instance)?;
            for action in &reply.actions {
                write_action(output, action)?;
            }
        }
        if let Some(panic) = self.panic.take() {
            writeln!(output, "FOR {}\nPANIC {}", panic.instance, panic.message)?;
        }
        writeln!(output, "EOR {sequence}")?;
        output.flush()?;
        Ok(())
    }
}
