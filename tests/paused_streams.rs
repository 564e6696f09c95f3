//! Peers that pause: the clock of one side does not end what the other side still gives.

mod stubs;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{mpsc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The longest pause of the responses that were cut off.
const LONGEST_PAUSE: Duration = Duration::from_millis(900);
/// The sizes of the responses that were cut off, in bytes.
const LONG_RESPONSE_SIZES: std::ops::Range<usize> = 70_000..300_000;
/// Longer than a pause that a peer may make.
const PEER_IS_SILENT_AFTER: Duration = Duration::from_secs(4);

/// How the end of a response of unknown length is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Chunked,
    CloseDelimited,
}

const FRAMINGS: [Framing; 2] = [Framing::Chunked, Framing::CloseDelimited];

impl Framing {
    fn head(self) -> &'static str {
        match self {
            Framing::Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            Framing::CloseDelimited => "HTTP/1.1 200 OK\r\n\r\n",
        }
    }

    fn piece(self, piece: &[u8]) -> Vec<u8> {
        match self {
            Framing::Chunked => [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat(),
            Framing::CloseDelimited => piece.to_vec(),
        }
    }

    fn end(self) -> &'static str {
        match self {
            Framing::Chunked => "0\r\nX-Trailer: 1\r\n\r\n",
            Framing::CloseDelimited => "",
        }
    }
}

/// Bytes in which a lost, duplicated or moved byte is detected.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i ^ (i >> 8) ^ (i >> 16)) as u8).collect()
}

/// An endpoint that answers `/CLASS/SEED` with a long response that it writes with pauses, each followed by an
/// eighth of the response at most. The seed determines framing, size and pauses.
fn pausing_endpoint() -> SocketAddr {
    raw_endpoint(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        let request = read_message(&mut reader).expect("a request");
        let seed = request.header("x-seed").expect("a seed").parse().expect("a number");
        let plan = LongResponse::new(seed);
        let _ = plan.write(&mut stream);
    })
}

/// A response that is written with pauses.
struct LongResponse {
    framing: Framing,
    body: Vec<u8>,
    pauses: Vec<Duration>,
}

impl LongResponse {
    fn new(seed: u64) -> LongResponse {
        let mut random = fastrand::Rng::with_seed(seed);
        let pause = |_| LONGEST_PAUSE.mul_f64(0.3 + 0.7 * random.f64());
        let pauses = (0..8).map(pause).collect();
        let framing = FRAMINGS[seed as usize % 2];
        LongResponse { framing, body: pattern(random.usize(LONG_RESPONSE_SIZES)), pauses }
    }

    fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.write_all(self.framing.head().as_bytes())?;
        stream.write_all(&self.framing.piece(&self.body[..37]))?;
        for (piece, pause) in self.body[37..].chunks(self.body.len() / 8).zip(&self.pauses) {
            thread::sleep(*pause);
            stream.write_all(&self.framing.piece(piece))?;
        }
        stream.write_all(self.framing.end().as_bytes())
    }
}

/// Sends a request and reads its response to the end. `None` if the response is not complete.
fn download(address: SocketAddr, request: &str) -> Option<Vec<u8>> {
    let mut client = BufReader::new(TcpStream::connect(address).expect("connects"));
    client.get_ref().set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    client.get_mut().write_all(request.as_bytes()).expect("written");
    let response = read_message(&mut client)?;
    (response.status() == 200).then_some(response.body)
}

/// Guards against responses that are cut off while their endpoint still writes them.
#[test]
fn a_long_response_that_is_written_with_pauses_comes_whole() {
    const RESPONSES: u64 = 8;
    let endpoint = pausing_endpoint();
    let mut proxies = Vec::new();
    let mut downloads = Vec::new();
    for deadline_ms in [400, 1000, 2500] {
        for (mode, proxy, discovery) in start_in_each_mode(endpoint, ClassTimes::deadline(deadline_ms)) {
            let address = proxy.address;
            for seed in 0..RESPONSES {
                // Every other pair of clients waits for longer than the class allows.
                let timeout_ms = if seed % 4 < 2 { deadline_ms } else { deadline_ms.max(2500) };
                let request = read(&format!("r-{seed}"), timeout_ms)
                    .replace("\r\n\r\n", &format!("\r\nX-Seed: {seed}\r\n\r\n"));
                let name = format!("{mode}, class of {deadline_ms} ms, seed {seed}");
                downloads.push((name, seed, thread::spawn(move || download(address, &request))));
            }
            proxies.push((proxy, discovery));
        }
    }
    let total = downloads.len();
    let mut cut_off = Vec::new();
    for (name, seed, download) in downloads {
        if download.join().expect("no panic") != Some(LongResponse::new(seed).body) {
            cut_off.push(name);
        }
    }
    assert!(cut_off.is_empty(), "{} of {total}: {cut_off:#?}", cut_off.len());
}

/// Guards the bound itself: a response that stops for good ends, gives its place back, and the log says why.
#[test]
fn a_response_of_unknown_length_that_stops_ends_in_bounded_time() {
    const DEADLINE: Duration = Duration::from_secs(1);
    for framing in FRAMINGS {
        let (endpoint_closed, closed) = mpsc::channel();
        let endpoint_closed = Mutex::new(endpoint_closed);
        let endpoint = raw_endpoint(move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
            let _ = read_message(&mut reader);
            let _ = stream.write_all(framing.head().as_bytes());
            let _ = stream.write_all(&framing.piece(&pattern(1000)));
            let _ = reader.read_to_end(&mut Vec::new());
            let _ = endpoint_closed.lock().expect("unpoisoned").send(());
        });
        for (mode, proxy, _discovery) in
            start_in_each_mode(endpoint, ClassTimes::deadline(DEADLINE.as_millis() as u32))
        {
            let started_at = Instant::now();
            assert_eq!(download(proxy.address, &read("r-stops", 1000)), None, "{mode}, {framing:?}");
            let took = started_at.elapsed();
            assert!(took < DEADLINE + PEER_IS_SILENT_AFTER, "{mode}, {framing:?}: {took:?}");
            closed.recv_timeout(TEST_TIMEOUT).expect("the connection to the endpoint is closed");
            proxy.wait_for_log("ended early: response r-stops after 1000 bytes");
            let metric = "edge_lb_cut_off_total{stream=\"response\",reason=\"paused_past_deadline\"}";
            assert_eq!(proxy.metric(metric), 1, "{mode}, {framing:?}");
            assert_eq!(proxy.metric("edge_lb_active"), 0, "{mode}, {framing:?}");
        }
    }
}

/// Guards against a small response that waits for a bound of long ones: it is passed on when it is whole.
#[test]
fn a_small_response_that_is_written_with_pauses_comes_in_its_time() {
    const TIMEOUT: Duration = Duration::from_millis(1500);
    for framing in FRAMINGS {
        let endpoint = raw_endpoint(move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
            let _ = read_message(&mut reader);
            let _ = stream.write_all(framing.head().as_bytes());
            for piece in pattern(3000).chunks(1000) {
                let _ = stream.write_all(&framing.piece(piece));
                thread::sleep(TIMEOUT / 5);
            }
            let _ = stream.write_all(framing.end().as_bytes());
        });
        for (mode, proxy, _discovery) in
            start_in_each_mode(endpoint, ClassTimes::deadline(TIMEOUT.as_millis() as u32))
        {
            let started_at = Instant::now();
            let body = download(proxy.address, &read("r-small", TIMEOUT.as_millis() as u32));
            assert_eq!(body, Some(pattern(3000)), "{mode}, {framing:?}");
            assert!(started_at.elapsed() < TIMEOUT, "{mode}, {framing:?}: {:?}", started_at.elapsed());
        }
    }
}

/// Guards against losing a response that begins in time because it is buffered past the deadline.
#[test]
fn a_long_response_that_begins_just_in_time_comes_whole() {
    const TIMEOUT: Duration = Duration::from_millis(1000);
    const FIRST_BYTES_AFTER: Duration = Duration::from_millis(930);
    let endpoint = raw_endpoint(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        let request = read_message(&mut reader).expect("a request");
        let framing = FRAMINGS[usize::from(request.header("x-seed") == Some("1"))];
        thread::sleep(FIRST_BYTES_AFTER);
        let _ = stream.write_all(framing.head().as_bytes());
        let _ = stream.write_all(&framing.piece(&pattern(37)));
        thread::sleep(Duration::from_millis(300));
        let _ = stream.write_all(&framing.piece(&pattern(100_000)));
        let _ = stream.write_all(framing.end().as_bytes());
    });
    for (mode, proxy, _discovery) in
        start_in_each_mode(endpoint, ClassTimes::deadline(TIMEOUT.as_millis() as u32))
    {
        for (seed, framing) in FRAMINGS.iter().enumerate() {
            let request = read(&format!("r-{seed}"), TIMEOUT.as_millis() as u32)
                .replace("\r\n\r\n", &format!("\r\nX-Seed: {seed}\r\n\r\n"));
            let body = download(proxy.address, &request);
            assert_eq!(body.map(|body| body.len()), Some(100_037), "{mode}, {framing:?}");
        }
    }
}
