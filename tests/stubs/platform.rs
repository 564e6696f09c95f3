//! A proxy in platform mode, its configuration and its mock discovery.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};

use testkit::*;

use super::files::{temp_folder, write_config};
use super::process::{wait_until, Process};

/// The settings of a proxy in platform mode.
pub struct Setup {
    pub endpoints: Vec<String>,
    pub max_sockets: u32,
    pub keepalive_ms: u32,
    pub latency_objective_ms: u32,
    /// The deadline of each class.
    pub deadline_ms: u32,
    /// The number of proxies in the tier. Ignored if `peers` is set.
    pub balancers: usize,
    /// The limit of the process on open descriptors (`ulimit -n`). `None` keeps the inherited limit.
    pub descriptors: Option<u32>,
    /// The address that receives gossip, and those of all proxies of the tier, starting with this one.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
}

impl Setup {
    pub fn with_endpoints(mocks: &[&MockEndpoint]) -> Setup {
        let named = |(i, b): (usize, &&MockEndpoint)| host(&format!("s-{i}"), b.address, "SERVING");
        Setup {
            endpoints: mocks.iter().enumerate().map(named).collect(),
            max_sockets: 1024,
            keepalive_ms: 60_000,
            latency_objective_ms: 10_000,
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
                self.latency_objective_ms, self.deadline_ms
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
            self.max_sockets,
            list(1, true, &self.endpoints),
            peers,
            self.peers.is_some(),
            self.keepalive_ms,
            class("read", "idempotent"),
            class("write", "at_most_once"),
            class("put", "deduplicated"),
        )
    }

    /// Starts a proxy with a discovery that confirms its list and then does not respond, and waits until its
    /// health check succeeds, as a load balancer in front of it would.
    #[track_caller]
    pub fn start(self) -> Proxy {
        self.start_program(env!("CARGO_BIN_EXE_amberlever"))
    }

    /// Starts another build of the program like `start`.
    #[track_caller]
    pub fn start_program(self, program: &str) -> Proxy {
        let discovery = MockDiscovery::new();
        let config = self.config(discovery.address);
        let path = write_config(&config);
        let child = spawn_program(program, Some(&path), self.descriptors);
        let process = Process::attach(child, path);
        process.wait_until_ready();
        Proxy { discovery, process }
    }
}

/// Starts a proxy in platform mode without waiting until it is ready.
#[track_caller]
pub fn start_config(config: &str) -> Process {
    let path = write_config(config);
    Process::attach(spawn_program(env!("CARGO_BIN_EXE_amberlever"), Some(&path), None), path)
}

/// Starts a proxy in platform mode with a limit on its open descriptors, without waiting until it is ready.
#[track_caller]
pub fn start_with_descriptor_limit(config: &str, descriptors: u32) -> Process {
    let path = write_config(config);
    Process::attach(spawn_program(env!("CARGO_BIN_EXE_amberlever"), Some(&path), Some(descriptors)), path)
}

/// A proxy in platform mode and its discovery.
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

/// Starts the program in platform mode. `None` stands for no configuration, and for the inherited limit on
/// open descriptors.
pub fn spawn(config: Option<&str>, descriptors: Option<u32>) -> Child {
    spawn_program(env!("CARGO_BIN_EXE_amberlever"), config.map(write_config).as_ref(), descriptors)
}

fn spawn_program(program: &str, path: Option<&PathBuf>, descriptors: Option<u32>) -> Child {
    let mut command = Command::new("sh");
    let limit = descriptors.map_or(String::new(), |n| format!("ulimit -n {n} && "));
    command.args(["-c", &format!("{limit}exec \"$0\""), program]);
    command.env_remove("LB_CONFIG").stderr(Stdio::piped());
    if let Some(path) = path {
        command.env("LB_CONFIG", path);
    }
    let _guard = exclude_process_starts();
    command.spawn().expect("the proxy starts")
}

/// Prevents this test program from starting processes while the guard lives. A process that is being started
/// holds a copy of every open socket until its program is loaded, so a socket that is closed meanwhile stays
/// open for its peer.
pub fn exclude_process_starts() -> MutexGuard<'static, ()> {
    static PROCESS_STARTS: Mutex<()> = Mutex::new(());
    PROCESS_STARTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A listening socket that several proxies inherit, and the folder (`TMPDIR`) that they share.
pub struct InheritedListener {
    listener: std::net::TcpListener,
    pub address: SocketAddr,
    pub folder: PathBuf,
}

impl InheritedListener {
    pub fn new() -> InheritedListener {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        InheritedListener { listener, address, folder: temp_folder() }
    }

    /// Starts a proxy that inherits the socket as descriptor 3.
    #[track_caller]
    pub fn start(&self, config: &str) -> Process {
        let path = write_config(config);
        let inherited = std::os::fd::OwnedFd::from(self.listener.try_clone().expect("another descriptor"));
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 3<&0 </dev/null", env!("CARGO_BIN_EXE_amberlever")]);
        command.env("LB_CONFIG", &path).env("LB_PASSED_SOCKET", "3").env("TMPDIR", &self.folder);
        command.stdin(Stdio::from(inherited)).stdout(Stdio::null()).stderr(Stdio::piped());
        let process = Process::attach(command.spawn().expect("the proxy starts"), path);
        if config.contains("\"mgmt\"") {
            wait_until("ready for operators", || process.operator_request("GET", "/status", "").0 == 200);
        }
        process
    }
}

/// Adds an operators' address to a configuration of the platform mode.
pub fn with_operators_address(config: &str) -> String {
    config.replacen('{', "{\"mgmt\":\"127.0.0.1:0\",", 1)
}
