//! The memory of a process under many slow clients, with the lowest limit that the platform sets and more
//! descriptors than fit into it. What does not fit is rejected with a cause of its own.

mod stubs;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// The lowest memory limit that the platform sets, in MiB.
const MEMORY_MB: u64 = 32;
/// The part of the limit that a process may use, in percent.
const USABLE_PERCENT: u64 = 80;
/// The memory of a release build without connections that is not anonymous, such as its code, in kilobytes. That
/// of the build under test is larger and is not counted.
const FILE_BACKED_KB: u64 = 5 << 10;
/// The number of clients at once.
const CLIENTS: usize = 340;
/// How long the clients keep their connections open.
const PLAY_TIME: Duration = Duration::from_secs(4);
/// The largest body that is buffered, in bytes.
const BUFFERED_BODY: usize = 64 << 10;

/// What a slow client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlowClient {
    /// Stops in the middle of a body that is buffered.
    HalfBody,
    /// Sends a body of unknown length in small pieces, and stops before its end.
    HalfChunkedBody,
    /// Sends a head of many fields without its end.
    HalfHead,
    /// Sends a head of many fields, and reads nothing of the response.
    LargeHead,
    /// Reads nothing of a large response.
    UnreadResponse,
    /// Sends a large body that the endpoint does not read.
    LargeBody,
}

const SLOW_CLIENTS: [SlowClient; 6] = [
    SlowClient::HalfBody,
    SlowClient::HalfChunkedBody,
    SlowClient::HalfHead,
    SlowClient::LargeHead,
    SlowClient::UnreadResponse,
    SlowClient::LargeBody,
];

impl SlowClient {
    /// Plays the client until `deadline`. Errors are those of a connection that the proxy has closed.
    fn play(self, address: SocketAddr, number: usize, deadline: Instant) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        let time_left = || deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.set_write_timeout(Some(time_left()))?;
        let id = format!("{self:?}-{number}");
        let upload = |body: &str| write(&id, 20_000, "").replace("Content-Length: 0", body);
        let fields: String = (0..92).map(|field| format!("f{field}: {}\r\n", "v".repeat(140))).collect();
        let download = read(&id, 20_000);
        match self {
            SlowClient::HalfBody => {
                stream.write_all(upload(&format!("Content-Length: {BUFFERED_BODY}")).as_bytes())?;
                stream.write_all(&vec![b'b'; BUFFERED_BODY - 1])?;
            }
            SlowClient::HalfChunkedBody => {
                stream.write_all(upload("Transfer-Encoding: chunked").as_bytes())?;
                for _ in 0..60 {
                    stream.write_all(format!("400\r\n{}\r\n", "b".repeat(0x400)).as_bytes())?;
                    thread::sleep(Duration::from_millis(10));
                }
            }
            SlowClient::HalfHead => {
                stream.write_all(download.replace("\r\n\r\n", &format!("\r\n{fields}")).as_bytes())?;
            }
            SlowClient::LargeHead => {
                stream.write_all(download.replace("\r\n\r\n", &format!("\r\n{fields}\r\n")).as_bytes())?;
            }
            SlowClient::UnreadResponse => stream.write_all(download.as_bytes())?,
            SlowClient::LargeBody => {
                stream.write_all(upload(&format!("Content-Length: {}", 4 << 20)).as_bytes())?;
                stream.write_all(&vec![b'b'; 4 << 20])?;
            }
        }
        thread::sleep(time_left());
        Ok(())
    }
}

/// An endpoint that reads no large body, and responds to anything else with a response that fills the buffer.
fn endpoint() -> SocketAddr {
    raw_endpoint(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while let Some(line) = read_head(&mut reader) {
            if line.starts_with("POST") {
                thread::sleep(TEST_TIMEOUT);
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BUFFERED_BODY}\r\n\r\n");
            if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&[7; BUFFERED_BODY])).is_err()
            {
                return;
            }
        }
    })
}

/// Reads a head and returns its first line.
fn read_head(reader: &mut impl std::io::BufRead) -> Option<String> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|bytes| *bytes > 0)?;
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
    }
    Some(first)
}

fn start(memory_mb: u64) -> (Process, MockDiscovery) {
    let discovery = MockDiscovery::new();
    let endpoints = (0..4).map(|number| host(&format!("s-{number}"), endpoint(), "SERVING")).collect();
    let setup = Setup { endpoints, ..Setup::with_endpoints(&[]) };
    let memory = format!("\"memory_mb\":{memory_mb}");
    let config =
        with_operators_address(&setup.config(discovery.address)).replace("\"memory_mb\":192", &memory);
    let proxy = start_config(&config);
    proxy.wait_until_ready();
    (proxy, discovery)
}

/// Plays `kinds` in turn on all connections at once, and returns the largest anonymous memory in kilobytes.
fn peak_memory_kb(proxy: &Process, kinds: &'static [SlowClient]) -> u64 {
    let deadline = Instant::now() + PLAY_TIME;
    let address = proxy.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            thread::spawn(move || drop(kinds[number % kinds.len()].play(address, number, deadline)))
        })
        .collect();
    let mut peak = 0;
    while Instant::now() < deadline {
        peak = peak.max(proxy.anonymous_memory_kb());
        thread::sleep(Duration::from_millis(20));
    }
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    peak
}

/// Guards against a process that is killed because it passes its memory limit, with hundreds of clients that send
/// or read slowly.
#[test]
fn slow_clients_do_not_exceed_the_memory_limit() {
    let limit_kb = (MEMORY_MB << 10) * USABLE_PERCENT / 100 - FILE_BACKED_KB;
    let mut peaks = Vec::new();
    let mut play = |kinds: &'static [SlowClient]| {
        let (proxy, _discovery) = start(MEMORY_MB);
        let peak = peak_memory_kb(&proxy, kinds);
        peaks.push((format!("{kinds:?}"), peak));
    };
    SLOW_CLIENTS.chunks(1).for_each(&mut play);
    play(&SLOW_CLIENTS);
    println!("anonymous memory in kB, limit {limit_kb}: {peaks:?}");
    assert!(peaks.iter().all(|(_, peak)| *peak <= limit_kb), "over {limit_kb} kB: {peaks:?}");
}

/// Guards against refusals that clients cannot tell from load, that they do not receive because the connection
/// is reset, or that go on when memory is free again.
#[test]
fn lack_of_memory_is_a_cause_of_its_own_and_ends() {
    let (proxy, _discovery) = start(MEMORY_MB);
    let stop = Arc::new(AtomicBool::new(false));
    let hogs: Vec<_> = (0..CLIENTS / 2)
        .map(|number| {
            let (address, stop) = (proxy.address, Arc::clone(&stop));
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("connects");
                let length = format!("Content-Length: {}", 1 << 20);
                let head = write(&format!("hog-{number}"), 20_000, "").replace("Content-Length: 0", &length);
                stream.write_all(head.as_bytes()).expect("written");
                while !stop.load(Ordering::Relaxed) {
                    if stream.write_all(&[b'b'; 512]).is_err() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    wait_until("out of memory", || proxy.metric("edge_lb_memory_refusals_total") > 0);
    let body = "b".repeat(BUFFERED_BODY - 1);
    let refused = proxy.request(&write("refused", 20_000, &body));
    let cause = refused.header("X-Refusal-Cause");
    assert_eq!((refused.status(), cause, refused.header("Connection")), (503, Some("memory"), Some("close")));
    stop.store(true, Ordering::Relaxed);
    hogs.into_iter().for_each(|hog| hog.join().expect("no panic"));
    wait_until("served again", || proxy.request(&read("again", 20_000)).status() == 200);
}
