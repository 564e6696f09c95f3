//! The wire of the simulator: lines to events, actions to lines, settings by `decide::settings`.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::str::{FromStr, Split};

use decide::platform_settings::{self, micros, NameTable, PlatformSettings};
use decide::Balancer;
use decide::{
    Action, Endpoint, EndpointId, EndpointState, Event, LoadReport, Micros, NewRequest, Outcome, RequestId,
    UpdateScope,
};

/// Why the program stopped.
#[derive(Debug)]
pub enum Fault {
    /// A line that the wire does not allow: its number, its text and the cause.
    Line(u64, String, String),
    /// The input ended inside a batch.
    Truncated(u64),
    /// Reading or writing failed.
    Io(io::Error),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Line(number, text, cause) => {
                let shown: String = text.chars().take(200).collect();
                write!(f, "line {number}: {cause}: {shown:?}")
            }
            Fault::Truncated(number) => write!(f, "line {number}: input ended inside a batch"),
            Fault::Io(error) => write!(f, "{error}"),
        }
    }
}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Self {
        Fault::Io(error)
    }
}

/// The names a running instance needs to read its events.
struct Instance {
    balancer: Balancer,
    names: NameTable,
}

/// A list entry with its names unresolved: lists serve the whole process, names belong to an instance.
struct Listed {
    entry: Endpoint,
    zone: String,
    kind: String,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    pools: BTreeMap<u32, Vec<Listed>>,
    /// Actions of this batch in the order of their events, with the instance that took them.
    replies: Vec<(String, Vec<Action>)>,
    panicked: Option<(String, String)>,
    now: Micros,
}

/// Answers batches until the input ends.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), Fault> {
    let mut lines = Lines { text: String::new(), number: 0 };
    let mut host = Host::default();
    while lines.next(&mut input)? {
        let head = lines.text.strip_prefix("BATCH ").ok_or_else(|| lines.fault("expected BATCH"))?;
        let mut parts = Parts::new(head);
        let sequence: u64 = parts
            .time()
            .and_then(|t| {
                host.now = t;
                parts.number()
            })
            .map_err(|c| lines.fault(&c))?;
        parts.done().map_err(|c| lines.fault(&c))?;
        let mut current = String::new();
        loop {
            if !lines.next(&mut input)? {
                return Err(Fault::Truncated(lines.number));
            }
            if lines.text == "OVER_TO_YOU" {
                break;
            }
            if let Some(rest) = lines.text.strip_prefix("POOL ") {
                let (sheet, count) = pool_head(rest).map_err(|c| lines.fault(&c))?;
                let mut list = Vec::new();
                for _ in 0..count {
                    if !lines.next(&mut input)? {
                        return Err(Fault::Truncated(lines.number));
                    }
                    list.push(listed(&lines.text).map_err(|c| lines.fault(&c))?);
                }
                host.pools.insert(sheet, list);
            } else if let Some(name) = lines.text.strip_prefix("SWITCH_TO ") {
                current = name.to_owned();
            } else {
                host.event(&current, &lines.text).map_err(|c| lines.fault(&c))?;
            }
        }
        host.reply(&mut output, sequence)?;
    }
    Ok(())
}

struct Lines {
    text: String,
    number: u64,
}

impl Lines {
    fn next(&mut self, input: &mut impl BufRead) -> Result<bool, Fault> {
        self.text.clear();
        let read = input.read_line(&mut self.text)?;
        if read > 0 {
            self.number += 1;
            let kept = self.text.trim_end_matches(['\n', '\r']).len();
            self.text.truncate(kept);
        }
        Ok(read > 0)
    }

    fn fault(&self, cause: &str) -> Fault {
        Fault::Line(self.number, self.text.clone(), cause.to_owned())
    }
}

/// The values of one line.
struct Parts<'a>(Split<'a, char>);

impl<'a> Parts<'a> {
    fn new(text: &'a str) -> Self {
        Parts(text.split(' '))
    }

    fn word(&mut self) -> Result<&'a str, String> {
        self.0.next().filter(|w| !w.is_empty()).ok_or_else(|| "a value is missing".to_owned())
    }

    fn number<T: FromStr>(&mut self) -> Result<T, String> {
        let word = self.word()?;
        word.parse().map_err(|_| format!("not a number of the right kind: {word}"))
    }

    fn optional<T: FromStr>(&mut self) -> Result<Option<T>, String> {
        match self.word()? {
            "-" => Ok(None),
            word => word.parse().map(Some).map_err(|_| format!("not a number of the right kind: {word}")),
        }
    }

    fn time(&mut self) -> Result<Micros, String> {
        self.optional_time()?.ok_or_else(|| "a time is missing".to_owned())
    }

    fn optional_time(&mut self) -> Result<Option<Micros>, String> {
        match self.optional::<f64>()? {
            Some(ms) if !ms.is_finite() || ms.abs() > 1e15 => Err(format!("not a time: {ms}")),
            ms => Ok(ms.map(micros)),
        }
    }

    fn flag(&mut self) -> Result<bool, String> {
        match self.word()? {
            "0" | "-" => Ok(false),
            "1" => Ok(true),
            word => Err(format!("not 0 or 1: {word}")),
        }
    }

    fn done(&mut self) -> Result<(), String> {
        self.0.next().map_or(Ok(()), |word| Err(format!("a value too many: {word}")))
    }
}

fn pool_head(rest: &str) -> Result<(u32, u64), String> {
    let mut parts = Parts::new(rest);
    let head = (parts.number()?, parts.number()?);
    parts.done()?;
    Ok(head)
}

fn listed(line: &str) -> Result<Listed, String> {
    let mut parts = Parts::new(line.strip_prefix("BACKEND ").ok_or("expected BACKEND")?);
    let stage = match parts.word()? {
        "0" => EndpointState::Removed,
        "1" => EndpointState::Ready,
        "2" => EndpointState::Draining,
        word => return Err(format!("unknown stage {word}")),
    };
    let weight = parts.optional::<f64>()?.unwrap_or(1.0);
    let up_since = parts.optional_time()?.filter(|&t| t != 0);
    let (zone, kind) = (parts.word()?.to_owned(), parts.word()?.to_owned());
    let entry = Endpoint {
        id: EndpointId(parts.number()?),
        state: stage,
        weight,
        up_since,
        cell: parts.optional()?,
        ..Endpoint::default()
    };
    parts.done()?;
    Ok(Listed { entry, zone, kind })
}

/// Hex digits as bytes; `-` stands for none.
fn bytes(word: &str) -> Result<Vec<u8>, String> {
    let bad = || format!("not hex digits: {word}");
    let word = if word == "-" { "" } else { word };
    if !word.is_ascii() || word.len() % 2 != 0 {
        return Err(bad());
    }
    (0..word.len()).step_by(2).map(|i| u8::from_str_radix(&word[i..i + 2], 16).map_err(|_| bad())).collect()
}

fn outcome(word: &str) -> Result<Outcome, String> {
    Ok(match word {
        "GOOD" => Outcome::Ok,
        "BAD" => Outcome::Error,
        "FULL" => Outcome::Rejected,
        "LATE" => Outcome::Timeout,
        "NOCONN" => Outcome::ConnectFailed,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Cancelled,
        "NOP" => Outcome::NotSent,
        _ => return Err(format!("unknown outcome {word}")),
    })
}

impl Instance {
    fn report(&self, word: &str) -> Result<Option<LoadReport>, String> {
        if word == "-" {
            return Ok(None);
        }
        let mut report = LoadReport::default();
        for (value, field) in word.split(',').zip(&self.names.fields) {
            if !matches!(value, "-" | "") {
                let value = value.parse::<f64>().ok().filter(|x| x.is_finite());
                field.store(&mut report, value.ok_or(format!("not a load report: {word}"))?);
            }
        }
        Ok(Some(report))
    }
}

impl Host {
    fn event(&mut self, name: &str, line: &str) -> Result<(), String> {
        let (kind, rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut parts = Parts::new(rest);
        match kind {
            "POWER_ON" => {
                let (seed, config) = rest.split_once(' ').ok_or("a value is missing")?;
                let seed = seed.parse().map_err(|_| format!("not a seed: {seed}"))?;
                if name.is_empty() {
                    return Err("no SWITCH_TO before it".to_owned());
                }
                self.instances.insert(name.to_owned(), start(seed, config)?);
                return Ok(());
            }
            "KILLED" => {
                // What the instance said earlier in this batch speaks of requests that are void now.
                self.replies.retain(|(who, _)| who != name);
                self.instances.remove(name).ok_or_else(|| format!("no instance {name:?}"))?;
                return Ok(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(name).ok_or_else(|| format!("no instance {name:?}"))?;
        let mut entries = Vec::new();
        let payload;
        let event = match kind {
            "ENDPOINTS" => {
                let sheet: Option<u32> = parts.optional()?;
                let scope = match parts.word()? {
                    "0" => UpdateScope::Failed,
                    "1" => UpdateScope::Full,
                    "2" => UpdateScope::Cached,
                    "4" => UpdateScope::Delta,
                    word => return Err(format!("unknown scope {word}")),
                };
                parts.word()?;
                if scope != UpdateScope::Failed {
                    let pool = sheet.and_then(|s| self.pools.get(&s)).ok_or("no such POOL")?;
                    entries.extend(pool.iter().map(|l| Endpoint {
                        zone: instance.names.zone(&l.zone),
                        machine_kind: instance.names.kind(&l.kind),
                        ..l.entry.clone()
                    }));
                }
                Event::EndpointUpdate { scope, endpoints: &entries }
            }
            "SUBMIT" => {
                let id = RequestId(parts.number()?);
                let work: Option<f64> = parts.optional()?;
                let marks: u64 = parts.optional()?.unwrap_or(0);
                parts.word()?;
                let class = parts.word()?;
                let class = instance.names.class(class).ok_or(format!("unknown class {class}"))?;
                let time_left = parts.time()?;
                let tenant = parts.word()?;
                Event::Request(NewRequest {
                    id,
                    class,
                    tenant: instance.names.tenant(tenant),
                    time_left,
                    work: work.filter(|w| marks & 1 != 0 && w.is_finite() && *w > 0.0).map(micros),
                    is_retry: marks & 2 != 0,
                    endpoint_filter: None,
                    max_attempts: 0,
                    downstream_connections: None,
                    body_pending: 0,
                })
            }
            "OPENED" => {
                let request = RequestId(parts.number()?);
                let _ = (parts.number::<u64>()?, parts.number::<u32>()?, parts.time()?);
                Event::StreamStarted { request }
            }
            "RESOLVED" => Event::AttemptEnded {
                request: RequestId(parts.number()?),
                attempt: parts.number()?,
                endpoint: EndpointId(parts.number()?),
                outcome: outcome(parts.word()?)?,
                took: parts.time()?,
                is_final: parts.flag()?,
                report: instance.report(parts.word()?)?,
            },
            "CANCELLED_BY_CLIENT" => Event::ClientDisconnected(RequestId(parts.number()?)),
            "DUE" => Event::Timer(parts.number()?),
            "HEALTH" => Event::HealthChecked {
                endpoint: EndpointId(parts.number()?),
                outcome: outcome(parts.word()?)?,
                took: parts.time()?,
                report: instance.report(parts.word()?)?,
            },
            "HEARD" => {
                let from = parts.number()?;
                payload = bytes(parts.word()?)?;
                Event::GossipReceived { from, payload: &payload }
            }
            _ => return Err("unknown event".to_owned()),
        };
        parts.done()?;
        if self.panicked.is_some() {
            return Ok(());
        }
        let fresh = self.replies.last().is_none_or(|(who, _)| who != name);
        if fresh {
            self.replies.push((name.to_owned(), Vec::new()));
        }
        let actions = &mut self.replies.last_mut().expect("just pushed").1;
        let (now, balancer) = (self.now, &mut instance.balancer);
        if let Err(cause) = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
            let text = cause.downcast_ref::<&str>().map(|s| (*s).to_owned());
            let text = text.or_else(|| cause.downcast_ref::<String>().cloned());
            let text = text.unwrap_or_else(|| "panic without a text".to_owned()).replace(['\n', '\r'], " ");
            self.panicked = Some((name.to_owned(), text));
        }
        Ok(())
    }

    fn reply(&mut self, out: &mut impl Write, sequence: u64) -> io::Result<()> {
        for (name, actions) in self.replies.drain(..).filter(|(_, a)| !a.is_empty()) {
            writeln!(out, "FOR {name}")?;
            for action in actions {
                print(out, &action)?;
            }
        }
        if let Some((name, text)) = self.panicked.take() {
            writeln!(out, "FOR {name}\nPANIC {text}")?;
        }
        writeln!(out, "EOR {sequence}")?;
        out.flush()
    }
}

/// Microseconds as milliseconds, exactly.
struct Ms(Micros);

impl fmt::Display for Ms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = if self.0 < 0 { "-" } else { "" };
        let us = self.0.unsigned_abs();
        write!(f, "{sign}{}.{:03}", us / 1000, us % 1000)
    }
}

fn print(out: &mut impl Write, action: &Action) -> io::Result<()> {
    match action {
        Action::Send { request, endpoint: backend, deadline: until } => {
            writeln!(out, "TRANSMIT {} {} {}", request.0, backend.0, Ms(*until))
        }
        Action::Reject { request, retry_after } => {
            writeln!(out, "DECLINE {} {}", request.0, Ms(*retry_after))
        }
        Action::Fail(request) => writeln!(out, "FAIL {}", request.0),
        Action::Cancel { request, attempt } => writeln!(out, "STOP_ATTEMPT {} {attempt}", request.0),
        Action::Timer { at, token } => writeln!(out, "REMIND {} {token}", Ms(*at)),
        Action::PollDiscovery => writeln!(out, "TRACK 1"),
        Action::HealthCheck(backend) => writeln!(out, "SOUND_OUT {}", backend.0),
        Action::SendGossip { to, payload } => {
            write!(out, "TELL {to} ")?;
            payload.iter().try_for_each(|byte| write!(out, "{byte:02x}"))?;
            writeln!(out)
        }
        Action::Log(text) => writeln!(out, "SAY_LOG {}", text.replace(['\n', '\r'], " ")),
    }
}

fn start(seed: u64, config: &str) -> Result<Instance, String> {
    let PlatformSettings { settings, names, .. } = platform_settings::parse(config)?;
    Ok(Instance { balancer: Balancer::new(settings, seed), names })
}
