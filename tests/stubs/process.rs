//! The process of the proxy under test.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use testkit::*;

/// The pause between two requests of [`Process::send_reads`].
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Returns a request id that no other call returns.
pub fn unique_request_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    format!("request-{}", LAST.fetch_add(1, Ordering::Relaxed))
}

/// The responses to [`Process::send_reads`].
#[derive(Clone, Copy, Debug)]
pub struct SentReads {
    pub served: usize,
    pub all: usize,
}

/// A running proxy.
pub struct Process {
    pub address: SocketAddr,
    /// The path of the configuration file.
    pub path: PathBuf,
    log: Arc<Mutex<String>>,
    child: Child,
}

impl Process {
    /// Reads the address of a started proxy from its log, and collects the log from then on.
    #[track_caller]
    pub fn attach(mut child: Child, path: PathBuf) -> Process {
        let mut errors = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        errors.read_line(&mut line).expect("text");
        let log = Arc::<Mutex<String>>::default();
        // Lines about stored state precede the one that names the address.
        while ["serving version ", "state: ", "learned state: ", "bgp: ", "operators: ", "maintenance: "]
            .iter()
            .any(|word| line.starts_with(word))
        {
            log.lock().expect("unpoisoned").push_str(&line);
            line.clear();
            errors.read_line(&mut line).expect("text");
        }
        let address = line
            .trim()
            .strip_prefix("listening on ")
            .unwrap_or_else(|| panic!("unexpected first line of the log: {line:?}"));
        let address = address.parse().expect("an address");
        let shared_log = Arc::clone(&log);
        thread::spawn(move || {
            for line in errors.lines() {
                let line = line.expect("text");
                eprintln!("proxy: {line}");
                shared_log.lock().expect("unpoisoned").push_str(&(line + "\n"));
            }
        });
        Process { address, path, log, child }
    }

    pub fn connect(&self) -> HttpClient {
        HttpClient::of(TcpStream::connect(self.address).expect("the proxy listens"))
    }

    /// The operators' address, from the log.
    pub fn operators_address(&self) -> SocketAddr {
        let log = self.log();
        let line = log.lines().find_map(|l| l.strip_prefix("operators: listening on "));
        line.expect("an address for operators").parse().expect("an address")
    }

    /// Sends a request to the operators' address. Returns the status and the body of the response.
    #[track_caller]
    pub fn operator_request(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut client = HttpClient::of(TcpStream::connect(self.operators_address()).expect("it listens"));
        let length = body.len();
        let response = client
            .ask(&format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"));
        (response.status(), String::from_utf8_lossy(&response.body).into_owned())
    }

    /// The value of a metric, by its name and labels.
    #[track_caller]
    pub fn metric(&self, name: &str) -> u64 {
        let (status, text) = self.operator_request("GET", "/status/metrics", "");
        assert_eq!(status, 200);
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or_else(|| panic!("no metric {name} in {text}")).parse().expect("a whole number")
    }

    /// Waits until a metric has this value.
    #[track_caller]
    pub fn wait_for_metric(&self, name: &str, wanted: u64) {
        let since = Instant::now();
        while self.metric(name) != wanted {
            assert!(since.elapsed() < TEST_TIMEOUT, "{name} is {}, not {wanted}", self.metric(name));
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends one request on a new connection.
    pub fn request(&self, request: &str) -> HttpMessage {
        self.connect().ask(request)
    }

    /// Sends requests for this time, each on a new connection. Returns the number of responses with status
    /// 200, and of all.
    pub fn send_reads(&self, time: Duration) -> SentReads {
        let until = Instant::now() + time;
        let mut sent = SentReads { served: 0, all: 0 };
        while Instant::now() < until {
            sent.all += 1;
            let response = self.request(&read(&unique_request_id(), 9_000));
            sent.served += usize::from(response.status() == 200);
            thread::sleep(REQUEST_PAUSE);
        }
        sent
    }

    /// Waits until its health check succeeds.
    #[track_caller]
    pub fn wait_until_ready(&self) {
        wait_until("ready", || self.request("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status() == 200);
    }

    /// Waits until the log contains this.
    #[track_caller]
    pub fn wait_for_log(&self, text: &str) {
        wait_until(&format!("logged: {text}"), || self.log().contains(text));
    }

    pub fn log(&self) -> String {
        self.log.lock().expect("unpoisoned").clone()
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration and signals a reload.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).expect("written");
        self.signal("HUP");
    }

    /// The number of open descriptors, and the resident memory in kilobytes.
    pub fn descriptors_and_memory(&self) -> (usize, u64) {
        let proc = format!("/proc/{}", self.child.id());
        let descriptors = std::fs::read_dir(format!("{proc}/fd")).expect("runs").count();
        let status = std::fs::read_to_string(format!("{proc}/status")).expect("runs");
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("has memory");
        (descriptors, memory.trim().trim_end_matches(" kB").parse().expect("a number"))
    }

    /// The anonymous resident memory in kilobytes: without the code of the program.
    pub fn anonymous_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("runs");
        let memory = status.lines().find_map(|l| l.strip_prefix("RssAnon:")).expect("has memory");
        memory.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// The CPU time that the process, which has a single thread, has used, in nanoseconds.
    pub fn cpu_time_ns(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).expect("runs");
        stat.split(' ').next().and_then(|ns| ns.parse().ok()).expect("a number")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("waits").is_some()
    }

    /// Waits until the process exits.
    #[track_caller]
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let since = Instant::now();
        while since.elapsed() < TEST_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("waits") {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the proxy did not exit within {TEST_TIMEOUT:?}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `holds` returns true. After `TEST_TIMEOUT` panics with the message `not {what}`.
#[track_caller]
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TEST_TIMEOUT, "not {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
