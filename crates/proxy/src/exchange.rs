//! What passes between fronts and backends: a request, an attempt's end, a final answer. Neither side owns it,
//! and nothing here reads a socket or decides.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decide::{LoadReport, Micros, Outcome};
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Request};

use crate::body::MessageBody;
use crate::metrics::RequestOutcome;

/// The largest body that is held whole, and so can be sent a second time; a larger one flows where it may, or is turned away.
pub const MOST_BODY: usize = config::WHOLE_BODY_BYTES as usize;
/// The largest head of a message, in bytes, and so about what a connection takes of the memory.
pub const MOST_BUFFER: usize = 16 << 10;
/// A request's id.
pub const ID: &str = "x-request-id";
/// The key by which its repeats are known.
pub const KEY: &str = "idempotency-key";
/// How long the client waits, in milliseconds.
pub const TIMEOUT: &str = "x-timeout-ms";

/// A request as it goes to a backend.
pub type Message = Request<MessageBody>;

/// How long a caller waits for the answer once the request has come whole; goes along where that flows.
#[derive(Clone, Copy, Debug)]
pub struct Patience(pub Duration);

/// How a request stands in JSON-RPC; goes along as an extension of its message.
#[derive(Clone, Debug)]
pub struct Called {
    pub method: Arc<str>,
    /// As its caller sent them, where that was by JSON-RPC.
    pub params: Option<Bytes>,
    /// It came by HTTP, so that its verb and path say something.
    pub by_http: bool,
}

/// Whoever waits for the answer to a request, as far as its connection tells.
#[derive(Clone, Default)]
pub struct Client(Option<Rc<dyn Fn() -> bool>>);

impl Client {
    /// One of whom this says whether it has left.
    pub fn new(has_left: impl Fn() -> bool + 'static) -> Client {
        Client(Some(Rc::new(has_left)))
    }

    /// Has it closed its connection, or its side of it? Nothing new is begun for it then.
    pub fn has_left(&self) -> bool {
        self.0.as_ref().is_some_and(|has_left| has_left())
    }
}

/// Counts the attempts that are begun for a request, in whichever pool. Known at any time, also where nobody is
/// left to hear the answer.
#[derive(Clone, Debug, Default)]
pub struct Attempts(Rc<Cell<usize>>);

impl Attempts {
    pub fn begun(&self) -> usize {
        self.0.get()
    }

    pub fn begin(&self) {
        self.0.set(self.0.get() + 1);
    }
}

/// The final answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// A backend's answer, whole or flowing.
    Served(HeaderMap, MessageBody),
    /// Refused by the decisions: trying again there is harmless.
    Refused {
        /// After this time, if it is not 0.
        retry_after: Micros,
        /// No attempt can have run, so that trying elsewhere is harmless as well.
        never_ran: bool,
    },
    /// Not served, and nothing is promised.
    Failed,
    /// The same, because time ran out.
    TimedOut,
}

impl Answer {
    /// What it is counted as.
    pub fn fate(&self) -> RequestOutcome {
        match self {
            Answer::Served(..) => RequestOutcome::Served,
            Answer::Refused { .. } => RequestOutcome::Rejected,
            Answer::Failed | Answer::TimedOut => RequestOutcome::Failed,
        }
    }
}

/// How an attempt or a probe ended.
pub struct Ended {
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    /// With an attempt's [`Outcome::Ok`]: the answer.
    pub answer: Option<(HeaderMap, MessageBody)>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, report: None, answer: None }
    }
}

/// Removes what speaks of one connection only, and what hyper writes anew.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').filter_map(|name| name.trim().parse().ok()))
        .collect();
    let fixed = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    named.iter().chain(&fixed).for_each(|name| {
        headers.remove(name);
    });
}
