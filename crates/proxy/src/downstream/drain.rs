//! Graceful shutdown of a listener: continues to accept for a while, then closes idle connections and waits
//! for open requests, until the process is about to be killed. The crate `shutdown` decides; this module
//! applies its decisions.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use decide::Micros;
use shutdown::{ConnectionAction, Shutdown};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{timeout, timeout_at, Instant};

use super::connection::DownstreamConnection;
use super::cut_off::CutOffReason;
use super::{accept, ListenerState};
use crate::clock::Clock;
use crate::log::log_line;
use crate::socket::UnreadInput;

/// The interval at which connections are checked while the listener drains.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The value used for a client timeout that does not fit into [`Micros`], so that sums with clock times stay
/// in range. Valid requests have shorter timeouts: `request::routed` rejects those over
/// `MAX_CLIENT_TIMEOUT_MS`.
const MAX_CLIENT_TIMEOUT: Micros = Micros::MAX / 4;

/// The progress of a listener's graceful shutdown.
pub struct DrainState {
    shutdown: RefCell<Shutdown>,
    clock: Clock,
    /// Whether the time for accepting further requests is over: connections then close after the response to
    /// their current or next request.
    is_accept_time_over: Cell<bool>,
    /// True once open requests must fail because the process is about to be killed.
    is_deadline_passed: watch::Sender<bool>,
}

impl DrainState {
    /// Creates the state of a shutdown that has not started yet.
    pub fn new(shutdown: Shutdown, clock: Clock) -> DrainState {
        DrainState {
            shutdown: RefCell::new(shutdown),
            clock,
            is_accept_time_over: Cell::new(false),
            is_deadline_passed: watch::Sender::new(false),
        }
    }

    /// Whether the graceful shutdown has started.
    pub fn is_started(&self) -> bool {
        self.shutdown.borrow().has_begun()
    }

    /// Whether connections close after the response to their current or next request.
    pub fn is_accept_time_over(&self) -> bool {
        self.is_accept_time_over.get()
    }

    /// Records how long after its due time a timer of this process ran.
    pub fn report_lateness(&self, lateness: Duration) {
        self.shutdown.borrow_mut().observe_lateness(lateness.as_micros() as Micros);
    }

    /// The time that a request may take if its client waits for `client_timeout` from `received_at`.
    pub fn request_timeout(&self, received_at: Instant, client_timeout: Duration) -> Duration {
        let received_at = self.clock.now() - received_at.elapsed().as_micros() as Micros;
        let client_timeout = Micros::try_from(client_timeout.as_micros()).unwrap_or(MAX_CLIENT_TIMEOUT);
        let mut shutdown = self.shutdown.borrow_mut();
        shutdown.observe_client_timeout(client_timeout);
        Duration::from_micros(shutdown.request_time(received_at, client_timeout) as u64)
    }

    /// Whether the process is about to be killed, so that no request can succeed anymore.
    pub fn is_deadline_passed(&self) -> bool {
        self.shutdown.borrow().is_time_up(self.clock.now())
    }

    /// Completes once open requests must fail because the process is about to be killed.
    pub async fn deadline_passed(&self) {
        let _ = self.is_deadline_passed.subscribe().wait_for(|is_passed| *is_passed).await;
    }

    /// Starts the graceful shutdown and returns how long the listener continues to accept requests.
    fn start(&self) -> Duration {
        let mut shutdown = self.shutdown.borrow_mut();
        shutdown.begin(self.clock.now());
        Duration::from_micros(shutdown.accept_time() as u64)
    }

    fn accepts_connections(&self) -> bool {
        self.shutdown.borrow().accepts_connections(self.clock.now())
    }

    /// Updates the state to the time `now`.
    fn advance(&self, now: Micros) {
        let shutdown = self.shutdown.borrow();
        self.is_accept_time_over.set(shutdown.accepts_until().is_some_and(|until| until <= now));
        if shutdown.is_time_up(now) {
            self.is_deadline_passed.send_replace(true);
        }
    }
}

/// Drains a listener; returns once every accepted request has its response.
pub async fn drain(listener: &Rc<ListenerState>, socket: TcpListener) {
    let serving_time = listener.drain.start();
    log_line(format_args!(
        "graceful shutdown started: accepting requests for another {:.1} s, {} connections open",
        serving_time.as_secs_f64(),
        listener.connections.open_count()
    ));
    if listener.drain.accepts_connections() {
        let _ = timeout(serving_time, accept::accept_connections(listener, &socket)).await;
        let Ok(socket) = socket.into_std() else { return };
        accept_backlog(listener, &socket);
    } else {
        // Another process shares the socket: new clients connect to that process, current ones after their
        // next response.
        drop(socket);
    }
    close_connections(listener).await;
}

/// Accepts the connections that the kernel has already established, because their clients may have sent
/// requests.
fn accept_backlog(listener: &Rc<ListenerState>, socket: &std::net::TcpListener) {
    while let Ok((stream, _)) = socket.accept() {
        if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            accept::spawn_connection(listener, stream);
        }
    }
}

/// Closes each connection as soon as possible, until every accepted request has its response.
async fn close_connections(listener: &ListenerState) {
    let drain = &listener.drain;
    loop {
        let now = drain.clock.now();
        drain.advance(now);
        let open = listener.connections.snapshot();
        // Requests that the kernel has acknowledged but this process has not read must be answered too.
        let has_work = |connection: &&Rc<DownstreamConnection>| {
            connection.is_busy() || connection.socket.unread_input() == UnreadInput::Data
        };
        let busy_count = open.iter().filter(has_work).count();
        if drain.shutdown.borrow().may_exit(now, open.len(), busy_count) {
            log_abandoned(busy_count);
            return;
        }
        for connection in open {
            close_connection(drain, &connection, now);
        }
        // Waits for the next check, or until no connection is open. The end of a single connection causes no
        // check, because many may end at once.
        let next_check = Instant::now() + CHECK_INTERVAL;
        while timeout_at(next_check, listener.connections.connection_ended()).await.is_ok()
            && listener.connections.open_count() > 0
        {}
    }
}

/// Logs the connections that are cut off because they have kept a request open for too long.
fn log_abandoned(busy_count: usize) {
    if busy_count > 0 {
        log_line(format_args!(
            "graceful shutdown: exiting although {busy_count} connections still transfer a request or response"
        ));
    }
}

/// Applies the action that the shutdown decides on for a connection.
fn close_connection(drain: &DrainState, connection: &DownstreamConnection, now: Micros) {
    let shutdown = drain.shutdown.borrow();
    let response = connection.streamed_response_state(drain.clock);
    if response.is_some_and(|response| shutdown.must_cut_off(now, &response)) {
        connection.abort(CutOffReason::Shutdown);
        return;
    }
    let state = connection.shutdown_state(drain.clock, drain.is_accept_time_over());
    match shutdown.connection_action(now, &state) {
        ConnectionAction::Keep => {}
        ConnectionAction::CloseAfterResponse => connection.close_after_response(),
        ConnectionAction::Close if shutdown.is_time_up(now) => connection.abort_if_idle(),
        ConnectionAction::Close => connection.close(),
    }
}
