//! What stands round a proxy under test on the loopback addresses: its process, stub backends, a stub
//! discovery, and callers. All ports are chosen by the system, and all waits are for events.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far more than anything here takes on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// A message of HTTP/1.1, read whole.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The request or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Heard {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
}

/// Reads one message; None where the connection ends before it is whole.
pub fn hear(from: &mut impl BufRead) -> Option<Heard> {
    let mut line = String::new();
    let mut next = || {
        line.clear();
        let read = from.read_line(&mut line).ok()?;
        (read > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
    };
    let first = next()?;
    let mut headers = Vec::new();
    loop {
        let line = next()?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut heard = Heard { line: first, headers, body: Vec::new() };
    let length = heard.header("content-length").map_or(0, |v| v.parse().expect("a length"));
    heard.body = vec![0; length];
    from.read_exact(&mut heard.body).ok()?;
    Some(heard)
}

/// What a stub backend does with a request.
#[derive(Clone, Debug)]
pub enum Deed {
    /// Writes this and keeps the connection.
    Answer(String),
    /// Writes this and closes the connection without having said so.
    AnswerAndClose(String),
    /// Says nothing until the other side leaves.
    Silence,
    /// Closes the connection at once.
    Break,
}

pub fn ok(body: &str) -> Deed {
    answer("200 OK", "X-Server-Load: {\"depth\":1}\r\n", body)
}

pub fn full() -> Deed {
    answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
}

/// An answer with these headers, each with its line end.
pub fn answer(status: &str, headers: &str, body: &str) -> Deed {
    Deed::Answer(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// What a stub backend saw, with the number of the connection.
#[derive(Debug)]
pub enum Seen {
    Request(usize, Heard),
    /// The proxy closed the connection.
    Over(usize),
}

pub struct Backend {
    pub address: SocketAddr,
    seen: Receiver<Seen>,
}

impl Backend {
    /// Does these in turn, and the last one from there on.
    pub fn new(deeds: impl IntoIterator<Item = Deed>) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let deeds = Arc::new(Mutex::new(deeds.into_iter().collect::<VecDeque<_>>()));
        let (sender, seen) = mpsc::channel();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (sender, deeds) = (sender.clone(), Arc::clone(&deeds));
                thread::spawn(move || Backend::serve(number, stream.expect("accepts"), &sender, &deeds));
            }
        });
        Backend { address, seen }
    }

    fn serve(number: usize, mut stream: TcpStream, seen: &Sender<Seen>, deeds: &Mutex<VecDeque<Deed>>) {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while let Some(request) = hear(&mut reader) {
            let deed = {
                let mut deeds = deeds.lock().expect("unpoisoned");
                if deeds.len() > 1 { deeds.pop_front() } else { deeds.front().cloned() }.expect("a deed")
            };
            let _ = seen.send(Seen::Request(number, request));
            match deed {
                Deed::Answer(text) => stream.write_all(text.as_bytes()).expect("written"),
                Deed::AnswerAndClose(text) => {
                    stream.write_all(text.as_bytes()).expect("written");
                    stream.shutdown(Shutdown::Write).expect("shut down");
                    break;
                }
                Deed::Silence => break,
                Deed::Break => return,
            }
        }
        let _ = reader.read_to_end(&mut Vec::new());
        let _ = seen.send(Seen::Over(number));
    }

    /// The next thing that it sees.
    #[track_caller]
    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).expect("the proxy does something")
    }

    /// The next request, and the number of its connection.
    #[track_caller]
    pub fn request(&self) -> (usize, Heard) {
        loop {
            if let Seen::Request(number, heard) = self.next() {
                return (number, heard);
            }
        }
    }

    /// Waits until a connection is closed: its number.
    #[track_caller]
    pub fn over(&self) -> usize {
        loop {
            if let Seen::Over(number) = self.next() {
                return number;
            }
        }
    }

    /// The requests seen up to now and not asked for yet.
    pub fn requests(&self) -> Vec<Heard> {
        let seen = self.seen.try_iter();
        seen.filter_map(|s| if let Seen::Request(_, heard) = s { Some(heard) } else { None }).collect()
    }
}

/// An address where nobody listens.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound")
}

pub fn host(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"here","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// What discovery does with a call.
#[derive(Clone, Debug)]
pub enum News {
    List(String),
    Fails,
}

#[derive(Default)]
struct Calls {
    news: VecDeque<News>,
    /// Paths of the calls, with their times.
    made: Vec<(String, Instant)>,
}

/// Answers each call with the next news, as soon as there are any.
pub struct Discovery {
    pub address: SocketAddr,
    calls: Arc<(Mutex<Calls>, Condvar)>,
}

impl Discovery {
    pub fn new() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let calls = Arc::<(Mutex<Calls>, Condvar)>::default();
        let shared = Arc::clone(&calls);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, shared) = (stream.expect("accepts"), Arc::clone(&shared));
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
                    while let Some(call) = hear(&mut reader) {
                        let path = call.line.split(' ').nth(1).expect("a path").to_owned();
                        let (lock, changed) = &*shared;
                        let mut calls = lock.lock().expect("unpoisoned");
                        calls.made.push((path, Instant::now()));
                        changed.notify_all();
                        let mut calls = changed.wait_while(calls, |c| c.news.is_empty()).expect("unpoisoned");
                        let text = match calls.news.pop_front().expect("just seen") {
                            News::List(body) => {
                                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                            }
                            News::Fails => {
                                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned()
                            }
                        };
                        drop(calls);
                        if stream.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Discovery { address, calls }
    }

    pub fn tell(&self, news: News) {
        let (lock, changed) = &*self.calls;
        lock.lock().expect("unpoisoned").news.push_back(news);
        changed.notify_all();
    }

    /// Waits for the call of this number, from 0: its path and time.
    #[track_caller]
    pub fn call(&self, number: usize) -> (String, Instant) {
        let (lock, changed) = &*self.calls;
        let calls = lock.lock().expect("unpoisoned");
        let (calls, _) =
            changed.wait_timeout_while(calls, PATIENCE, |c| c.made.len() <= number).expect("unpoisoned");
        calls.made.get(number).expect("the proxy calls discovery").clone()
    }
}

/// What a proxy is told, apart from its addresses.
pub struct Setup {
    pub hosts: Vec<String>,
    pub sockets: u32,
    pub keepalive_ms: u32,
    pub aim_ms: u32,
    /// The most descriptors that the kernel lets the process have; None leaves that as it is.
    pub descriptors: Option<u32>,
    /// Where messages arrive, and the proxies of the tier; this one is the first.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
}

impl Setup {
    pub fn of(backends: &[&Backend]) -> Setup {
        let named = |(i, b): (usize, &&Backend)| host(&format!("s-{i}"), b.address, "SERVING");
        Setup {
            hosts: backends.iter().enumerate().map(named).collect(),
            sockets: 1024,
            keepalive_ms: 60_000,
            aim_ms: 10_000,
            descriptors: None,
            peers: None,
        }
    }

    pub fn config(&self, discovery: SocketAddr) -> String {
        let class = |name: &str, semantics: &str| {
            format!(
                r#"{{"name":"{name}","promise_ms":{},"deadline_ms":20000,"semantics":"{semantics}","gain":1,"group":"all","dedup_window_ms":60000}}"#,
                self.aim_ms
            )
        };
        let (balancers, peers) = match &self.peers {
            Some((listen, all)) => {
                let quoted: Vec<_> = all.iter().map(|a| format!("\"{a}\"")).collect();
                (all.len(), format!(r#""peer_listen":"{listen}","peers":[{}],"#, quoted.join(",")))
            }
            None => (1, String::new()),
        };
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"known":{},"unheard_of":1,{}
"settings":{{"balancers":{balancers},"rank":0,"stage":0,"stages":["front"],"zones":["here"],"my_zone":"here","tick_ms":1,
"discovery":"on_request","limits":{{"max_attempts":3,"cancel":true,"second_copies":true,"retry_after":true,
"max_retry_after_ms":2000,"connect_timeout_ms":5000,"peers":{},"keepalive_ms":{}}},
"contract":{{"must_ask_in_ms":2000,"stop_sending_within_ms":500}},
"telemetry":{{"how":"answers","fields":["depth"]}},"unheard_of":[],
"request_classes":[{},{},{}]}}}}"#,
            self.sockets,
            list(1, true, &self.hosts),
            peers,
            self.peers.is_some(),
            self.keepalive_ms,
            class("read", "idempotent"),
            class("write", "at_most_once"),
            class("put", "deduplicated"),
        )
    }

    /// Starts a proxy with a discovery that says nothing.
    #[track_caller]
    pub fn start(self) -> Proxy {
        let discovery = Discovery::new();
        let config = self.config(discovery.address);
        let path = kept(&config);
        let mut child = run_with(Some(&path), self.descriptors);
        let mut errors = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        errors.read_line(&mut line).expect("text");
        let address = line.trim().strip_prefix("listening on ").unwrap_or_else(|| panic!("said {line:?}"));
        let address = address.parse().expect("an address");
        let log = Arc::<Mutex<String>>::default();
        let kept = Arc::clone(&log);
        thread::spawn(move || {
            for line in errors.lines() {
                let line = line.expect("text");
                eprintln!("proxy: {line}");
                kept.lock().expect("unpoisoned").push_str(&(line + "\n"));
            }
        });
        Proxy { address, discovery, path, log, child }
    }
}

static CONFIGS: AtomicU32 = AtomicU32::new(0);

/// Writes a configuration to a file of its own.
fn kept(config: &str) -> PathBuf {
    let number = CONFIGS.fetch_add(1, Ordering::Relaxed);
    let name = format!("amberlever-test-{}-{number}.json", std::process::id());
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &name].iter().collect();
    std::fs::write(&path, config).expect("written");
    path
}

/// Starts the program with this configuration, or with none, and with so many descriptors at most.
pub fn run(config: Option<&str>, descriptors: Option<u32>) -> Child {
    run_with(config.map(kept).as_ref(), descriptors)
}

fn run_with(path: Option<&PathBuf>, descriptors: Option<u32>) -> Child {
    let mut command = Command::new("sh");
    let limit = descriptors.map_or(String::new(), |n| format!("ulimit -n {n} && "));
    command.args(["-c", &format!("{limit}exec \"$0\""), env!("CARGO_BIN_EXE_amberlever")]);
    command.env_remove("LB_CONFIG").stderr(Stdio::piped());
    if let Some(path) = path {
        command.env("LB_CONFIG", path);
    }
    command.spawn().expect("the proxy starts")
}

pub struct Proxy {
    pub address: SocketAddr,
    pub discovery: Discovery,
    /// Of its configuration.
    pub path: PathBuf,
    log: Arc<Mutex<String>>,
    child: Child,
}

impl Proxy {
    pub fn caller(&self) -> Caller {
        Caller(BufReader::new(TcpStream::connect(self.address).expect("the proxy listens")))
    }

    /// One request on a connection of its own.
    pub fn ask(&self, request: &str) -> Heard {
        self.caller().ask(request)
    }

    /// Waits until the log says this.
    #[track_caller]
    pub fn says(&self, words: &str) {
        let since = Instant::now();
        while !self.log().contains(words) {
            assert!(since.elapsed() < PATIENCE, "not said: {words}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn log(&self) -> String {
        self.log.lock().expect("unpoisoned").clone()
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration and says so.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).expect("written");
        self.signal("HUP");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("waits").is_some()
    }

    /// Waits for the end of the process.
    #[track_caller]
    pub fn end(&mut self) -> ExitStatus {
        let since = Instant::now();
        while since.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().expect("waits") {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the proxy goes on");
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A connection to the proxy.
pub struct Caller(BufReader<TcpStream>);

impl Caller {
    pub fn of(stream: TcpStream) -> Caller {
        Caller(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    /// The next answer; None where the proxy has closed the connection.
    pub fn try_hear(&mut self) -> Option<Heard> {
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).expect("set");
        hear(&mut self.0)
    }

    /// The next answer.
    #[track_caller]
    pub fn hear(&mut self) -> Heard {
        self.try_hear().expect("a whole answer")
    }

    #[track_caller]
    pub fn ask(&mut self, request: &str) -> Heard {
        self.send(request);
        self.hear()
    }

    /// Has the proxy closed the connection? Waits until it does, or sends something.
    pub fn is_closed(&mut self) -> bool {
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).expect("set");
        !matches!(self.0.fill_buf(), Ok(data) if !data.is_empty())
    }
}

/// A request that may be repeated.
pub fn read(id: &str, timeout_ms: u32) -> String {
    format!(
        "GET /read/7f3a?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
X-Priority-Class: read\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n"
    )
}

/// One that must not run twice.
pub fn write(id: &str, timeout_ms: u32, body: &str) -> String {
    format!(
        "POST /write/7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
X-Priority-Class: write\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// One whose repeats are dropped.
pub fn put(id: &str, key: &str, timeout_ms: u32, body: &str) -> String {
    format!(
        "POST /put/7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nIdempotency-Key: {key}\r\n\
X-Priority-Class: put\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
