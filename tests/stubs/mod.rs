//! The proxy under test as a process on the loopback addresses, among the stand-ins of `testkit`.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub use testkit::*;

/// What a proxy is told, apart from its addresses.
pub struct Setup {
    pub hosts: Vec<String>,
    pub sockets: u32,
    pub keepalive_ms: u32,
    pub aim_ms: u32,
    /// Of each class.
    pub deadline_ms: u32,
    /// Proxies of the tier, where `peers` does not name them.
    pub balancers: usize,
    /// The most descriptors that the kernel lets the process have; None leaves that as it is.
    pub descriptors: Option<u32>,
    /// Where messages arrive, and the proxies of the tier; this one is the first.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
}

impl Setup {
    pub fn of(backends: &[&MockEndpoint]) -> Setup {
        let named = |(i, b): (usize, &&MockEndpoint)| host(&format!("s-{i}"), b.address, "SERVING");
        Setup {
            hosts: backends.iter().enumerate().map(named).collect(),
            sockets: 1024,
            keepalive_ms: 60_000,
            aim_ms: 10_000,
            deadline_ms: 20_000,
            balancers: 1,
            descriptors: None,
            peers: None,
        }
    }

    pub fn config(&self, discovery: SocketAddr) -> String {
        let class = |name: &str, semantics: &str| {
            format!(
                r#"{{"name":"{name}","promise_ms":{},"deadline_ms":{},"semantics":"{semantics}","gain":1,"group":"all","dedup_window_ms":60000}}"#,
                self.aim_ms, self.deadline_ms
            )
        };
        let (balancers, peers) = match &self.peers {
            Some((listen, all)) => {
                let quoted: Vec<_> = all.iter().map(|a| format!("\"{a}\"")).collect();
                (all.len(), format!(r#""peer_listen":"{listen}","peers":[{}],"#, quoted.join(",")))
            }
            None => (self.balancers, String::new()),
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

    /// Starts a proxy with a discovery that confirms its list and says nothing more, and waits until it is ready, as who shares
    /// out callers does.
    #[track_caller]
    pub fn start(self) -> Proxy {
        self.start_program(env!("CARGO_BIN_EXE_amberlever"))
    }

    /// The same, of another build.
    #[track_caller]
    pub fn start_program(self, program: &str) -> Proxy {
        let discovery = MockDiscovery::new();
        let config = self.config(discovery.address);
        let path = kept(&config);
        let child = run_with(program, Some(&path), self.descriptors);
        let process = Process::watch(child, path);
        process.wait_until_ready();
        Proxy { discovery, process }
    }
}

/// A proxy of the platform with this configuration.
#[track_caller]
pub fn start_config(config: &str) -> Process {
    let path = kept(config);
    Process::watch(run_with(env!("CARGO_BIN_EXE_amberlever"), Some(&path), None), path)
}

/// The same, with so many descriptors at most.
#[track_caller]
pub fn start_limited(config: &str, descriptors: u32) -> Process {
    let path = kept(config);
    Process::watch(run_with(env!("CARGO_BIN_EXE_amberlever"), Some(&path), Some(descriptors)), path)
}

/// An own installation, started with this configuration; files named beside it lie in the same folder.
#[track_caller]
pub fn serve(config: &str, beside: &[(&str, &str)]) -> Process {
    let (child, path) = try_serve(config, beside);
    Process::watch(child, path)
}

/// The same, as it is: it may end at once.
pub fn try_serve(config: &str, beside: &[(&str, &str)]) -> (Child, PathBuf) {
    let folder = folder();
    for (name, text) in beside {
        std::fs::write(folder.join(name), text).expect("written");
    }
    let path = folder.join("lb.toml");
    std::fs::write(&path, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_amberlever"));
    command.args(["serve", "--config"]).arg(&path).env_remove("LB_CONFIG").stderr(Stdio::piped());
    (command.spawn().expect("the proxy starts"), path)
}

/// A folder of its own.
pub fn folder() -> PathBuf {
    let number = CONFIGS.fetch_add(1, Ordering::Relaxed);
    let name = format!("amberlever-test-{}-{number}", std::process::id());
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &name].iter().collect();
    std::fs::create_dir_all(&path).expect("made");
    path
}

impl Process {
    #[track_caller]
    pub fn watch(mut child: Child, path: PathBuf) -> Process {
        let mut errors = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        errors.read_line(&mut line).expect("text");
        let log = Arc::<Mutex<String>>::default();
        // What is told of a state comes first.
        while ["version ", "state: ", "knowledge: ", "bgp: ", "operators: ", "maintenance: "]
            .iter()
            .any(|word| line.starts_with(word))
        {
            log.lock().expect("unpoisoned").push_str(&line);
            line.clear();
            errors.read_line(&mut line).expect("text");
        }
        let address = line.trim().strip_prefix("listening on ").unwrap_or_else(|| panic!("said {line:?}"));
        let address = address.parse().expect("an address");
        let kept = Arc::clone(&log);
        thread::spawn(move || {
            for line in errors.lines() {
                let line = line.expect("text");
                eprintln!("proxy: {line}");
                kept.lock().expect("unpoisoned").push_str(&(line + "\n"));
            }
        });
        Process { address, path, log, child }
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
    run_with(env!("CARGO_BIN_EXE_amberlever"), config.map(kept).as_ref(), descriptors)
}

fn run_with(program: &str, path: Option<&PathBuf>, descriptors: Option<u32>) -> Child {
    let mut command = Command::new("sh");
    let limit = descriptors.map_or(String::new(), |n| format!("ulimit -n {n} && "));
    command.args(["-c", &format!("{limit}exec \"$0\""), program]);
    command.env_remove("LB_CONFIG").stderr(Stdio::piped());
    if let Some(path) = path {
        command.env("LB_CONFIG", path);
    }
    command.spawn().expect("the proxy starts")
}

/// A proxy of the platform, with its discovery.
pub struct Proxy {
    pub discovery: MockDiscovery,
    process: Process,
}

impl std::ops::Deref for Proxy {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl std::ops::DerefMut for Proxy {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

/// A backend that serves each connection as this says, and its address.
pub fn raw_backend(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, serve) = (stream.expect("accepts"), Arc::clone(&serve));
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A backend that notes when each request came.
pub fn noting_backend() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let seen = Arc::<Mutex<Vec<Instant>>>::default();
    let noted = Arc::clone(&seen);
    let address = raw_backend(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while read_message(&mut reader).is_some() {
            noted.lock().expect("unpoisoned").push(Instant::now());
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    });
    (address, seen)
}

/// A listening socket that is held for proxies, and a folder that they share.
pub struct Held {
    listener: std::net::TcpListener,
    pub address: SocketAddr,
    pub folder: PathBuf,
}

impl Held {
    pub fn new() -> Held {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        Held { listener, address, folder: folder() }
    }

    /// Starts a proxy that inherits the socket as descriptor 3.
    #[track_caller]
    pub fn start(&self, config: &str) -> Process {
        let path = kept(config);
        let held = std::os::fd::OwnedFd::from(self.listener.try_clone().expect("another descriptor"));
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 3<&0 </dev/null", env!("CARGO_BIN_EXE_amberlever")]);
        command.env("LB_CONFIG", &path).env("LB_PASSED_SOCKET", "3").env("TMPDIR", &self.folder);
        command.stdin(Stdio::from(held)).stdout(Stdio::null()).stderr(Stdio::piped());
        let process = Process::watch(command.spawn().expect("the proxy starts"), path);
        if config.contains("\"mgmt\"") {
            wait_for("ready for operators", || process.call("GET", "/status", "").0 == 200);
        }
        process
    }
}

/// Waits until this holds.
#[track_caller]
pub fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TEST_TIMEOUT, "not {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The form of a configuration with an address for operators.
pub fn with_operators(config: &str) -> String {
    config.replacen('{', "{\"mgmt\":\"127.0.0.1:0\",", 1)
}

/// A running proxy.
pub struct Process {
    pub address: SocketAddr,
    /// Of its configuration.
    pub path: PathBuf,
    log: Arc<Mutex<String>>,
    child: Child,
}

impl Process {
    pub fn caller(&self) -> HttpClient {
        HttpClient::of(TcpStream::connect(self.address).expect("the proxy listens"))
    }

    /// Where operators call it.
    pub fn operators(&self) -> SocketAddr {
        let log = self.log();
        let line = log.lines().find_map(|l| l.strip_prefix("operators: listening on "));
        line.expect("an address for operators").parse().expect("an address")
    }

    /// A call of an operator: the status and the body.
    #[track_caller]
    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut caller = HttpClient::of(TcpStream::connect(self.operators()).expect("it listens"));
        let length = body.len();
        let answer = caller
            .ask(&format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"));
        (answer.status(), String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// A figure, by its name and labels.
    #[track_caller]
    pub fn figure(&self, name: &str) -> u64 {
        let (status, text) = self.call("GET", "/status/metrics", "");
        assert_eq!(status, 200);
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().expect("a whole number")
    }

    /// Waits until a figure is so.
    #[track_caller]
    pub fn figure_becomes(&self, name: &str, wanted: u64) {
        let since = Instant::now();
        while self.figure(name) != wanted {
            assert!(since.elapsed() < TEST_TIMEOUT, "{name} is {}, not {wanted}", self.figure(name));
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// One request on a connection of its own.
    pub fn ask(&self, request: &str) -> HttpMessage {
        self.caller().ask(request)
    }

    /// Waits until it says that callers may come.
    #[track_caller]
    pub fn wait_until_ready(&self) {
        wait_for("ready", || self.ask("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status() == 200);
    }

    /// Waits until the log says this.
    #[track_caller]
    pub fn says(&self, words: &str) {
        wait_for(&format!("said: {words}"), || self.log().contains(words));
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

    /// Open descriptors, and memory in use in kilobytes.
    pub fn holds(&self) -> (usize, u64) {
        let proc = format!("/proc/{}", self.child.id());
        let descriptors = std::fs::read_dir(format!("{proc}/fd")).expect("runs").count();
        let status = std::fs::read_to_string(format!("{proc}/status")).expect("runs");
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("has memory");
        (descriptors, memory.trim().trim_end_matches(" kB").parse().expect("a number"))
    }

    /// Processor time that its one thread has used, in nanoseconds.
    pub fn cpu_time(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).expect("runs");
        stat.split(' ').next().and_then(|ns| ns.parse().ok()).expect("a number")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
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
        while since.elapsed() < TEST_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("waits") {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the proxy goes on");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A node that can be stopped and started again at its address. It answers connections, and no more than that.
pub struct Lamp {
    pub address: SocketAddr,
    lit: Option<(Arc<std::sync::atomic::AtomicBool>, thread::JoinHandle<()>)>,
}

impl Lamp {
    pub fn lit() -> Lamp {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut lamp = Lamp { address: listener.local_addr().expect("bound"), lit: None };
        lamp.burn(listener);
        lamp
    }

    fn burn(&mut self, listener: std::net::TcpListener) {
        let out = Arc::<std::sync::atomic::AtomicBool>::default();
        let told = Arc::clone(&out);
        let burning = thread::spawn(move || {
            for stream in listener.incoming() {
                drop(stream);
                if told.load(Ordering::Relaxed) {
                    return;
                }
            }
        });
        self.lit = Some((out, burning));
    }

    /// Connections to it are refused from now on: since when.
    pub fn put_out(&mut self) -> Instant {
        if let Some((out, burning)) = self.lit.take() {
            out.store(true, Ordering::Relaxed);
            let _ = TcpStream::connect(self.address);
            burning.join().expect("no panic");
        }
        Instant::now()
    }

    pub fn light(&mut self) -> Instant {
        let at = Instant::now();
        self.burn(std::net::TcpListener::bind(self.address).expect("its port"));
        at
    }
}
