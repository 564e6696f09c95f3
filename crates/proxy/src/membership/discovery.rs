//! Discovery over HTTP: makes the calls that the watch of `members` asks for, and takes in what they bring.

use std::collections::BTreeMap;
use std::future::pending;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use config::ParsedEndpointList as ToldList;
use decide::{Micros, UpdateScope};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use membership::{Action, CallId, Event, Failure, InitialList, Policy, Watch};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::log::say;
use crate::membership::EndpointRegistry;
use crate::panic_guard::caught;
use crate::socket::Socket;
use crate::upstream::ListExpiry;

/// A connection that is not made by then will not be. Longer than a handshake whose first packets were lost twice; a call
/// that waits for one is late before that, and another is made beside it.
const CONNECT: Duration = Duration::from_secs(4);
/// Pause before asking again where lists are pushed and the decisions do not ask.
const PUSHED_PAUSE: Duration = Duration::from_millis(250);
/// A process whose list discovery does not confirm says that it is ready after this, so that callers who have nobody else
/// are refused at once instead of finding nobody. Well within the ten seconds that a restart may take.
const READY_UNCONFIRMED: Duration = Duration::from_secs(5);
/// The largest list that is read, in bytes.
const MOST_LIST: usize = 8 << 20;

/// Keeps the list of backends up to date.
pub struct Discovery {
    /// Where it is; changes when the configuration is read again.
    pub address: watch::Receiver<SocketAddr>,
    pub registry: EndpointRegistry,
    /// Told when the decisions ask for the list; None where lists are pushed.
    pub subscribe: Option<Rc<Notify>>,
    pub policy: Policy,
    /// Feeds the draws of its watch.
    pub seed: u64,
    /// A malformed list has been told of.
    pub complained: bool,
}

/// A connection to discovery. Dropping it closes it.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: JoinSet<hyper::Result<()>>,
}

/// What a call tells while it is out.
enum Told {
    Heard,
    Answered(ToldList, Connection),
    Malformed(String),
    Broke,
    Failed(Failure),
}

/// The calls that are out.
struct Calls {
    tasks: JoinSet<()>,
    handles: BTreeMap<CallId, AbortHandle>,
    told: mpsc::UnboundedSender<(CallId, Told)>,
    /// One that an answer has come over, for the next call.
    spare: Option<Connection>,
}

impl Calls {
    fn ask(&mut self, id: CallId, address: SocketAddr, path: String) {
        let (told, spare) = (self.told.clone(), self.spare.take());
        let task = self.tasks.spawn_local(async move {
            let tell = |what| {
                // Who listens has gone with the pool.
                let _ = told.send((id, what));
            };
            let answer = caught(call(address, &path, spare, || tell(Told::Heard))).await;
            tell(answer.unwrap_or(Told::Broke));
        });
        self.handles.insert(id, task);
    }

    fn drop(&mut self, id: CallId) {
        if let Some(task) = self.handles.remove(&id) {
            task.abort();
        }
        self.tidy();
    }

    fn end(&mut self, id: CallId) {
        self.handles.remove(&id);
        self.tidy();
    }

    fn tidy(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }
}

/// Waits for another address, for ever once there will be none.
async fn changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        pending::<()>().await;
    }
}

impl Discovery {
    /// Hands over the list as last known, then watches whenever that is asked for. That a watch has ended is told; asking
    /// again is up to the decisions.
    pub async fn run(mut self, known: Option<ToldList>) {
        let initial = match known {
            Some(list) => {
                self.registry.hear(list, UpdateScope::Cached);
                InitialList::Unconfirmed
            }
            None => {
                self.registry.handle.endpoint_update(UpdateScope::Cached, Vec::new());
                InitialList::Absent
            }
        };
        let mut watch = Watch::new(self.policy, initial, self.registry.clock.now(), self.seed);
        let ready_at = Instant::now() + READY_UNCONFIRMED;
        let (told, mut tells) = mpsc::unbounded_channel();
        let mut calls = Calls { tasks: JoinSet::new(), handles: BTreeMap::new(), told, spare: None };
        let (clock, mut address) = (self.registry.clock, self.address.clone());
        loop {
            self.apply_lease(&watch, initial, ready_at);
            let asked = async {
                match &self.subscribe {
                    _ if watch.is_on() => pending().await,
                    Some(asked) => asked.notified().await,
                    None => sleep(PUSHED_PAUSE).await,
                }
            };
            let wake = async {
                match watch.wake_at() {
                    Some(at) => sleep_until(clock.instant(at)).await,
                    None => pending().await,
                }
            };
            let event = tokio::select! {
                Some((id, told)) = tells.recv() => match self.hear(id, told, &mut calls) {
                    Some(event) => event,
                    None => continue,
                },
                () = changed(&mut address) => {
                    // The new one may count its versions in its own way.
                    self.registry.seq = None;
                    calls.spare = None;
                    Event::Moved
                }
                () = asked => Event::Begin,
                () = wake => Event::Wake,
                () = sleep_until(ready_at), if !self.registry.ready.get() && watch.is_unconfirmed() => Event::Wake,
            };
            let mut actions = Vec::new();
            watch.handle(clock.now(), event, &mut actions);
            for action in actions {
                match action {
                    Action::Ask(id, wait) => calls.ask(id, *address.borrow(), self.path(wait)),
                    Action::Drop(id) => calls.drop(id),
                    Action::Ended => self.registry.handle.endpoint_update(UpdateScope::Failed, Vec::new()),
                }
            }
        }
    }

    /// Passes on until when the list may be sent by. A process that started with a list says that it is ready once that is
    /// confirmed, or waiting for it has been long enough.
    fn apply_lease(&self, watch: &Watch, initial: InitialList, ready_at: Instant) {
        let clock = self.registry.clock;
        self.registry.backends.set_list_expiry(watch.expiry().map(|expiry| ListExpiry {
            from: clock.instant(expiry.from),
            until: clock.instant(expiry.until),
            cause: expiry.cause,
        }));
        let has_list = initial != InitialList::Absent;
        if has_list && (!watch.is_unconfirmed() || Instant::now() >= ready_at) {
            self.registry.ready.set(true);
        }
    }

    /// Takes in what a call tells; nothing where it was called off in this very moment.
    fn hear(&mut self, id: CallId, told: Told, calls: &mut Calls) -> Option<Event> {
        if !calls.handles.contains_key(&id) {
            return None;
        }
        if !matches!(told, Told::Heard) {
            calls.end(id);
        }
        Some(match told {
            Told::Heard => Event::Heard(id),
            Told::Answered(told, connection) => {
                calls.spare = Some(connection);
                let news = told.list.is_full || !told.list.endpoints.is_empty();
                let scope = if told.list.is_full { UpdateScope::Full } else { UpdateScope::Delta };
                self.registry.hear(told, scope);
                Event::Answered(id, news)
            }
            Told::Malformed(fault) => {
                if !std::mem::replace(&mut self.complained, true) {
                    say(format_args!("passing over a malformed list of backends: {fault}"));
                }
                Event::Broke(id)
            }
            Told::Broke => Event::Broke(id),
            Told::Failed(failure) => Event::Failed(id, failure),
        })
    }

    fn path(&self, wait: Micros) -> String {
        match self.registry.seq.filter(|_| wait > 0) {
            Some(seq) => format!("/v1/servers?after={seq}&wait_ms={}", wait / 1000),
            None => "/v1/servers".to_owned(),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let stream = match timeout(CONNECT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Err(Failure::Refused),
        Ok(Err(_)) | Err(_) => return Err(Failure::Unreached),
    };
    let io = TokioIo::new(Socket::new(stream, None));
    let (sender, connection) = http1::handshake(io).await.map_err(|_| Failure::Cut)?;
    let mut task = JoinSet::new();
    task.spawn_local(connection);
    Ok(Connection { sender, _task: task })
}

/// Makes a call, over a connection that stands if there is one, and tells when its answer begins.
async fn call(address: SocketAddr, path: &str, spare: Option<Connection>, heard: impl Fn()) -> Told {
    let mut request = Request::new(Empty::new());
    let Ok(uri) = path.parse() else { return Told::Failed(Failure::Unreached) };
    *request.uri_mut() = uri;
    request.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
    let mut spare = spare;
    loop {
        let fresh = spare.is_none();
        let mut connection = match spare.take() {
            Some(connection) => connection,
            None => match connect(address).await {
                Ok(connection) => connection,
                Err(failure) => return Told::Failed(failure),
            },
        };
        // Discovery may close a connection after an answer: the watch goes on over a new one.
        if connection.sender.ready().await.is_err() && !fresh {
            continue;
        }
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => match e.take_message() {
                Some(unsent) if !fresh => {
                    request = unsent;
                    continue;
                }
                _ => return Told::Failed(Failure::Cut),
            },
        };
        if response.status() != StatusCode::OK {
            return Told::Failed(Failure::Answered);
        }
        heard();
        return read(response, connection).await;
    }
}

async fn read(response: Response<Incoming>, connection: Connection) -> Told {
    let Ok(body) = Limited::new(response.into_body(), MOST_LIST).collect().await else { return Told::Broke };
    match config::parse_endpoint_list(&body.to_bytes()) {
        Ok(told) => Told::Answered(told, connection),
        Err(fault) => Told::Malformed(fault),
    }
}
