//! The connections to one endpoint: idle HTTP connections, and JSON-RPC connections, each of which carries
//! many calls.

use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::time::Instant;

use super::connect::PendingConnect;
use super::http_connection::HttpConnection;
use super::reuse::{self, ConnectionChoice, ReuseConditions, UseTime};
use super::rpc_connection::RpcConnection;
use super::stray_responses::StrayResponses;

/// The connections to one endpoint.
#[derive(Default)]
pub struct EndpointConnections {
    /// The most recently used one is last.
    idle_http: Vec<IdleHttpConnection>,
    stray_responses: Rc<StrayResponses>,
    use_time: UseTime,
    waiting_requests: Rc<Cell<usize>>,
    rpc: Vec<Rc<RpcConnection>>,
    /// The JSON-RPC connection that is being established, if any.
    pending_rpc: Weak<PendingConnect>,
}

struct IdleHttpConnection {
    connection: HttpConnection,
    idle_since: Instant,
}

/// The HTTP connection for a request.
pub enum HttpConnectionChoice {
    /// An idle connection.
    Reuse(HttpConnection),
    /// An idle connection that must rest first: to choose again after this time.
    Wait {
        /// The time until the connection has rested.
        time: Duration,
        /// To be kept while waiting.
        waiting: WaitingRequest,
    },
    /// A new connection.
    Open,
}

/// Counts a request as waiting for a connection until it is dropped.
pub struct WaitingRequest(Rc<Cell<usize>>);

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A JSON-RPC connection without calls. Ordered by the time since when it is idle, the longest idle one
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleRpcConnection {
    idle_since: Instant,
    index: usize,
}

impl EndpointConnections {
    /// Closes the idle connections at once, and the other ones when the calls on them have ended.
    pub fn close_all(&mut self) {
        self.idle_http.clear();
        self.rpc.clear();
    }

    /// Closes the connections that have been idle for `max_idle` or longer, and those that are no longer
    /// usable.
    pub fn close_idle_longer_than(&mut self, max_idle: Duration) {
        self.idle_http.retain(|idle| idle.idle_since.elapsed() < max_idle && idle.connection.is_ready());
        self.rpc.retain(|connection| !connection.is_expired(max_idle));
    }

    // ---- HTTP ----

    /// Keeps an idle connection.
    pub fn add_idle_http(&mut self, connection: HttpConnection) {
        self.use_time.record(connection.used_since.elapsed());
        self.idle_http.push(IdleHttpConnection { connection, idle_since: Instant::now() });
    }

    /// The record of the endpoint's responses that nobody waited for.
    pub fn stray_responses(&self) -> &Rc<StrayResponses> {
        &self.stray_responses
    }

    /// Chooses the connection that the next request is sent on. `may_open` is whether another one may be
    /// opened without closing one. Unusable connections that are found are closed.
    pub fn choose_http(&mut self, max_idle: Duration, may_open: bool) -> HttpConnectionChoice {
        loop {
            let conditions = ReuseConditions {
                has_stray_responses: self.stray_responses.are_recent(),
                may_open,
                waiting_requests: self.waiting_requests.get(),
                use_time: self.use_time.get(),
            };
            let now = Instant::now();
            let idle_times = self.idle_http.iter().map(|idle| now - idle.idle_since);
            let index = match reuse::choose(idle_times, conditions) {
                ConnectionChoice::Reuse(index) => index,
                ConnectionChoice::WaitFor(time) => {
                    return HttpConnectionChoice::Wait { time, waiting: self.start_waiting() };
                }
                ConnectionChoice::Open => return HttpConnectionChoice::Open,
            };
            let mut idle = self.idle_http.remove(index);
            if idle.idle_since.elapsed() < max_idle && idle.connection.is_usable() {
                idle.connection.used_since = Instant::now();
                return HttpConnectionChoice::Reuse(idle.connection);
            }
        }
    }

    fn start_waiting(&self) -> WaitingRequest {
        self.waiting_requests.set(self.waiting_requests.get() + 1);
        WaitingRequest(Rc::clone(&self.waiting_requests))
    }

    /// The idle time of the HTTP connection that has been idle the longest; `None` if there is none.
    pub fn longest_http_idle_time(&self) -> Option<Duration> {
        self.idle_http.first().map(|idle| idle.idle_since.elapsed())
    }

    /// Closes the HTTP connection that has been idle the longest.
    pub fn close_longest_idle_http(&mut self) {
        if !self.idle_http.is_empty() {
            self.idle_http.remove(0);
        }
    }

    // ---- JSON-RPC ----

    /// Keeps a connection for further calls.
    pub fn add_rpc(&mut self, connection: Rc<RpcConnection>) {
        self.rpc.push(connection);
    }

    /// Returns a connection on which another call may be sent.
    pub fn rpc_with_capacity(&self) -> Option<Rc<RpcConnection>> {
        self.rpc.iter().find(|connection| connection.has_capacity()).cloned()
    }

    /// The JSON-RPC connection that is being established, if any.
    pub fn pending_rpc(&self) -> Option<Rc<PendingConnect>> {
        self.pending_rpc.upgrade()
    }

    /// Records that a JSON-RPC connection is being established, unless another one already is.
    pub fn set_pending_rpc(&mut self, pending: &Rc<PendingConnect>) {
        if self.pending_rpc.strong_count() == 0 {
            self.pending_rpc = Rc::downgrade(pending);
        }
    }

    /// The JSON-RPC connection that has been without calls the longest.
    pub fn longest_idle_rpc(&self) -> Option<IdleRpcConnection> {
        let connections = self.rpc.iter().enumerate();
        let idle = connections.filter_map(|(index, connection)| {
            connection.idle_since().map(|idle_since| IdleRpcConnection { idle_since, index })
        });
        idle.min()
    }

    /// Closes a JSON-RPC connection.
    pub fn close_rpc(&mut self, connection: IdleRpcConnection) {
        self.rpc.remove(connection.index);
    }
}
