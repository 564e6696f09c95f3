//! Upstreams: connections, attempts and probes, and what their outcomes prove.

mod rpc_connection;

pub use rpc_connection::RpcSettings;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use decide::platform_settings::{LoadReportField, Transport};
use decide::{Endpoint, EndpointId, EndpointState, LoadReport, Outcome};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use membership::ExpiryCause;
use prometheus_client::metrics::counter::Counter;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, timeout_at, Instant};

use self::rpc_connection::{is_over, End, RpcLink};
use crate::body::{self, Content, Cut, Flow, Gathered, MayFlow};
use crate::exchange::{remove_hop_by_hop, Client, Ended, Message, MOST_BODY, MOST_BUFFER, TIMEOUT};
use crate::log::say;
use crate::rpc_mapping;
use crate::socket::{Slot, Socket, Unread};

/// The part of the backends' keep-alive time for which an idle connection is kept: well before the backend
/// closes it, so that no request crosses the closing.
const KEPT_IDLE: f64 = 0.75;
/// The last part of the drain grace in which nothing is begun.
pub const DRAIN_MARGIN: Duration = Duration::from_millis(150);
/// An answer that may be asked for again if it breaks off is gathered for this long. Longer spares more callers a broken
/// answer, and holds back the first bytes of slow ones.
const GATHERED: Duration = Duration::from_millis(100);
/// How long a probe may take once it is connected.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// The largest figure in a load report that can be meant.
const MOST_FIGURE: f64 = 1e6;

pub const LOAD_HEADER: &str = "x-server-load";
const NOT_PROCESSED: &str = "x-not-processed";

/// An attempt to make.
pub struct AttemptRequest {
    pub backend: EndpointId,
    pub message: Rc<Message>,
    /// Whom it is for.
    pub client: Client,
    pub until: Instant,
    /// How long the caller waits once its request has come whole, where that flows.
    pub patience: Option<Duration>,
    /// It has been handed over for writing, so that a byte of it may have gone.
    pub begun: Rc<Cell<bool>>,
}

/// The time in which the list is older than it may be.
#[derive(Clone, Copy, Debug)]
pub struct ListExpiry {
    pub from: Instant,
    pub until: Instant,
    pub cause: ExpiryCause,
}

impl ListExpiry {
    fn contains(&self, at: Instant) -> bool {
        self.from <= at && at < self.until
    }
}

pub struct Upstreams {
    transport: Transport,
    /// How its nodes speak JSON-RPC; None where they speak HTTP.
    speech: Option<RpcSettings>,
    most_links: Cell<usize>,
    /// Told that no configuration has it any more.
    retired: Cell<bool>,
    links: Rc<Cell<usize>>,
    all: RefCell<BTreeMap<EndpointId, Backend>>,
    /// When the list is older than it may be, and nothing new is sent to any of them.
    list_expiry: Cell<Option<ListExpiry>>,
    /// A request has met that, and it was logged.
    logged_expiry: Cell<bool>,
    complained_of_links: Cell<bool>,
    complained_of_reports: Cell<bool>,
    /// Attempts that were written whole.
    tries: Counter,
}

struct Backend {
    entry: Endpoint,
    address: SocketAddr,
    /// When it was said to drain or to be gone.
    left: Option<Instant>,
    /// The one used last stands last.
    idle: Vec<Idle>,
    /// Those that carry many calls at once.
    shared: Vec<Rc<RpcLink>>,
    /// One of these is being made.
    dialing: Weak<Dialing>,
}

/// A connection that is being made.
#[derive(Default)]
struct Dialing {
    told: Rc<Notify>,
}

impl Drop for Dialing {
    fn drop(&mut self) {
        self.told.notify_waiters();
    }
}

impl Backend {
    /// Nothing new is sent on the connections that it has.
    fn let_go(&mut self) {
        self.idle.clear();
        self.shared.clear();
    }
}

struct Idle {
    link: Link,
    since: Instant,
}

/// A connection. Dropping it closes it.
pub struct Link {
    sender: SendRequest<Content>,
    socket: Socket,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    fn is_usable(&self) -> bool {
        // The kernel knows of a closure before the connection's task does.
        self.sender.is_ready() && self.socket.unread() == Unread::Nothing
    }
}

/// The cause in words for operators.
fn explain(cause: ExpiryCause) -> &'static str {
    match cause {
        ExpiryCause::Unconfirmed => "discovery has not confirmed the list that this process started with",
        ExpiryCause::CallsFailed => "calls to discovery failed, and it may have told others of a drain",
        ExpiryCause::ResponseMissing => "discovery may have told of a drain that was not heard",
    }
}

impl Upstreams {
    pub fn new(transport: Transport, most_links: usize) -> Upstreams {
        Upstreams {
            transport,
            speech: None,
            most_links: Cell::new(most_links),
            retired: Cell::new(false),
            links: Rc::default(),
            all: RefCell::default(),
            list_expiry: Cell::new(None),
            logged_expiry: Cell::new(false),
            complained_of_links: Cell::new(false),
            complained_of_reports: Cell::new(false),
            tries: Counter::default(),
        }
    }

    /// Counts attempts that are written whole here.
    pub fn counting(mut self, tries: Counter) -> Upstreams {
        self.tries = tries;
        self
    }

    /// Its nodes speak JSON-RPC.
    pub fn speaking(mut self, speech: RpcSettings) -> Upstreams {
        self.speech = Some(speech);
        self
    }

    fn drain_grace(&self) -> Duration {
        Duration::from_micros(self.transport.drain_grace as u64)
    }

    fn kept_idle(&self) -> Duration {
        Duration::from_micros((self.transport.keepalive as f64 * KEPT_IDLE) as u64)
    }

    /// Closes idle connections when their time is up, and forgets backends that have gone and may get nothing
    /// any more, for as long as it is polled.
    pub async fn sweep(&self) {
        let kept = self.kept_idle();
        let pause = (kept / 10).clamp(Duration::from_millis(10), Duration::from_secs(1));
        loop {
            tokio::time::sleep(pause).await;
            // Guards against growth: backends that are replaced come under ever new ids.
            self.all.borrow_mut().retain(|_, b| {
                b.entry.state != EndpointState::Removed
                    || b.left.is_none_or(|at| at.elapsed() < self.drain_grace())
            });
            for backend in self.all.borrow_mut().values_mut() {
                backend.idle.retain(|i| i.since.elapsed() < kept && i.link.sender.is_ready());
                backend.shared.retain(|link| !is_over(link, kept));
            }
        }
    }

    // ---- The list ----

    /// Takes in what discovery says of one backend.
    pub fn update(&self, entry: &Endpoint, address: SocketAddr) {
        let mut all = self.all.borrow_mut();
        let backend = all.entry(entry.id).or_insert_with(|| Backend {
            entry: entry.clone(),
            address,
            left: None,
            idle: Vec::new(),
            shared: Vec::new(),
            dialing: Weak::new(),
        });
        if backend.address != address || backend.entry.up_since != entry.up_since {
            // Another process, or another way to it.
            backend.let_go();
        }
        backend.address = address;
        backend.entry = entry.clone();
        if entry.state == EndpointState::Ready {
            backend.left = None;
        } else {
            backend.left.get_or_insert_with(Instant::now);
            backend.let_go();
        }
    }

    /// What a whole list leaves out is gone.
    pub fn retain(&self, listed: impl Fn(EndpointId) -> bool) {
        for (id, backend) in self.all.borrow_mut().iter_mut() {
            if !listed(*id) {
                backend.entry.state = EndpointState::Removed;
                backend.left.get_or_insert_with(Instant::now);
                backend.let_go();
            }
        }
    }

    /// Each backend that is known, also those that have gone, and where it listens.
    pub fn each(&self, mut look: impl FnMut(&Endpoint, SocketAddr)) {
        self.all.borrow().values().for_each(|b| look(&b.entry, b.address));
    }

    /// From now on it may hold so many connections; idle ones over that are closed.
    pub fn set_most_links(&self, most: usize) {
        self.most_links.set(most);
        // A closed one is counted until its task has come round to it.
        let over = self.links.get().saturating_sub(most);
        (0..over).take_while(|_| self.close_oldest_idle()).for_each(drop);
    }

    /// Keeps no connection any longer than its request needs it.
    pub fn retire(&self) {
        self.retired.set(true);
        self.all.borrow_mut().values_mut().for_each(Backend::let_go);
    }

    pub fn entries(&self) -> Vec<Endpoint> {
        let all = self.all.borrow();
        all.values().filter(|b| b.entry.state != EndpointState::Removed).map(|b| b.entry.clone()).collect()
    }

    // ---- Connections ----

    fn idle(&self, id: EndpointId) -> Option<Link> {
        let kept = self.kept_idle();
        let mut all = self.all.borrow_mut();
        let backend = all.get_mut(&id)?;
        while let Some(Idle { link, since }) = backend.idle.pop() {
            if since.elapsed() < kept && link.is_usable() {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, id: EndpointId, link: Link) {
        if self.retired.get() {
            return;
        }
        if let Some(backend) = self.all.borrow_mut().get_mut(&id).filter(|b| b.left.is_none()) {
            backend.idle.push(Idle { link, since: Instant::now() });
        }
    }

    /// A new connection for HTTP, or why there is none.
    async fn connect(&self, id: EndpointId) -> Result<Link, Outcome> {
        let socket = self.dial(id).await?;
        let io = TokioIo::new(socket.clone());
        let handshake = http1::Builder::new().max_buf_size(MOST_BUFFER).handshake(io);
        let (sender, connection) = handshake.await.map_err(|_| Outcome::ConnectFailed)?;
        // An error on it ends the request on it as well, and is seen there.
        let task = spawn_local(connection);
        Ok(Link { sender, socket, task: task.abort_handle() })
    }

    /// One that carries many calls: an open one with room, or a new one.
    async fn shared_link(
        &self,
        id: EndpointId,
        speech: &RpcSettings,
        fresh: &mut bool,
    ) -> Result<Rc<RpcLink>, Outcome> {
        let open =
            || self.all.borrow().get(&id).and_then(|b| b.shared.iter().find(|l| l.has_room()).cloned());
        // Calls that come while the first connection is made wait for that one, and if that is not enough make their own.
        let dialing = || self.all.borrow().get(&id).and_then(|b| b.dialing.upgrade());
        let mut link = open();
        if let (None, Some(other)) = (&link, dialing()) {
            // Told when it is dropped, however the dialing ends.
            let told = Rc::clone(&other.told);
            drop(other);
            told.notified().await;
            link = open();
        }
        *fresh = link.is_none();
        if let Some(link) = link {
            return Ok(link);
        }
        let own = Rc::new(Dialing::default());
        if let Some(backend) = self.all.borrow_mut().get_mut(&id).filter(|b| b.dialing.strong_count() == 0) {
            backend.dialing = Rc::downgrade(&own);
        }
        let link = Rc::new(RpcLink::new(self.dial(id).await?, speech.clone()));
        if !self.retired.get() {
            if let Some(backend) = self.all.borrow_mut().get_mut(&id).filter(|b| b.left.is_none()) {
                backend.shared.push(Rc::clone(&link));
            }
        }
        Ok(link)
    }

    /// A new connection, or why there is none.
    async fn dial(&self, id: EndpointId) -> Result<Socket, Outcome> {
        let address = self.all.borrow().get(&id).map(|b| b.address).ok_or(Outcome::NotSent)?;
        if self.links.get() >= self.most_links.get() && !self.close_oldest_idle() {
            if !self.complained_of_links.replace(true) {
                say(format_args!("all {} sockets for backends are in use", self.most_links.get()));
            }
            // The want is this proxy's own and tells nothing of the backend.
            return Err(Outcome::NotSent);
        }
        let slot = Slot::new(&self.links);
        let limit = Instant::now() + Duration::from_micros(self.transport.connect_timeout as u64);
        let Ok(Ok(stream)) = timeout_at(limit, TcpStream::connect(address)).await else {
            return Err(Outcome::ConnectFailed);
        };
        Ok(Socket::new(stream, Some(slot)))
    }

    fn close_oldest_idle(&self) -> bool {
        let mut all = self.all.borrow_mut();
        let oldest =
            all.values_mut().filter(|b| !b.idle.is_empty()).min_by_key(|b| b.idle[0].since.elapsed());
        if oldest.map(|b| b.idle.remove(0)).is_some() {
            return true;
        }
        let shared = all.values_mut().flat_map(|b| {
            let idle = b.shared.iter().enumerate().filter_map(|(i, l)| Some((l.idle_since()?, i)));
            idle.min().map(|found| (found, &mut b.shared))
        });
        let oldest = shared.min_by_key(|(found, _)| *found);
        oldest.map(|((_, place), shared)| shared.remove(place)).is_some()
    }

    /// From when until when nothing new may be sent to any backend, as the list is older than it may be.
    pub fn set_list_expiry(&self, expiry: Option<ListExpiry>) {
        self.list_expiry.set(expiry);
        let has_passed = expiry.is_none_or(|expiry| Instant::now() < expiry.from);
        if has_passed && self.logged_expiry.replace(false) {
            say(format_args!("sending again: the list is up to date"));
        }
    }

    fn is_list_expired(&self) -> bool {
        let now = Instant::now();
        let Some(expiry) = self.list_expiry.get().filter(|expiry| expiry.contains(now)) else { return false };
        if !self.logged_expiry.replace(true) {
            say(format_args!("sending nothing: {}", explain(expiry.cause)));
        }
        true
    }

    /// May something still be sent there?
    fn may_write(&self, id: EndpointId) -> bool {
        if self.is_list_expired() {
            return false;
        }
        let grace = self.drain_grace();
        let left = self.all.borrow().get(&id).map(|b| b.left);
        left.is_some_and(|left| left.is_none_or(|at| at.elapsed() + DRAIN_MARGIN < grace))
    }

    // ---- Attempts ----

    /// Makes an attempt: how it ended, and the connection if that can serve again.
    pub async fn attempt(self: &Rc<Self>, order: &AttemptRequest) -> (Ended, Option<Link>) {
        if let Some(speech) = &self.speech {
            let progress = Rc::new(Cell::new(0));
            let ended = timeout_at(order.until, self.call(order, speech, &progress)).await;
            let late = if progress.get() == 0 { Outcome::NotSent } else { Outcome::Timeout };
            return (ended.unwrap_or_else(|_| late.into()), None);
        }
        let flow = order.message.body().flow();
        let late = async {
            match (flow, order.patience) {
                // The caller's time counts from the last byte that it sent.
                (Some(flow), Some(patience)) => sleep_until(flow.end_of_it().await + patience).await,
                _ => pending().await,
            }
        };
        let result = tokio::select! {
            result = timeout_at(order.until, self.exchange(order)) => result.ok(),
            () = late => None,
        };
        match result {
            Some(result) => result,
            // Nothing was sent, so nothing ran: the time went in connecting.
            None if !order.begun.get() => (Outcome::NotSent.into(), None),
            // A backend begins once it has the last byte.
            None if flow.is_some_and(|f| f.ended().is_none()) => (Outcome::NotSent.into(), None),
            None => (Outcome::Timeout.into(), None),
        }
    }

    /// Keeps a connection for the next request, once it is free for one.
    pub async fn reuse(&self, id: EndpointId, link: Option<Link>) {
        if let Some(mut link) = link {
            if link.sender.ready().await.is_ok() {
                self.keep(id, link);
            }
        }
    }

    async fn exchange(self: &Rc<Self>, order: &AttemptRequest) -> (Ended, Option<Link>) {
        loop {
            // A connection costs the backend work.
            if self.is_list_expired() || order.client.has_left() {
                return (Outcome::NotSent.into(), None);
            }
            let idle = self.idle(order.backend);
            let fresh = idle.is_none();
            let mut link = match idle {
                Some(link) => link,
                None => match self.connect(order.backend).await {
                    Ok(link) => link,
                    Err(outcome) => return (outcome.into(), None),
                },
            };
            // Connecting took time: look again before anything is written.
            let left = order.until.saturating_duration_since(Instant::now());
            if left.is_zero() || order.client.has_left() || !self.may_write(order.backend) {
                return (Outcome::NotSent.into(), Some(link));
            }
            let mut message = (*order.message).clone();
            let left = HeaderValue::from(left.as_millis().max(1) as u64);
            message.headers_mut().insert(TIMEOUT, left);
            order.begun.set(true);
            let before = link.socket.written();
            match order.message.body().flow() {
                None => link.socket.counted().at_next_write(&self.tries),
                Some(flow) => {
                    let (socket, tries) = (link.socket.clone(), self.tries.clone());
                    flow.at_end(move || socket.counted().at_next_write(&tries));
                }
            }
            let response = match link.sender.try_send_request(message).await {
                Ok(response) => response,
                Err(mut e) => {
                    link.socket.counted().not();
                    if let Some(flow) = order.message.body().flow().filter(|flow| flow.is_begun()) {
                        // Without its last byte a backend begins nothing; and what was read is gone.
                        let whole = flow.ended().is_some();
                        return (if whole { Outcome::Reset } else { Outcome::NotSent }.into(), None);
                    }
                    // Given back, or not a byte of it taken by the kernel: it cannot have run.
                    if e.take_message().is_none() && link.socket.written() > before {
                        return (Outcome::Reset.into(), None);
                    }
                    // An idle connection had just closed, and the next may serve.
                    order.begun.set(false);
                    if fresh {
                        return (Outcome::ConnectFailed.into(), None);
                    }
                    continue;
                }
            };
            return self.read(order, response, link).await;
        }
    }

    /// An attempt as a call. `progress` counts its bytes that the kernel has taken.
    async fn call(&self, order: &AttemptRequest, speech: &RpcSettings, progress: &Rc<Cell<usize>>) -> Ended {
        let body = rpc_mapping::body(&order.message);
        let mut fresh = false;
        loop {
            let link = match self.shared_link(order.backend, speech, &mut fresh).await {
                Ok(link) => link,
                Err(outcome) => return outcome.into(),
            };
            // Connecting took time: look again before anything is written.
            let left = order.until.saturating_duration_since(Instant::now());
            if left.is_zero() || order.client.has_left() || !self.may_write(order.backend) {
                return Outcome::NotSent.into();
            }
            let left = left.as_millis().max(1) as u64;
            order.begun.set(true);
            let sent =
                link.send(Rc::clone(progress), |id| rpc_mapping::call_of(&order.message, &body, id, left));
            drop(link);
            let end = sent.end().await;
            if !matches!(end, End::Never) {
                self.tries.inc();
            }
            return match end {
                End::Result(result) => {
                    let (headers, body) = rpc_mapping::answer_of(&result);
                    let answer = Some((headers, body.into()));
                    Ended { outcome: Outcome::Ok, report: None, answer }
                }
                End::Error(jsonrpc::code::NOT_PROCESSED) => Outcome::Rejected.into(),
                End::Error(_) => Outcome::Error.into(),
                End::Broken => Outcome::Reset.into(),
                // One that was open had just closed, and the next may serve.
                End::Never if !fresh => {
                    progress.set(0);
                    order.begun.set(false);
                    continue;
                }
                End::Never => Outcome::ConnectFailed.into(),
            };
        }
    }

    async fn read(
        self: &Rc<Self>,
        order: &AttemptRequest,
        response: Response<Incoming>,
        link: Link,
    ) -> (Ended, Option<Link>) {
        let (head, body) = response.into_parts();
        let report = head.headers.get_all(LOAD_HEADER).iter().find_map(|v| self.report(v.as_bytes()));
        let turned_away = head.headers.get(NOT_PROCESSED).is_some_and(|v| v == "1");
        // Small ones are owed whole, and held whole may be asked for again should they break off.
        let may_flow = order.message.extensions().get();
        let may_flow =
            may_flow.filter(|_| head.status == StatusCode::OK && !body::is_owed_whole(&body)).copied();
        let body = if may_flow.is_some() {
            // Those of unknown length are gathered for a while, and go on as they come if that is not enough.
            body::gather(body, MOST_BODY, Instant::now() + GATHERED).await
        } else {
            let whole = Limited::new(body, MOST_BODY).collect().await;
            whole.map(|b| Gathered::Whole(b.to_bytes())).map_err(|_| Cut::Broken)
        };
        let outcome = match head.status {
            StatusCode::OK if body.is_err() => Outcome::Reset,
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let Ok(body) = body else {
            return (Ended { outcome, report, answer: None }, None);
        };
        let (content, link) = match body {
            Gathered::Whole(body) => (body.into(), Some(link)),
            Gathered::Part(first, rest) => {
                let flow = Rc::new(Flow::of_answer(
                    rest,
                    first,
                    may_flow.map_or(0, |MayFlow(most)| most),
                    order.until,
                ));
                // Kept open until then; dropped with the body, it ends there.
                let (backends, id) = (Rc::clone(self), order.backend);
                flow.at_end(move || drop(spawn_local(async move { backends.reuse(id, Some(link)).await })));
                (Content::Flowing(flow), None)
            }
        };
        let answer = (outcome == Outcome::Ok).then(|| {
            let mut headers = head.headers;
            remove_hop_by_hop(&mut headers);
            headers.remove(LOAD_HEADER);
            (headers, content)
        });
        (Ended { outcome, report, answer }, link)
    }

    /// A load report: an object of numbers. A malformed one is passed over, and so is one with an absurd figure,
    /// which would keep requests from a sound backend.
    fn report(&self, json: &[u8]) -> Option<LoadReport> {
        let read = serde_json::from_slice::<BTreeMap<String, f64>>(json).ok();
        let Some(values) = read.filter(|values| values.values().all(|v| (0.0..=MOST_FIGURE).contains(v)))
        else {
            if !self.complained_of_reports.replace(true) {
                say(format_args!(
                    "passing over a malformed load report: {:?}",
                    String::from_utf8_lossy(json)
                ));
            }
            return None;
        };
        let mut report = LoadReport::default();
        for (name, value) in values {
            LoadReportField::named(&name).store(&mut report, value);
        }
        Some(report)
    }

    pub async fn health_check(&self, id: EndpointId) -> Ended {
        if self.speech.is_some() {
            // No call asks for load.
            return Outcome::NotSent.into();
        }
        let mut link = match self.connect(id).await {
            Ok(link) => link,
            Err(outcome) => return outcome.into(),
        };
        let mut request = Request::new(Content::default());
        *request.method_mut() = Method::GET;
        *request.uri_mut() = hyper::Uri::from_static("/load");
        request.headers_mut().insert(header::HOST, HeaderValue::from_static("backend"));
        let exchange = async {
            let Ok(response) = link.sender.send_request(request).await else {
                return Ended::from(Outcome::Reset);
            };
            let status = response.status();
            let header = response.headers().get(LOAD_HEADER).cloned();
            let Ok(body) = Limited::new(response.into_body(), MOST_BODY).collect().await else {
                return Outcome::Reset.into();
            };
            let body = body.to_bytes();
            let json = header.as_ref().map_or(&body[..], HeaderValue::as_bytes);
            let outcome = match status {
                StatusCode::OK => Outcome::Ok,
                StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
                _ => Outcome::Error,
            };
            Ended { outcome, report: self.report(json), answer: None }
        };
        let limit = Instant::now() + PROBE_TIME;
        timeout_at(limit, exchange).await.unwrap_or_else(|_| Outcome::Timeout.into())
    }
}

#[cfg(test)]
mod tests {
    use tokio::task::LocalSet;
    use tokio::time::timeout;

    use super::*;

    #[test]
    fn absurd_load_reports_are_passed_over() {
        let transport = Transport { keepalive: 0, connect_timeout: 0, drain_grace: 0 };
        let backends = Upstreams::new(transport, 9);
        for bad in ["{\"depth\":1e300}", "{\"depth\":-1}", "{\"depth\":1e999}", "=,=", "[1]", ""] {
            assert!(backends.report(bad.as_bytes()).is_none(), "{bad}");
        }
        assert_eq!(backends.report(b"{\"depth\":3}").and_then(|r| r.queued), Some(3.0));
    }

    #[test]
    fn a_backend_that_has_gone_is_forgotten_once_its_grace_is_over() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let transport = Transport { keepalive: 100_000, connect_timeout: 0, drain_grace: 50_000 };
            let backends = Upstreams::new(transport, 9);
            let address = "127.0.0.1:9".parse().expect("an address");
            let entry = |id, stage| Endpoint { id: EndpointId(id), state: stage, ..Endpoint::default() };
            for id in 0..300 {
                backends.update(&entry(id, EndpointState::Ready), address);
                backends.update(&entry(id, EndpointState::Removed), address);
            }
            backends.update(&entry(300, EndpointState::Draining), address);
            backends.update(&entry(301, EndpointState::Ready), address);
            assert_eq!(backends.all.borrow().len(), 302, "none before its time");
            let few = async {
                while backends.all.borrow().len() > 2 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            tokio::select! {
                done = timeout(Duration::from_secs(30), few) => assert!(done.is_ok()),
                () = backends.sweep() => unreachable!("it goes on"),
            }
            let left: Vec<u32> = backends.all.borrow().keys().map(|id| id.0).collect();
            assert_eq!(left, [300, 301]);
        });
    }
}
