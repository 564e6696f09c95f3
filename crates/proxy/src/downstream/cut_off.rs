//! Why this process ended a request, a response or a connection early: logged and counted in one place.

use std::cell::Cell;
use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::HeaderMap;
use tokio::time::Instant;

use crate::body::BodyError;
use crate::exchange::REQUEST_ID_HEADER;
use crate::log::log_line;
use crate::metrics::CutOffCounters;

/// How many lines are logged of requests and responses. Clients could otherwise flood the log.
const STREAM_LINES: LineRate = LineRate { lines: 20, period: Duration::from_secs(1) };
/// How many lines are logged of connections, which idle clients open by the hundred.
const CONNECTION_LINES: LineRate = LineRate { lines: 1, period: Duration::from_secs(10) };

/// The id of a request as it is logged: the header that carries it, if there is one.
#[derive(Clone, Debug, Default)]
pub struct RequestId(Option<HeaderValue>);

impl RequestId {
    /// The id in the headers of a request.
    pub fn of(headers: &HeaderMap) -> RequestId {
        RequestId(headers.get(REQUEST_ID_HEADER).cloned())
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-"))
    }
}

/// What was ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOffStream {
    /// A request: its client gets an error in place of a response.
    Request,
    /// A response that had begun: its client sees that the end is missing.
    Response,
    /// A connection without an open request.
    Connection,
}

impl CutOffStream {
    fn label(self) -> &'static str {
        match self {
            CutOffStream::Request => "request",
            CutOffStream::Response => "response",
            CutOffStream::Connection => "connection",
        }
    }
}

/// Why a stream was ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOffReason {
    /// Its body failed or passed a bound.
    Body(BodyError),
    /// The client has read nothing for too long.
    ClientStalled,
    /// The client has closed its connection.
    ClientDisconnected,
    /// The client did not complete the head of a request in time.
    HeadTimeout,
    /// The pool made no decision in the client's time.
    Undecided,
    /// The process is about to be killed.
    Shutdown,
}

impl CutOffReason {
    fn label(self) -> &'static str {
        match self {
            CutOffReason::Body(error) => error.label(),
            CutOffReason::ClientStalled => "client_stalled",
            CutOffReason::ClientDisconnected => "client_disconnected",
            CutOffReason::HeadTimeout => "head_timeout",
            CutOffReason::Undecided => "undecided",
            CutOffReason::Shutdown => "shutdown",
        }
    }
}

impl std::fmt::Display for CutOffReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            CutOffReason::Body(error) => return error.fmt(f),
            CutOffReason::ClientStalled => "the client has read nothing for too long",
            CutOffReason::ClientDisconnected => "the client has disconnected",
            CutOffReason::HeadTimeout => "the head of the request was not complete in time",
            CutOffReason::Undecided => "there was no decision in the client's time",
            CutOffReason::Shutdown => "the process is about to be killed",
        })
    }
}

/// The most lines of a kind in a period.
#[derive(Clone, Copy, Debug)]
struct LineRate {
    lines: u32,
    period: Duration,
}

/// The lines of a kind that were logged in the current period.
#[derive(Default)]
struct LineLimit {
    period_started_at: Cell<Option<Instant>>,
    lines: Cell<u32>,
}

impl LineLimit {
    /// Whether another line may be logged, which counts it.
    fn may_log(&self, rate: LineRate) -> bool {
        let now = Instant::now();
        if self.period_started_at.get().is_none_or(|started_at| now - started_at >= rate.period) {
            self.period_started_at.set(Some(now));
            self.lines.set(0);
        }
        let lines = self.lines.get();
        self.lines.set(lines.saturating_add(1));
        lines < rate.lines
    }
}

/// Logs and counts what is ended early.
#[derive(Default)]
pub struct CutOffLog {
    counters: CutOffCounters,
    stream_lines: LineLimit,
    connection_lines: LineLimit,
}

impl CutOffLog {
    /// Creates a log that counts with these counters.
    pub fn new(counters: CutOffCounters) -> CutOffLog {
        CutOffLog { counters, ..CutOffLog::default() }
    }

    /// Records that a stream was ended early. `id` is the id of its request, `bytes` what was received of it.
    /// Clients that disconnect are counted, but not logged.
    pub fn record(&self, stream: CutOffStream, reason: CutOffReason, id: &RequestId, bytes: u64) {
        self.counters.count(stream.label(), reason.label());
        if reason != CutOffReason::ClientDisconnected && self.may_log(stream) {
            let stream = stream.label();
            log_line(format_args!("ended early: {stream} {id} after {bytes} bytes: {reason}"));
        }
    }

    fn may_log(&self, stream: CutOffStream) -> bool {
        match stream {
            CutOffStream::Connection => self.connection_lines.may_log(CONNECTION_LINES),
            CutOffStream::Request | CutOffStream::Response => self.stream_lines.may_log(STREAM_LINES),
        }
    }
}
