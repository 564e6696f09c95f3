//! The upstream side: the endpoints of a pool, the connections to them, and attempts of requests.
//!
//! The driver's decisions choose the endpoint. An attempt then goes through these phases, over HTTP in `http_attempt`
//! and over JSON-RPC in `rpc_attempt`:
//!
//! 1. take a connection: an idle one (`connections`) or a new one (`connect`);
//! 2. check that sending is still allowed: endpoint list, drain grace, client, deadline (`send_checks`); over HTTP, list
//!    and client are checked before connecting as well;
//! 3. send the request, and retry on another connection if a reused one had just closed;
//! 4. read the response;
//! 5. classify the outcome: `attempt_error` says what a failure of an attempt proves. The status of a health check's
//!    response is classified in `health_check`.
//!
//! What bounds it: the number of sockets (`socket_limit`), the idle time of connections, and the drain grace, after
//! which an endpoint that was removed is forgotten.

mod attempt_error;
mod connect;
mod connections;
mod endpoint_table;
mod health_check;
mod http_attempt;
mod http_connection;
mod http_response;
mod list_expiry;
mod load_report;
mod rpc_attempt;
mod rpc_connection;
mod send_checks;
mod socket_limit;
#[cfg(test)]
mod tests;

pub use self::http_connection::HttpConnection;
pub use self::list_expiry::ListExpiry;
pub use self::rpc_connection::RpcSettings;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use decide::platform_settings::Transport;
use decide::{Endpoint, EndpointId, Micros};
use prometheus_client::metrics::counter::Counter;
use tokio::time::Instant;

use self::endpoint_table::EndpointTable;
use self::list_expiry::ListExpiryCheck;
use self::load_report::LoadReportParser;
use self::socket_limit::SocketLimit;
use crate::exchange::{AttemptResult, DisconnectProbe, UpstreamRequest};

/// The part of the endpoints' keep-alive time for which an idle connection is kept: short of the whole, so that no
/// request crosses the endpoint's closing.
const IDLE_PART_OF_KEEPALIVE: f64 = 0.75;
/// The last part of the drain grace in which no attempt is started any more.
pub const DRAIN_MARGIN: Duration = Duration::from_millis(150);
/// The number of evictions of idle connections in the time for which these are kept.
const EVICTIONS_PER_IDLE_TIME: u32 = 10;
/// The bounds of the pause between two evictions.
const MIN_EVICTION_PAUSE: Duration = Duration::from_millis(10);
const MAX_EVICTION_PAUSE: Duration = Duration::from_secs(1);

/// The response header with the endpoint's load report.
pub const LOAD_HEADER: &str = "x-server-load";

/// An attempt to make.
pub struct AttemptRequest {
    /// The endpoint to send to.
    pub endpoint: EndpointId,
    /// The request.
    pub message: Rc<UpstreamRequest>,
    /// Tells whether the client that it is for has disconnected.
    pub disconnect_probe: DisconnectProbe,
    /// When the attempt times out.
    pub deadline: Instant,
    /// How long the client waits from the last byte of its request, where its body is streamed.
    pub client_timeout: Option<Duration>,
    /// Whether the request may have reached the endpoint.
    pub write_started: WriteStarted,
}

/// Whether an attempt has been handed over for writing, so that a byte of it may have been sent. Copies share the state.
#[derive(Clone, Debug, Default)]
pub struct WriteStarted(Rc<Cell<bool>>);

impl WriteStarted {
    /// Whether a byte may have been sent.
    pub fn get(&self) -> bool {
        self.0.get()
    }

    fn set(&self, started: bool) {
        self.0.set(started);
    }
}

/// The end of an attempt.
pub struct AttemptEnd {
    /// Its result.
    pub result: AttemptResult,
    /// Its connection, if that may serve again; see [`UpstreamPool::reuse`].
    pub reusable_connection: Option<HttpConnection>,
}

impl<T: Into<AttemptResult>> From<T> for AttemptEnd {
    fn from(result: T) -> Self {
        AttemptEnd { result: result.into(), reusable_connection: None }
    }
}

/// The endpoints of a pool with their connections.
pub struct UpstreamPool {
    transport: Transport,
    /// Set where the endpoints speak JSON-RPC; the others speak HTTP.
    rpc: Option<RpcSettings>,
    endpoints: RefCell<EndpointTable>,
    sockets: SocketLimit,
    list_expiry: ListExpiryCheck,
    load_reports: LoadReportParser,
    /// No configuration has this pool any more.
    is_retired: Cell<bool>,
    /// Counts HTTP attempts at the first write of the request's last part, and JSON-RPC calls that ended other than
    /// `NotWritten`; calls that timed out or were abandoned are not counted.
    attempts_written: Counter,
}

impl UpstreamPool {
    /// A pool without endpoints, which speaks HTTP and opens at most `max_sockets` connections.
    pub fn new(transport: Transport, max_sockets: usize) -> UpstreamPool {
        UpstreamPool {
            transport,
            rpc: None,
            endpoints: RefCell::default(),
            sockets: SocketLimit::new(max_sockets),
            list_expiry: ListExpiryCheck::default(),
            load_reports: LoadReportParser::default(),
            is_retired: Cell::new(false),
            attempts_written: Counter::default(),
        }
    }

    /// Counts the attempts that are written with this counter: HTTP ones at the first write of the request's last part,
    /// JSON-RPC calls once they have ended.
    pub fn with_attempt_counter(mut self, attempts_written: Counter) -> UpstreamPool {
        self.attempts_written = attempts_written;
        self
    }

    /// Speaks JSON-RPC to the endpoints.
    pub fn with_rpc(mut self, settings: RpcSettings) -> UpstreamPool {
        self.rpc = Some(settings);
        self
    }

    // ---- The endpoint list ----

    /// Takes in an entry of the endpoint list, and the address to connect to.
    pub fn update_endpoint(&self, entry: &Endpoint, address: SocketAddr) {
        self.endpoints.borrow_mut().update(entry, address);
    }

    /// Takes in a complete endpoint list: all endpoints that are not listed are removed.
    pub fn mark_unlisted_removed(&self, is_listed: impl Fn(EndpointId) -> bool) {
        self.endpoints.borrow_mut().mark_unlisted_removed(is_listed);
    }

    /// Visits each endpoint that is known, also removed ones, with its address.
    pub fn for_each_endpoint(&self, visit: impl FnMut(&Endpoint, SocketAddr)) {
        self.endpoints.borrow().for_each(visit);
    }

    /// The endpoints that have not been removed.
    pub fn listed_endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.borrow().listed()
    }

    /// Sets the time in which the endpoint list is too old to send to any endpoint.
    pub fn set_list_expiry(&self, expiry: Option<ListExpiry>) {
        self.list_expiry.set(expiry);
    }

    // ---- Connections ----

    /// Changes the limit of sockets; idle connections over it are closed.
    pub fn set_max_sockets(&self, max_sockets: usize) {
        self.sockets.set_max(max_sockets);
        // A closed connection is counted until its task has been dropped, so the excess is counted once, before.
        for _ in 0..self.sockets.excess() {
            if !self.endpoints.borrow_mut().close_idle_connection() {
                break;
            }
        }
    }

    /// Closes idle connections, and keeps none any longer than its request needs it.
    pub fn retire(&self) {
        self.is_retired.set(true);
        self.endpoints.borrow_mut().close_all_connections();
    }

    /// Keeps a connection for the next request, once it is free for one.
    pub async fn reuse(&self, endpoint: EndpointId, connection: Option<HttpConnection>) {
        let Some(mut connection) = connection else { return };
        if connection.wait_until_ready().await && !self.is_retired.get() {
            self.endpoints.borrow_mut().add_idle_http(endpoint, connection);
        }
    }

    /// Closes connections that have been idle for too long, and forgets removed endpoints after the drain grace, for as
    /// long as it is polled.
    pub async fn evict_idle(&self) {
        let max_idle = self.max_idle();
        let pause = max_idle / EVICTIONS_PER_IDLE_TIME;
        let pause = pause.clamp(MIN_EVICTION_PAUSE, MAX_EVICTION_PAUSE);
        loop {
            tokio::time::sleep(pause).await;
            let mut endpoints = self.endpoints.borrow_mut();
            endpoints.forget_removed(self.drain_grace());
            endpoints.close_idle_longer_than(max_idle);
        }
    }

    // ---- Attempts ----

    /// Makes an attempt.
    pub async fn attempt(self: &Rc<Self>, request: &AttemptRequest) -> AttemptEnd {
        match &self.rpc {
            Some(settings) => rpc_attempt::run(self, settings, request).await,
            None => http_attempt::run(self, request).await,
        }
    }

    /// Checks the health of an endpoint, and asks it for its load.
    pub async fn health_check(&self, endpoint: EndpointId) -> AttemptResult {
        health_check::run(self, endpoint).await
    }

    fn drain_grace(&self) -> Duration {
        duration(self.transport.drain_grace)
    }

    fn connect_timeout(&self) -> Duration {
        duration(self.transport.connect_timeout)
    }

    /// How long an idle connection is kept.
    fn max_idle(&self) -> Duration {
        Duration::from_micros((self.transport.keepalive as f64 * IDLE_PART_OF_KEEPALIVE) as u64)
    }
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros as u64)
}
