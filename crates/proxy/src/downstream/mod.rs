//! Callers: their connections, their requests, and the answers they get.

mod http;
mod rpc;
mod serving;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use config::Protocol;
use decide::{DownstreamConnections, Micros};
use shutdown::{ConnectionAction, ConnectionState, Shutdown, ShutdownPolicy};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

use crate::body::STALL_TIMEOUT;
use crate::clock::Clock;
use crate::exchange::{ClientConnection, MAX_HEAD_BYTES};
use crate::log::say;
use crate::request_ids::OpenRequestIds;
use crate::router::{Connection, Router};
use crate::socket::{Socket, UnreadInput};

/// The head of a request has come whole within this time: from the start of the connection for its first
/// request, from the head's first byte later on. Guards against callers that hold descriptors and say nothing.
const HEAD: Duration = Duration::from_secs(3);
/// The same where another connection waits for its room.
const HURRIED: Duration = Duration::from_millis(500);
/// How often that is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// Pause before trying again to accept where that failed or there is no room: trying at once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often connections are looked at while the proxy closes them.
const CLOSING_LOOK: Duration = Duration::from_millis(20);

/// What requests are read by and handed to.
pub struct Frontend {
    pub router: Rc<dyn Router>,
    pub ids: OpenRequestIds,
    pub protocol: Protocol,
    /// The listening socket is another process's as well, which goes on with it when this one ends.
    pub shared: bool,
}

/// The open connections of callers.
struct Callers {
    gate: Frontend,
    most: usize,
    all: RefCell<BTreeMap<u64, Rc<Caller>>>,
    /// Told when a connection has ended.
    room: Notify,
    shutdown: RefCell<Shutdown>,
    clock: Clock,
    /// Told to end, and done with waiting for further requests.
    leaving: Cell<bool>,
    /// The time of all that is still open is up: the kill is near.
    time_up: watch::Sender<bool>,
}

struct Caller {
    socket: Socket,
    /// A request on it has no answer yet.
    busy: Cell<bool>,
    /// It has had a request.
    asked: Cell<bool>,
    /// Its start or its last answer.
    used: Cell<Instant>,
    /// Asks the connection to close once nothing is left to answer on it.
    close: Notify,
    closing: Cell<bool>,
    /// Ends the connection as it is.
    drop: Notify,
    /// Ends it as it is unless a request has come meanwhile.
    give_up: Notify,
    /// What the router keeps with it.
    kept: Connection,
    /// While an answer flows to it: what had been written when that was last looked at, and since when it has been so.
    flowing: Cell<Option<(u64, Instant)>>,
}

/// Serves callers until `stop`, and then until all that was taken has its answer.
pub async fn run(gate: Frontend, listener: TcpListener, most: usize, stop: impl Future<Output = ()>) {
    let policy = ShutdownPolicy {
        longest_client_timeout: gate.router.max_request_deadline().as_micros() as Micros,
        is_killed: gate.router.has_termination_deadline(),
        is_only_proxy: gate.router.may_shut_down_alone(),
        shares_listener: gate.shared,
    };
    let callers = Rc::new(Callers {
        gate,
        most,
        all: RefCell::default(),
        room: Notify::new(),
        shutdown: RefCell::new(Shutdown::new(policy)),
        clock: Clock::new(),
        leaving: Cell::new(false),
        time_up: watch::Sender::new(false),
    });
    let mut stop = pin!(stop);
    let mut accepted = 0;
    let looking = spawn_local(look(Rc::clone(&callers)));
    tokio::select! {
        () = stop.as_mut() => {}
        () = accept(&callers, &listener, &mut accepted) => {}
    }
    callers.shutdown.borrow_mut().begin(callers.clock.now());
    let serving = Duration::from_micros(callers.shutdown.borrow().accept_time() as u64);
    say(format_args!(
        "told to end: serving on for {:.1} s, on {} connections",
        serving.as_secs_f64(),
        callers.all.borrow().len()
    ));
    if callers.shutdown.borrow().accepts_connections(callers.clock.now()) {
        let _ = timeout(serving, accept(&callers, &listener, &mut accepted)).await;
        // What the kernel has accepted by now is taken, too.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                serve(&callers, stream, &mut accepted);
            }
        }
    } else {
        // Who comes from now on is the other process's, and who is here is sent there with the next answer.
        drop(listener);
    }
    callers.end().await;
    looking.abort();
}

/// Drops connections whose request does not come, for as long as it is polled. One that waits for its next
/// request stays.
async fn look(callers: Rc<Callers>) {
    loop {
        let due = Instant::now() + LOOK;
        tokio::time::sleep_until(due).await;
        callers.shutdown.borrow_mut().observe_lateness(due.elapsed().as_micros() as Micros);
        let is_over = |c: &&Rc<Caller>| c.is_stuck() || (c.busy.get() && c.socket.is_peer_closed());
        callers.all.borrow().values().filter(is_over).for_each(|c| c.drop.notify_one());
        for caller in callers.all.borrow().values().filter(|c| !c.busy.get()) {
            // Calls come when they come; what is begun is to be ended.
            let patient = caller.asked.get() || callers.gate.protocol != Protocol::Http;
            let since = if patient { caller.socket.message_started_at() } else { Some(caller.used.get()) };
            let hurried = caller.closing.get() && !callers.is_ending();
            if since.is_some_and(|since| since.elapsed() > if hurried { HURRIED } else { HEAD }) {
                caller.give_up.notify_one();
            }
        }
    }
}

/// Accepts for as long as it is polled.
async fn accept(callers: &Rc<Callers>, listener: &TcpListener, accepted: &mut u64) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(callers, stream, accepted),
            Err(_) => {
                callers.close_one();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        // A connection left in the backlog waits; one accepted and dropped would lose its request.
        while callers.all.borrow().len() > callers.most {
            if callers.staying() > callers.most {
                callers.close_one();
            }
            // A newcomer counts as idle after a while, and nobody tells of that.
            let _ = timeout(ACCEPT_PAUSE, callers.room.notified()).await;
        }
    }
}

impl Callers {
    /// What is left to callers once the front has them go elsewhere; None while new connections come.
    fn ways_in(&self) -> Option<DownstreamConnections> {
        (self.is_ending() && !self.gate.shared).then(|| {
            let all = self.all.borrow();
            DownstreamConnections { idle: all.values().filter(|c| !c.busy.get()).count(), open: all.len() }
        })
    }

    /// Was the proxy told to end?
    fn is_ending(&self) -> bool {
        self.shutdown.borrow().has_begun()
    }

    /// Nothing more is accepted: closes what may be closed, until all that was taken has its answer.
    async fn end(&self) {
        loop {
            let now = self.clock.now();
            let (is_over, is_time_up) = {
                let shutdown = self.shutdown.borrow();
                (shutdown.accepts_until().is_some_and(|until| until <= now), shutdown.is_time_up(now))
            };
            self.leaving.set(is_over);
            if is_time_up {
                self.time_up.send_replace(true);
            }
            let open: Vec<_> = self.all.borrow().values().cloned().collect();
            // What lies there unread was taken all the same.
            let busy =
                open.iter().filter(|c| c.busy.get() || c.socket.unread_input() == UnreadInput::Data).count();
            if self.shutdown.borrow().may_exit(now, open.len(), busy) {
                return;
            }
            for caller in open {
                match self.shutdown.borrow().connection_action(now, &caller.state(self.clock, is_over)) {
                    ConnectionAction::Keep => {}
                    ConnectionAction::CloseAfterResponse => caller.closing.set(true),
                    ConnectionAction::Close if is_time_up => caller.give_up.notify_one(),
                    ConnectionAction::Close => caller.ask_to_close(),
                }
            }
            // Thousands that end together are looked at together.
            let look = Instant::now() + CLOSING_LOOK;
            while timeout_at(look, self.room.notified()).await.is_ok() && !self.all.borrow().is_empty() {}
        }
    }

    /// The time that a request may take which came then, and whose client waits for so long.
    fn time_for(&self, received: Instant, patience: Duration) -> Duration {
        let came = self.clock.now() - received.elapsed().as_micros() as Micros;
        let mut shutdown = self.shutdown.borrow_mut();
        let waits = Micros::try_from(patience.as_micros()).unwrap_or(Micros::MAX / 4);
        shutdown.observe_client_timeout(waits);
        Duration::from_micros(shutdown.request_time(came, waits) as u64)
    }

    /// Is the kill so near that nothing can come of a request any more?
    fn is_time_up(&self) -> bool {
        self.shutdown.borrow().is_time_up(self.clock.now())
    }

    /// Completes once the time of what is still open is up.
    async fn time_is_up(&self) {
        let _ = self.time_up.subscribe().wait_for(|up| *up).await;
    }

    fn staying(&self) -> usize {
        self.all.borrow().values().filter(|c| !c.closing.get()).count()
    }

    /// Has a connection end: the one idle for longest, else one with half a request, or one that is to say so with its
    /// answer. Not one that has just come and not asked yet: its first request would cross the closing.
    fn close_one(&self) {
        let all = self.all.borrow();
        let staying = all.values().filter(|c| !c.closing.get());
        let now = self.clock.now();
        let known = staying.filter(|c| c.busy.get() || !c.state(self.clock, false).is_new(now));
        if let Some(caller) = known.min_by_key(|c| (c.busy.get(), c.socket.message_bytes() > 0, c.used.get()))
        {
            caller.ask_to_close();
        }
    }
}

impl Caller {
    /// Who waits for the answers that go out on it.
    fn client(&self) -> ClientConnection {
        let socket = self.socket.clone();
        ClientConnection::new(move || socket.is_peer_closed() || socket.unread_input() == UnreadInput::Closed)
    }

    /// Its answer begins to flow.
    fn flows(&self) {
        self.flowing.set(Some((self.socket.bytes_written(), Instant::now())));
    }

    /// Has it read nothing for too long of an answer that flows?
    fn is_stuck(&self) -> bool {
        let Some((before, since)) = self.flowing.get() else { return false };
        if self.socket.bytes_written() != before {
            self.flows();
            return false;
        }
        since.elapsed() > STALL_TIMEOUT
    }

    /// Its request has its answer; what comes now is the next one.
    fn free(&self) {
        self.flowing.set(None);
        self.used.set(Instant::now());
        self.busy.set(false);
        self.socket.start_next_message(MAX_HEAD_BYTES);
    }

    /// What its end depends on; whether its next request has begun is asked of the kernel, and only where that counts.
    fn state(&self, clock: Clock, closes: bool) -> ConnectionState {
        ConnectionState {
            has_open_request: self.busy.get(),
            has_had_request: self.asked.get(),
            has_partial_request: closes && !self.busy.get() && self.has_begun(),
            last_used_at: clock.now() - self.used.get().elapsed().as_micros() as Micros,
        }
    }

    /// Has a part of its next request come?
    fn has_begun(&self) -> bool {
        self.socket.message_bytes() > 0 || self.socket.unread_input() == UnreadInput::Data
    }

    /// Completes once the connection is to be given up. What came in this very moment was taken, and is answered: the
    /// kernel is asked last thing before the close.
    async fn given_up(&self) {
        loop {
            self.give_up.notified().await;
            if !self.busy.get() && self.socket.unread_input() != UnreadInput::Data {
                return;
            }
        }
    }

    fn ask_to_close(&self) {
        self.closing.set(true);
        self.close.notify_one();
    }
}

/// Removes a connection from the list, however it ends.
struct Registered(Rc<Callers>, u64);

impl Drop for Registered {
    fn drop(&mut self) {
        self.0.all.borrow_mut().remove(&self.1);
        self.0.room.notify_one();
    }
}

fn serve(callers: &Rc<Callers>, stream: TcpStream, accepted: &mut u64) {
    *accepted += 1;
    let head = if callers.gate.protocol == Protocol::Http { MAX_HEAD_BYTES } else { 0 };
    let socket = Socket::for_downstream(stream, head);
    let caller = Rc::new(Caller {
        socket: socket.clone(),
        busy: Cell::new(false),
        asked: Cell::new(false),
        used: Cell::new(Instant::now()),
        close: Notify::new(),
        closing: Cell::new(false),
        drop: Notify::new(),
        give_up: Notify::new(),
        kept: Connection::default(),
        flowing: Cell::new(None),
    });
    callers.all.borrow_mut().insert(*accepted, Rc::clone(&caller));
    let registered = Registered(Rc::clone(callers), *accepted);
    spawn_local(async move {
        let callers = &registered.0;
        match callers.gate.protocol {
            Protocol::Http => http::serve(callers, &caller, socket).await,
            Protocol::JsonRpc { framing, calls } => {
                rpc::serve(callers, &caller, socket, framing, calls).await
            }
        }
    });
}

#[cfg(test)]
mod tests {
    use std::io::{BufRead, BufReader, Write};

    use decide::platform_settings;
    use tokio::sync::oneshot;
    use tokio::task::LocalSet;

    use super::*;
    use crate::clock::Clock;
    use crate::driver::Driver;
    use crate::platform_router::PlatformRouter;
    use crate::upstream::UpstreamPool;

    const SETTINGS: &str = r#"{"balancers":1,"stages":["front"],"limits":{"max_attempts":3},
        "request_classes":[{"name":"read","promise_ms":9000,"deadline_ms":9000,"semantics":"idempotent"}]}"#;

    #[test]
    fn what_the_decisions_leave_open_fails_before_its_time_is_up() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let site = platform_settings::parse(SETTINGS).expect("settings");
            let backends = Rc::new(UpstreamPool::new(site.transport, 9));
            // This driver never runs, so nothing is ever decided.
            let driver = Driver::new(site.settings.clone(), 7, Clock::new(), backends, None, Rc::default());
            let router = PlatformRouter {
                driver: driver.handle(),
                names: site.names,
                settings: site.settings,
                ready: Rc::default(),
                class_counters: Vec::new(),
            };
            let gate = Frontend {
                router: Rc::new(router),
                ids: OpenRequestIds::default(),
                protocol: Protocol::Http,
                shared: false,
            };
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("bound");
            let (answered, answer) = oneshot::channel();
            std::thread::spawn(move || {
                let mut stream = std::net::TcpStream::connect(address).expect("listens");
                let request =
                    "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Timeout-Ms: 300\r\n\r\n";
                stream.write_all(request.as_bytes()).expect("written");
                let mut line = String::new();
                BufReader::new(stream).read_line(&mut line).expect("an answer");
                let _ = answered.send(line);
            });
            let line = tokio::select! {
                line = answer => line.expect("heard"),
                () = run(gate, listener, 9, std::future::pending()) => unreachable!("it is not told to end"),
            };
            assert_eq!(line.trim_end(), "HTTP/1.1 504 Gateway Timeout");
        });
    }
}
