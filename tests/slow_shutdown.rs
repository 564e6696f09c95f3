//! Streams that are open when the process is told to end. It may be killed as early as the longest deadline, 3 s at
//! most, and 0.7 s after the signal.

mod stubs;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use stubs::*;

/// The deadline of each class.
const DEADLINE: Duration = Duration::from_millis(1000);
/// The time of the kill after the signal, beside the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
const KILL_TIME: Duration = Duration::from_millis(1700);

/// The heads of long responses: of unknown length, and with a length.
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n",
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n",
];
/// The bytes that follow the head at once.
const FIRST_BYTES: usize = 900;

fn start(endpoint: SocketAddr) -> (Process, MockDiscovery) {
    start_platform(endpoint, ClassTimes::deadline(DEADLINE.as_millis() as u32))
}

/// An endpoint that sends the head of the response that the request names, then the first bytes, and then calls
/// `go_on` for the rest.
fn long_response_endpoint(go_on: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    raw_endpoint(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        let Some(request) = read_message(&mut reader) else { return };
        let head = request.header("x-head").and_then(|head| head.parse::<usize>().ok()).unwrap_or(0);
        let _ = stream.write_all(HEADS[head].as_bytes());
        let _ = stream.write_all(&[b'a'; FIRST_BYTES]);
        go_on(&mut stream);
        let _ = reader.read_to_end(&mut Vec::new());
    })
}

/// Sends a request on its own connection and reads until the connection ends. Returns the time of the end.
fn download(address: SocketAddr, head: usize) -> JoinHandle<Instant> {
    thread::spawn(move || {
        let mut client = TcpStream::connect(address).expect("connects");
        client.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let request = read(&format!("r-{head}-{:?}", client.local_addr()), 1000);
        let request = request.replace("\r\n\r\n", &format!("\r\nX-Head: {head}\r\n\r\n"));
        client.write_all(request.as_bytes()).expect("written");
        let mut buffer = [0; 4096];
        while matches!(client.read(&mut buffer), Ok(1..)) {}
        Instant::now()
    })
}

/// Guards against responses that are open at the kill: their requests came late in the shutdown, and their endpoint
/// has stopped. They fail visibly before.
#[test]
fn a_response_that_stops_during_a_shutdown_ends_before_the_kill() {
    let (mut process, _discovery) = start(long_response_endpoint(|_| {}));
    process.terminate();
    let signalled_at = Instant::now();
    process.wait_for_log("graceful shutdown started");
    thread::sleep((KILL_DELAY + Duration::from_millis(150)).saturating_sub(signalled_at.elapsed()));
    let downloads: Vec<_> = (0..HEADS.len()).map(|head| download(process.address, head)).collect();
    for (head, download) in downloads.into_iter().enumerate() {
        let ended = download.join().expect("no panic") - signalled_at;
        assert!(ended < KILL_TIME, "{:?}: ended {ended:?} after the signal", HEADS[head]);
    }
    assert!(process.wait_for_exit().success());
    assert!(signalled_at.elapsed() < KILL_TIME, "exited after {:?}", signalled_at.elapsed());
}

/// Guards against a process that waits for responses of unknown length that have stopped, or never end.
#[test]
fn a_process_with_stopped_responses_exits_before_the_kill() {
    let (mut process, _discovery) = start(long_response_endpoint(|_| {}));
    let downloads: Vec<_> = (0..HEADS.len()).map(|head| download(process.address, head)).collect();
    thread::sleep(Duration::from_millis(300));
    process.terminate();
    let signalled_at = Instant::now();
    assert!(process.wait_for_exit().success());
    assert!(signalled_at.elapsed() < KILL_TIME, "exited after {:?}", signalled_at.elapsed());
    for download in downloads {
        download.join().expect("no panic");
    }
}

/// Guards against cutting off, before the kill, what an endpoint still writes to a request that came in time.
#[test]
fn a_response_that_is_written_with_pauses_is_not_cut_off_before_the_kill() {
    let endpoint = long_response_endpoint(|stream| {
        let _ = stream.set_nodelay(true);
        while stream.write_all(b"b").is_ok() {
            thread::sleep(Duration::from_millis(850));
        }
    });
    let (mut process, _discovery) = start(endpoint);
    let downloads: Vec<_> = (0..HEADS.len()).map(|head| download(process.address, head)).collect();
    thread::sleep(Duration::from_millis(300));
    process.terminate();
    let signalled_at = Instant::now();
    thread::sleep(KILL_TIME);
    assert!(!process.has_exited(), "it exited before the kill");
    process.signal("KILL");
    process.wait_for_exit();
    for (head, download) in downloads.into_iter().enumerate() {
        let ended = download.join().expect("no panic") - signalled_at;
        assert!(ended >= KILL_TIME, "{:?}: cut off {ended:?} after the signal", HEADS[head]);
    }
}

/// Guards against a process that outlives the time of its kill for a response that never ends.
#[test]
fn a_response_that_never_ends_does_not_keep_a_process_past_the_kill() {
    const SLACK: Duration = Duration::from_secs(1);
    let endpoint = long_response_endpoint(|stream| {
        let _ = stream.set_nodelay(true);
        while stream.write_all(b"b").is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
    let (mut process, _discovery) = start(endpoint);
    let endless = download(process.address, 1);
    thread::sleep(Duration::from_millis(300));
    process.terminate();
    let signalled_at = Instant::now();
    assert!(process.wait_for_exit().success());
    assert!(signalled_at.elapsed() < KILL_TIME + SLACK, "exited after {:?}", signalled_at.elapsed());
    endless.join().expect("no panic");
}
