//! An agent beside a proxy, to which discovery pushes lists: it answers calls at once with what it has, or
//! fails in one of several ways.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::discovery_list::list;
use crate::http_message::read_message;

/// The pause between two looks at the listening socket.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);
/// The backlog of the listening socket while the agent takes connections.
const BACKLOG: i32 = 128;
/// The connections that fill a backlog of 0, with one to spare.
const FILLING_CONNECTIONS: usize = 2;
/// How long one connection may take while the backlog is filled.
const FILL_TIMEOUT: Duration = Duration::from_millis(100);

/// How an agent treats calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AgentBehavior {
    /// Answers at once with what is new, or when the wait of the call is over.
    Answering,
    /// Takes calls and does not respond, as while discovery is down.
    Silent,
    /// Responds with 503.
    Rejecting,
    /// Takes calls and closes their connections.
    Disconnecting,
    /// Sends a part of the response and closes the connection.
    Truncating,
    /// Composes the response at once and sends it this much later.
    Late(Duration),
    /// Takes no connection: its backlog is full.
    NotAccepting,
    /// Is gone: its connections are closed, and new ones are refused.
    Gone,
}

struct State {
    version: u64,
    hosts: Vec<String>,
    behavior: AgentBehavior,
    is_listening: bool,
    /// The path and time of each call received.
    calls: Vec<(String, Instant)>,
    /// The calls that are held, by their number.
    held: BTreeSet<usize>,
    connections: Vec<TcpStream>,
}

struct Shared {
    address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

/// An agent whose list and behavior a test sets.
pub struct MockAgent {
    /// The address on which the agent listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl MockAgent {
    /// Starts an agent that has this list, in version 1.
    ///
    /// # Panics
    /// If no port is available.
    #[must_use]
    pub fn start(hosts: &[String], behavior: AgentBehavior) -> MockAgent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let state = State {
            version: 1,
            hosts: hosts.to_vec(),
            behavior,
            is_listening: true,
            calls: Vec::new(),
            held: BTreeSet::new(),
            connections: Vec::new(),
        };
        let shared = Arc::new(Shared { address, state: Mutex::new(state), changed: Condvar::new() });
        let serving = Arc::clone(&shared);
        thread::spawn(move || serving.listen(listener));
        MockAgent { address, shared }
    }

    /// Gives the agent a new list.
    pub fn change(&self, hosts: &[String]) {
        let mut state = self.shared.lock();
        state.version += 1;
        state.hosts = hosts.to_vec();
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Changes the behavior, also towards the calls that are open.
    pub fn set_behavior(&self, behavior: AgentBehavior) {
        let mut state = self.shared.lock();
        state.behavior = behavior;
        if behavior == AgentBehavior::Gone {
            // The sockets of a process that ends are closed in the order of their descriptors.
            state = self.shared.changed.wait_while(state, |state| state.is_listening).expect("unpoisoned");
            for connection in state.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Waits until the calls that the agent holds now have been answered.
    ///
    /// # Panics
    /// If another thread of the agent has panicked.
    pub fn wait_until_held_calls_are_answered(&self) {
        let state = self.shared.lock();
        let held = state.held.clone();
        let is_held = |state: &mut State| !state.held.is_disjoint(&held);
        drop(self.shared.changed.wait_while(state, is_held).expect("unpoisoned"));
    }

    /// Returns the calls received so far: the path and time of each.
    #[must_use]
    pub fn calls(&self) -> Vec<(String, Instant)> {
        self.shared.lock().calls.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("unpoisoned")
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listening = Some(listener);
        let mut filling = Vec::new();
        loop {
            let behavior = self.lock().behavior;
            match (behavior, &listening) {
                (AgentBehavior::Gone, _) => listening = None,
                (_, None) => listening = Some(TcpListener::bind(self.address).expect("its port")),
                (AgentBehavior::NotAccepting, Some(listener)) if filling.is_empty() => {
                    filling = fill_backlog(listener, self.address);
                }
                (AgentBehavior::NotAccepting, Some(_)) => {}
                (_, Some(listener)) => {
                    if !filling.is_empty() {
                        filling.clear();
                        SockRef::from(listener).listen(BACKLOG).expect("listens");
                    }
                    self.accept(listener);
                }
            }
            self.lock().is_listening = listening.is_some();
            self.changed.notify_all();
            thread::sleep(ACCEPT_PAUSE);
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("a socket");
            self.lock().connections.push(stream.try_clone().expect("a copy"));
            let serving = Arc::clone(self);
            thread::spawn(move || serving.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while let Some(call) = read_message(&mut reader) {
            let path = call.line.split(' ').nth(1).expect("a path").to_owned();
            let number = self.record(path.clone());
            let response = self.response_to(&path);
            let is_sent = response.as_ref().is_some_and(|response| response.send(&mut stream));
            self.lock().held.remove(&number);
            self.changed.notify_all();
            if !is_sent || response.is_some_and(|response| response.is_last) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Records a call, which is held from now on. Returns its number.
    fn record(&self, path: String) -> usize {
        let mut state = self.lock();
        let number = state.calls.len();
        state.calls.push((path, Instant::now()));
        state.held.insert(number);
        number
    }

    /// Waits until the call is to be answered. `None` closes its connection.
    fn response_to(&self, path: &str) -> Option<Response> {
        let query = Query::parse(path);
        let mut state = self.lock();
        let due = Instant::now() + query.wait;
        loop {
            let is_due = query.after.is_none_or(|after| state.version > after) || Instant::now() >= due;
            match state.behavior {
                AgentBehavior::Gone if state.is_listening => {}
                AgentBehavior::Gone | AgentBehavior::Disconnecting => return None,
                AgentBehavior::Rejecting => return Some(Response::rejection()),
                AgentBehavior::Answering if is_due => return Some(Response::of_list(&state, query.after)),
                AgentBehavior::Truncating if is_due => {
                    return Some(Response::of_list(&state, query.after).truncated());
                }
                AgentBehavior::Late(delay) if is_due => {
                    let response = Response::of_list(&state, query.after);
                    drop(state);
                    thread::sleep(delay);
                    return Some(response);
                }
                _ => {}
            }
            let time_left = due.saturating_duration_since(Instant::now()).max(ACCEPT_PAUSE);
            state = self.changed.wait_timeout(state, time_left).expect("unpoisoned").0;
        }
    }
}

/// Fills the backlog of a socket, so that no further connection to it is established while the returned ones
/// are open.
fn fill_backlog(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    SockRef::from(listener).listen(0).expect("listens");
    (0..FILLING_CONNECTIONS).map_while(|_| TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok()).collect()
}

/// What a call asks for.
struct Query {
    /// The version that the caller has. `None` asks for the full list.
    after: Option<u64>,
    wait: Duration,
}

impl Query {
    fn parse(path: &str) -> Query {
        let parameter = |name: &str| {
            let (_, value) = path.split_once(name)?;
            value.split('&').next()?.parse::<u64>().ok()
        };
        Query {
            after: parameter("after="),
            wait: Duration::from_millis(parameter("wait_ms=").unwrap_or_default()),
        }
    }
}

struct Response {
    text: String,
    is_last: bool,
}

impl Response {
    fn of_list(state: &State, after: Option<u64>) -> Response {
        let is_news = after.is_none_or(|after| state.version > after);
        let hosts: &[String] = if is_news { &state.hosts } else { &[] };
        let body = list(state.version, is_news, hosts);
        Response {
            text: format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
            is_last: false,
        }
    }

    fn rejection() -> Response {
        let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned();
        Response { text, is_last: false }
    }

    /// Returns whether the response was sent.
    fn send(&self, stream: &mut TcpStream) -> bool {
        stream.write_all(self.text.as_bytes()).is_ok()
    }

    fn truncated(mut self) -> Response {
        self.text.truncate(self.text.len() - 8);
        Response { text: self.text, is_last: true }
    }
}
