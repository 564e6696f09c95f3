//! The upstream side: the endpoints of a pool, the connections to them, and attempts of requests.
//!
//! The balancer chooses the endpoint. An attempt then goes through these phases, over HTTP in `http_attempt`
//! and over JSON-RPC in `rpc_attempt`:
//!
//! 1. take a connection: an idle one (`connections`) or a new one (`connect`);
//! 2. check right before the write that sending is still allowed: endpoint list, drain grace, client, deadline,
//!    deduplication window (`send_checks`); over HTTP, the list and the client are checked before connecting as
//!    well;
//! 3. send the request, and retry on another connection if a reused one had just closed;
//! 4. read the response;
//! 5. classify the outcome: `attempt_error` maps each failure of an attempt to an outcome. The status of a
//!    health check's response is classified in `health_check`.
//!
//! The resources of a pool are bounded by the number of sockets (`socket_limit`), the idle time of
//! connections, and the drain grace, after which a removed endpoint is forgotten.

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
mod reuse;
mod rpc_attempt;
mod rpc_connection;
mod send_checks;
mod socket_limit;
mod stray_responses;
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
use crate::exchange::{
    AttemptCounter, AttemptResult, DisconnectProbe, UpstreamRequest, IDEMPOTENCY_KEY_HEADER,
};
use crate::metrics::UnsentCounters;
use crate::rpc_mapping;

/// The fraction of the endpoints' keep-alive time for which an idle connection is kept. Less than 1, so that
/// no request is sent while the endpoint closes the connection.
const IDLE_FRACTION_OF_KEEPALIVE: f64 = 0.75;
/// The longest time between a check of the clock and the write that it allows, for example because the process
/// is not scheduled. Nothing is sent within this time before the end of a drain grace or of a deduplication
/// window.
pub const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);
/// The number of evictions of idle connections within the time for which an idle connection is kept.
const EVICTIONS_PER_IDLE_TIME: u32 = 10;
/// The shortest pause between two evictions.
const MIN_EVICTION_PAUSE: Duration = Duration::from_millis(10);
/// The longest pause between two evictions.
const MAX_EVICTION_PAUSE: Duration = Duration::from_secs(1);

/// The response header with the endpoint's load report.
pub const LOAD_HEADER: &str = "x-server-load";

/// An attempt to run.
pub struct AttemptRequest {
    /// The endpoint to send to.
    pub endpoint: EndpointId,
    /// The request to send.
    pub message: Rc<UpstreamRequest>,
    /// Reports whether the client of the request has disconnected.
    pub disconnect_probe: DisconnectProbe,
    /// When the attempt times out.
    pub deadline: Instant,
    /// The time from which on nothing may be written, because endpoints may have forgotten an earlier attempt
    /// of the request; `None` for no limit.
    pub write_before: Option<Instant>,
    /// How long the client waits for the response, from the last byte of its request. Applies only if the
    /// body is streamed; `None` if the client set no timeout.
    pub client_timeout: Option<Duration>,
    /// Whether a byte of the request may have been sent.
    pub write_started: WriteStarted,
    /// The attempts of the request over all pools.
    pub attempts: AttemptCounter,
}

impl AttemptRequest {
    /// Records that the attempt is being written from now on.
    fn start_write(&self) {
        self.write_started.set(true);
        self.attempts.note_write();
    }

    /// When the client stops waiting for the response, as far as that is known. The deadline of an attempt
    /// with a streamed body includes the longest time that the body may take.
    fn response_deadline(&self) -> Instant {
        let streamed = self.message.body().streaming().zip(self.client_timeout);
        let client_deadline =
            streamed.and_then(|(body, timeout)| Some(body.client_waits_since(Instant::now())? + timeout));
        client_deadline.map_or(self.deadline, |client_deadline| client_deadline.min(self.deadline))
    }
}

/// A flag that is set when an attempt is passed to its connection for writing, after which a byte of it may
/// have been sent. Clones share the flag.
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
    /// The result of the attempt.
    pub result: AttemptResult,
    /// The connection of the attempt, if it may be reused; see [`UpstreamPool::reuse`].
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
    /// The settings of JSON-RPC; `None` if the endpoints use HTTP.
    rpc: Option<RpcSettings>,
    endpoints: RefCell<EndpointTable>,
    sockets: SocketLimit,
    list_expiry: ListExpiryCheck,
    load_reports: LoadReportParser,
    /// Whether the pool is no longer part of the configuration.
    is_retired: Cell<bool>,
    /// Counts the attempts that were written; see [`UpstreamPool::with_attempt_counter`].
    attempts_written: Counter,
    unsent_attempts: UnsentCounters,
}

impl UpstreamPool {
    /// Creates a pool without endpoints that uses HTTP and opens at most `max_sockets` connections.
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
            unsent_attempts: UnsentCounters::default(),
        }
    }

    /// Sets the counters of the attempts that a check right before the connect or the write stopped.
    pub fn with_unsent_counters(mut self, unsent_attempts: UnsentCounters) -> UpstreamPool {
        self.unsent_attempts = unsent_attempts;
        self
    }

    /// Sets the counter of the attempts that were written. An HTTP attempt is counted at the first write of a
    /// buffered request, or at the first write after the end of a streamed body. A JSON-RPC call is counted
    /// when it ends, unless it ends with `NotWritten`, times out or is abandoned.
    pub fn with_attempt_counter(mut self, attempts_written: Counter) -> UpstreamPool {
        self.attempts_written = attempts_written;
        self
    }

    /// Uses JSON-RPC instead of HTTP.
    pub fn with_rpc(mut self, settings: RpcSettings) -> UpstreamPool {
        self.rpc = Some(settings);
        self
    }

    // ---- The endpoint list ----

    /// Adds or updates an endpoint from its entry in the endpoint list and the address to connect to.
    pub fn update_endpoint(&self, entry: &Endpoint, address: SocketAddr) {
        let notified_at = self.list_expiry.notified_at();
        self.endpoints.borrow_mut().update(entry, address, notified_at);
    }

    /// Marks all endpoints that are not listed as removed. To be called with a complete endpoint list.
    pub fn mark_unlisted_removed(&self, is_listed: impl Fn(EndpointId) -> bool) {
        let notified_at = self.list_expiry.notified_at();
        self.endpoints.borrow_mut().mark_unlisted_removed(is_listed, notified_at);
    }

    /// Visits each endpoint with its address, including removed ones that have not been forgotten.
    pub fn for_each_endpoint(&self, visit: impl FnMut(&Endpoint, SocketAddr)) {
        self.endpoints.borrow().for_each(visit);
    }

    /// The endpoints that have not been removed.
    pub fn listed_endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.borrow().listed()
    }

    /// Sets the period in which the endpoint list is too old to send to any endpoint; `None` if it does not
    /// expire.
    pub fn set_list_expiry(&self, expiry: Option<ListExpiry>) {
        self.list_expiry.set(expiry);
    }

    // ---- Connections ----

    /// Changes the limit of sockets. Idle connections in excess of it are closed.
    pub fn set_max_sockets(&self, max_sockets: usize) {
        self.sockets.set_max(max_sockets);
        // A closed connection counts until its task has been dropped, so the excess is read once, before the
        // loop.
        for _ in 0..self.sockets.excess() {
            if !self.endpoints.borrow_mut().close_idle_connection() {
                break;
            }
        }
    }

    /// Closes the idle connections, and from then on closes each other connection when its requests have
    /// ended.
    pub fn retire(&self) {
        self.is_retired.set(true);
        self.endpoints.borrow_mut().close_all_connections();
    }

    /// Keeps a connection for the next request, as soon as it is ready for one.
    pub async fn reuse(&self, endpoint: EndpointId, connection: Option<HttpConnection>) {
        let Some(mut connection) = connection else { return };
        if connection.wait_until_ready().await && !self.is_retired.get() {
            self.endpoints.borrow_mut().add_idle_http(endpoint, connection);
        }
    }

    /// Closes connections that have been idle for too long, and forgets removed endpoints after the drain
    /// grace. Runs for as long as it is polled.
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

    /// Runs an attempt.
    pub async fn attempt(self: &Rc<Self>, request: &Rc<AttemptRequest>) -> AttemptEnd {
        match &self.rpc {
            Some(settings) => rpc_attempt::run(self, settings, request).await,
            None => http_attempt::run(self, request).await,
        }
    }

    /// Whether attempts of this request carry its idempotency key in a form that endpoints can read.
    pub fn carries_idempotency_key(&self, message: &UpstreamRequest) -> bool {
        message.headers().contains_key(IDEMPOTENCY_KEY_HEADER)
            && (self.rpc.is_none() || rpc_mapping::carries_meta(message))
    }

    /// Checks the health of an endpoint and requests its load.
    pub async fn health_check(&self, endpoint: EndpointId) -> AttemptResult {
        health_check::run(self, endpoint).await
    }

    fn drain_grace(&self) -> Duration {
        duration(self.transport.drain_grace)
    }

    fn connect_timeout(&self) -> Duration {
        duration(self.transport.connect_timeout)
    }

    /// The time for which an idle connection is kept.
    fn max_idle(&self) -> Duration {
        Duration::from_micros((self.transport.keepalive as f64 * IDLE_FRACTION_OF_KEEPALIVE) as u64)
    }
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros as u64)
}
