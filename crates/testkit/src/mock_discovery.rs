//! A discovery service with scripted responses.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use crate::discovery_list::list;
use crate::http_message::read_message;
use crate::TEST_TIMEOUT;

/// The reaction of discovery to a poll.
#[derive(Clone, Debug)]
pub enum PollResponse {
    /// Responds with this list.
    List(String),
    /// Sends the `Content-Length` of this list and closes the connection after half of it.
    Truncated(String),
    /// Responds with 503.
    Unavailable,
    /// Closes the connection.
    Disconnect,
}

#[derive(Default)]
struct Script {
    responses: VecDeque<PollResponse>,
    /// The response to each poll while `responses` is empty.
    default_response: Option<PollResponse>,
    /// The path and time of each poll received.
    polls: Vec<(String, Instant)>,
}

impl Script {
    fn is_empty(&self) -> bool {
        self.responses.is_empty() && self.default_response.is_none()
    }

    fn next(&mut self) -> Option<PollResponse> {
        self.responses.pop_front().or_else(|| self.default_response.clone())
    }
}

#[derive(Default)]
struct Shared {
    script: Mutex<Script>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Script> {
        self.script.lock().expect("unpoisoned")
    }

    /// Records a poll and waits for the response to it.
    fn response_to(&self, path: String, mut script: MutexGuard<'_, Script>) -> PollResponse {
        script.polls.push((path, Instant::now()));
        self.changed.notify_all();
        let mut script = self.changed.wait_while(script, |script| script.is_empty()).expect("unpoisoned");
        script.next().expect("the script is not empty")
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while let Some(poll) = read_message(&mut reader) {
            let path = poll.line.split(' ').nth(1).expect("a path").to_owned();
            let script = self.lock();
            let text = match confirmed_version(&path).filter(|_| script.is_empty()) {
                Some(version) => {
                    drop(script);
                    http_ok(&list(version, false, &[]))
                }
                None => match self.response_to(path, script) {
                    PollResponse::Disconnect => return,
                    PollResponse::List(body) => http_ok(&body),
                    PollResponse::Truncated(body) => {
                        let head = http_head(body.len());
                        let half = &body[..body.len() / 2];
                        let _ = stream.write_all(format!("{head}{half}").as_bytes());
                        return;
                    }
                    PollResponse::Unavailable => {
                        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned()
                    }
                },
            };
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Responds to each poll with the next scripted response, as soon as there is one. While there is none, a
/// poll that only confirms the list at the start of a process gets an empty list at once, and is not counted.
pub struct MockDiscovery {
    /// The address on which discovery listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl MockDiscovery {
    /// Starts a discovery service with an empty script.
    pub fn new() -> MockDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let shared = Arc::<Shared>::default();
        let serving = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, serving) = (stream.expect("accepts"), Arc::clone(&serving));
                thread::spawn(move || serving.serve(stream));
            }
        });
        MockDiscovery { address, shared }
    }

    /// Adds a response to the script.
    pub fn push(&self, response: PollResponse) {
        self.shared.lock().responses.push_back(response);
        self.shared.changed.notify_all();
    }

    /// Sets the response to each poll while the script is empty. With `None`, polls wait for the script.
    pub fn set_default_response(&self, response: Option<PollResponse>) {
        self.shared.lock().default_response = response;
        self.shared.changed.notify_all();
    }

    /// Returns the number of polls received so far.
    pub fn poll_count(&self) -> usize {
        self.shared.lock().polls.len()
    }

    /// Waits for the poll with this number, from 0. Returns its path and time.
    #[track_caller]
    pub fn wait_for_poll(&self, number: usize) -> (String, Instant) {
        let is_missing = |script: &mut Script| script.polls.len() <= number;
        let waited = self.shared.changed.wait_timeout_while(self.shared.lock(), TEST_TIMEOUT, is_missing);
        let (script, _) = waited.expect("unpoisoned");
        script.polls.get(number).expect("the proxy polls discovery").clone()
    }
}

impl Default for MockDiscovery {
    fn default() -> Self {
        MockDiscovery::new()
    }
}

/// Returns the version that a poll asks to confirm without waiting, which a process does right after its
/// start. Returns `None` for other polls.
fn confirmed_version(path: &str) -> Option<u64> {
    path.strip_prefix("/v1/servers?after=")?.strip_suffix("&wait_ms=1")?.parse().ok()
}

fn http_head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

fn http_ok(body: &str) -> String {
    http_head(body.len()) + body
}
