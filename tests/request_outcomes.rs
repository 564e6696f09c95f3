//! All outcomes of requests, many at once, compared with the metrics: each is counted exactly once.
mod stubs;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The length of a body that exceeds the buffer, in bytes.
const LARGE: usize = 300_000;
/// The number of rounds of simultaneous requests.
const ROUNDS: usize = 40;
/// The number of requests in each round after the first.
const REQUESTS_PER_ROUND: usize = 6;

/// The outcome of a request. Its endpoint derives it from the request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    Error,
    /// The endpoint closes the connection without a response.
    ConnectionClosed,
    /// The client disconnects before there is a response.
    ClientDisconnected,
    /// No response within the client's timeout.
    Timeout,
    /// A large request that is sent completely.
    Upload,
    /// A large request that is truncated.
    TruncatedUpload,
    /// A large response that is sent completely.
    Download,
    /// A large response that is truncated.
    TruncatedDownload,
    /// The client disconnects in the middle of a large response.
    AbandonedDownload,
    /// Rejected because its class is unknown.
    UnknownClass,
    /// Rejected because its class has another method.
    WrongMethod,
    /// Rejected because its id is invalid.
    InvalidId,
    /// The endpoint responds to a large request before it has read it.
    EarlyResponse,
}

const OUTCOMES: [Outcome; 14] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::ConnectionClosed,
    Outcome::ClientDisconnected,
    Outcome::Timeout,
    Outcome::Upload,
    Outcome::TruncatedUpload,
    Outcome::Download,
    Outcome::TruncatedDownload,
    Outcome::AbandonedDownload,
    Outcome::UnknownClass,
    Outcome::WrongMethod,
    Outcome::InvalidId,
    Outcome::EarlyResponse,
];

impl Outcome {
    /// Whether the request is counted, which needs a known class.
    fn is_counted(self) -> bool {
        !matches!(self, Outcome::UnknownClass | Outcome::WrongMethod | Outcome::InvalidId)
    }
}

/// The ids of the requests that endpoints have received completely.
type ReceivedIds = Arc<Mutex<Vec<String>>>;

/// An endpoint that records the requests that it has received completely.
fn endpoint(received: ReceivedIds) -> SocketAddr {
    raw_endpoint(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while serve(&mut reader, &stream, &received).is_some() {}
        let _ = stream.shutdown(Shutdown::Both);
    })
}

/// Serves a request. Returns `None` if the connection is to be closed.
fn serve(reader: &mut BufReader<TcpStream>, mut stream: &TcpStream, received: &ReceivedIds) -> Option<()> {
    let mut length = 0;
    let mut line = String::new();
    let mut id = String::new();
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        } else if lower.starts_with("x-request-id:") {
            line.split_once(':')?.1.trim().clone_into(&mut id);
        }
    }
    let mut respond = |status: &str, length: usize, body: &[u8]| {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).ok()
    };
    let is = |outcome: Outcome| id.starts_with(&format!("{outcome:?}-"));
    if is(Outcome::EarlyResponse) {
        respond("200 OK", 2, b"ok")?;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    received.lock().expect("unpoisoned").push(id.clone());
    if is(Outcome::Served) || is(Outcome::Upload) || is(Outcome::TruncatedUpload) {
        respond("200 OK", 2, b"ok")
    } else if is(Outcome::Error) {
        respond("500 Internal Server Error", 0, b"")
    } else if is(Outcome::Download) || is(Outcome::AbandonedDownload) {
        respond("200 OK", LARGE, &vec![7; LARGE])
    } else if is(Outcome::TruncatedDownload) {
        respond("200 OK", LARGE, &vec![7; LARGE / 2])?;
        None
    } else if is(Outcome::ClientDisconnected) || is(Outcome::Timeout) {
        // Wait until the connection is closed.
        let _ = reader.read(&mut [0]);
        None
    } else if is(Outcome::EarlyResponse) {
        Some(())
    } else {
        None
    }
}

/// Sends a request with this outcome. Returns the status of its response, if there was one.
fn send(proxy: SocketAddr, outcome: Outcome, id: u64, received: &ReceivedIds) -> Option<u16> {
    let name = format!("{outcome:?}-{id}");
    let stream = TcpStream::connect(proxy).expect("connects");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    let mut client = BufReader::new(stream);
    let request = match outcome {
        Outcome::Upload | Outcome::TruncatedUpload | Outcome::EarlyResponse => {
            write(&name, 5000, "").replace("Content-Length: 0", &format!("Content-Length: {LARGE}"))
        }
        Outcome::Timeout => read(&name, 150),
        Outcome::UnknownClass => read(&name, 5000).replace("read", "nobodys"),
        Outcome::WrongMethod => read(&name, 5000).replace("GET", "PUT"),
        Outcome::InvalidId => read(&name, 5000).replace("X-Request-ID: ", "X-Request-ID: ,"),
        _ => read(&name, 5000),
    };
    client.get_mut().write_all(request.as_bytes()).expect("written");
    match outcome {
        // An early response may close the connection while the request is being written.
        Outcome::Upload | Outcome::EarlyResponse => drop(client.get_mut().write_all(&vec![7; LARGE])),
        Outcome::TruncatedUpload => {
            client.get_mut().write_all(&vec![7; LARGE / 2]).expect("written");
            return None;
        }
        Outcome::ClientDisconnected => {
            let since = Instant::now();
            while !received.lock().expect("unpoisoned").contains(&name) {
                assert!(since.elapsed() < TEST_TIMEOUT, "{name} reaches an endpoint");
                thread::sleep(Duration::from_millis(1));
            }
            return None;
        }
        Outcome::AbandonedDownload => {
            client.read_exact(&mut [0; 64]).expect("the start");
            return None;
        }
        Outcome::TruncatedDownload => {
            let mut all = Vec::new();
            let _ = client.read_to_end(&mut all);
            assert!(all.len() < LARGE);
            return None;
        }
        _ => {}
    }
    read_message(&mut client).map(|response| response.status())
}

/// The metrics, summed over all classes.
struct RequestMetrics {
    ended: u64,
    active: u64,
    attempts: u64,
}

impl RequestMetrics {
    fn read(proxy: &Process) -> RequestMetrics {
        let text = metrics(proxy);
        let ended = ["edge_lb_ok_total", "edge_lb_shed_total", "edge_lb_errors_total"];
        RequestMetrics {
            ended: ended.iter().map(|name| sum(&text, name)).sum(),
            active: sum(&text, "edge_lb_active"),
            attempts: sum(&text, "edge_lb_tries_total"),
        }
    }
}

fn metrics(proxy: &Process) -> String {
    proxy.operator_request("GET", "/status/metrics", "").1
}

/// The sum of a metric over its labels.
fn sum(text: &str, name: &str) -> u64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// The requests of a test run.
struct Run {
    process: Process,
    proxy: SocketAddr,
    received: ReceivedIds,
    last_id: u64,
    /// The number of requests so far that are counted.
    counted: u64,
    /// The number of responses to counted requests, by status.
    responses: BTreeMap<u16, u64>,
}

impl Run {
    /// Sends requests simultaneously, and checks the metrics meanwhile: they never count more requests than
    /// were sent, nor fewer than before.
    fn send_at_once(&mut self, outcomes: &[Outcome]) {
        let counted_before = self.counted;
        self.counted += outcomes.iter().filter(|outcome| outcome.is_counted()).count() as u64;
        let counted = self.counted;
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| {
                while !is_over.load(Ordering::SeqCst) {
                    let RequestMetrics { ended, active, .. } = RequestMetrics::read(&self.process);
                    assert!(
                        (counted_before..=counted).contains(&(ended + active)),
                        "{counted_before} {ended} {active} {counted}"
                    );
                    thread::sleep(Duration::from_millis(2));
                }
            });
            let first_id = self.last_id + 1;
            self.last_id += outcomes.len() as u64;
            let requests: Vec<_> = (first_id..)
                .zip(outcomes)
                .map(|(id, &outcome)| {
                    let received = &self.received;
                    let proxy = self.proxy;
                    scope.spawn(move || (outcome, send(proxy, outcome, id, received)))
                })
                .collect();
            for request in requests {
                let (outcome, status) = request.join().expect("no panic");
                if let Some(status) = status.filter(|_| outcome.is_counted()) {
                    *self.responses.entry(status).or_default() += 1;
                }
            }
            is_over.store(true, Ordering::SeqCst);
        });
    }

    /// Waits until all requests have ended and each attempt that an endpoint received is counted.
    fn wait_until_settled(&self, round: usize, outcomes: &[Outcome]) {
        let since = Instant::now();
        loop {
            let RequestMetrics { ended, active, attempts } = RequestMetrics::read(&self.process);
            let received = self.received.lock().expect("unpoisoned").len() as u64;
            let counted = self.counted;
            if (ended, active) == (counted, 0) && attempts == received {
                return;
            }
            let state = format!(
                "round {round}, {outcomes:?}: {ended} ended, {active} active of {counted}, {attempts} attempts of {received}"
            );
            assert!(since.elapsed() < TEST_TIMEOUT, "{state}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// The number of responses whose status matches.
    fn responses(&self, is_counted: impl Fn(u16) -> bool) -> u64 {
        self.responses.iter().filter(|(status, _)| is_counted(**status)).map(|(_, count)| count).sum()
    }
}

#[test]
fn metrics_agree_with_clients_and_endpoints_however_requests_end() {
    let seed = 40;
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let received = ReceivedIds::default();
    let endpoints = [endpoint(Arc::clone(&received)), endpoint(Arc::clone(&received))];
    let discovery = MockDiscovery::new();
    let socket = InheritedListener::new();
    let mut setup = Setup { latency_objective_ms: 4000, ..Setup::with_endpoints(&[]) };
    let hosts = endpoints.iter().enumerate();
    setup.endpoints = hosts.map(|(i, address)| host(&format!("s-{i}"), *address, "SERVING")).collect();
    let process = socket.start(&with_operators_address(&setup.config(discovery.address)));
    let proxy = socket.address;
    let mut run = Run { process, proxy, received, last_id: 0, counted: 0, responses: BTreeMap::new() };
    for round in 0..ROUNDS {
        let outcomes: Vec<Outcome> =
            (0..REQUESTS_PER_ROUND).map(|_| OUTCOMES[rng.usize(0..OUTCOMES.len())]).collect();
        // The first round contains each outcome once.
        let outcomes = if round == 0 { OUTCOMES.to_vec() } else { outcomes };
        run.send_at_once(&outcomes);
        run.wait_until_settled(round, &outcomes);
    }
    // Clients that disconnected got no response, so the metrics may count more than the clients.
    let text = metrics(&run.process);
    let served = run.responses(|status| status < 300);
    let responses = &run.responses;
    assert!(sum(&text, "edge_lb_ok_total") >= served, "{responses:?}");
    let rejected = run.responses(|status| status == 429 || status == 503);
    assert!(sum(&text, "edge_lb_shed_total") >= rejected, "{responses:?}");
    let failed = run.responses(|status| status == 502 || status == 504);
    assert!(sum(&text, "edge_lb_errors_total") >= failed, "{responses:?}");
    assert!(served > 20 && run.responses(|status| status >= 500) > 10, "{responses:?}");
}
