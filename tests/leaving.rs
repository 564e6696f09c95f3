//! No attempt starts for a client that has closed its connection or its sending side. The mock peers enforce
//! each order of events.

mod stubs;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};
use stubs::*;

/// An endpoint to which no connection can be established, because its backlog is full.
struct FullBacklogEndpoint {
    listener: TcpListener,
    backlog_filler: TcpStream,
    address: SocketAddr,
}

impl FullBacklogEndpoint {
    fn new() -> FullBacklogEndpoint {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
        listener.listen(0).expect("listens");
        let listener = TcpListener::from(listener);
        let address = listener.local_addr().expect("bound");
        FullBacklogEndpoint {
            backlog_filler: TcpStream::connect(address).expect("connects"),
            listener,
            address,
        }
    }

    /// Accepts connections from now on, so that the kernel establishes those that wait. Returns the bytes
    /// received and their times of arrival, once no connection has arrived for three seconds.
    fn open(self) -> Vec<(Instant, Vec<u8>)> {
        drop(self.backlog_filler);
        let received = Arc::<Mutex<Vec<(Instant, Vec<u8>)>>>::default();
        let (connected, last) = mpsc::channel();
        let (listener, recorder) = (self.listener, Arc::clone(&received));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, recorder) = (stream.expect("accepts"), Arc::clone(&recorder));
                let _ = connected.send(());
                thread::spawn(move || {
                    let mut piece = [0; 4096];
                    while let Ok(n @ 1..) = stream.read(&mut piece) {
                        recorder.lock().expect("unpoisoned").push((Instant::now(), piece[..n].to_vec()));
                    }
                });
            }
        });
        while last.recv_timeout(Duration::from_secs(3)).is_ok() {}
        let received = received.lock().expect("unpoisoned");
        received.clone()
    }
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    /// Closes after sending bytes behind the request that the proxy does not read before the close.
    CloseAfterUnreadBytes,
    Reset,
    ResetAfterUnreadBytes,
    /// Closes only its sending side, which cancels its attempts too.
    HalfClose,
    HalfCloseAfterUnreadBytes,
    /// Closes before the body is complete.
    DuringBody,
}

/// Sends a request, and disconnects once the proxy has read it and `first` has returned. Returns the time of
/// the disconnect, and the connection if only one side was closed.
fn send_and_disconnect(
    proxy: &Process,
    disconnect: Disconnect,
    first: impl FnOnce(),
) -> (Instant, Option<TcpStream>) {
    let mut stream = TcpStream::connect(proxy.address).expect("connects");
    stream.set_nodelay(true).expect("set");
    let whole = write("id-1", 9_000, "what to do");
    let length = whole.len() - usize::from(matches!(disconnect, Disconnect::DuringBody)) * 4;
    stream.write_all(&whole.as_bytes()[..length]).expect("written");
    // The response to this later request indicates that the proxy has read the first one.
    assert_eq!(proxy.request("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
    if matches!(
        disconnect,
        Disconnect::CloseAfterUnreadBytes
            | Disconnect::ResetAfterUnreadBytes
            | Disconnect::HalfCloseAfterUnreadBytes
    ) {
        for _ in 0..3 {
            stream.write_all(b"GET /read/1 HTTP/1.1\r\nHost: a\r\n").expect("written");
            assert_eq!(proxy.request("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
        }
    }
    first();
    let _guard = exclude_process_starts();
    match disconnect {
        Disconnect::HalfClose | Disconnect::HalfCloseAfterUnreadBytes => {
            stream.shutdown(Shutdown::Write).expect("ended");
            return (Instant::now(), Some(stream));
        }
        Disconnect::Reset | Disconnect::ResetAfterUnreadBytes => {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
        }
        _ => {}
    }
    drop(stream);
    (Instant::now(), None)
}

/// A proxy with a single endpoint at this address.
fn setup(address: SocketAddr) -> Setup {
    let mut setup = Setup::with_endpoints(&[]);
    setup.endpoints.push(host("s-0", address, "SERVING"));
    setup
}

#[test]
fn no_attempt_starts_for_a_client_that_disconnected_during_connect() {
    let disconnects = [
        Disconnect::Close,
        Disconnect::CloseAfterUnreadBytes,
        Disconnect::Reset,
        Disconnect::ResetAfterUnreadBytes,
        Disconnect::HalfClose,
        Disconnect::HalfCloseAfterUnreadBytes,
        Disconnect::DuringBody,
    ];
    let cases = disconnects.map(|disconnect| {
        thread::spawn(move || {
            let endpoint = FullBacklogEndpoint::new();
            let proxy = setup(endpoint.address).start();
            let (_, _half_closed) = send_and_disconnect(&proxy, disconnect, || {});
            let received = endpoint.open();
            assert!(
                received.is_empty(),
                "{disconnect:?}: {:?}",
                received.iter().map(|h| h.1.len()).collect::<Vec<_>>()
            );
        })
    });
    for case in cases {
        case.join().expect("no panic");
    }
}

#[test]
fn no_retry_starts_for_a_client_that_disconnected_during_its_first_attempt() {
    for disconnect in [
        Disconnect::Close,
        Disconnect::CloseAfterUnreadBytes,
        Disconnect::Reset,
        Disconnect::ResetAfterUnreadBytes,
    ] {
        // Two endpoints: the one that gets the first attempt waits for the release, and then rejects it
        // unprocessed.
        let (request_started, requests) = mpsc::channel();
        let (release, releases) = mpsc::channel::<()>();
        let releases = Arc::new(Mutex::new(releases));
        let endpoint = || {
            let (request_started, releases) = (request_started.clone(), Arc::clone(&releases));
            let (request_started, releases) = (Mutex::new(request_started), releases);
            raw_endpoint(move |mut stream| {
                let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
                while read_message(&mut reader).is_some() {
                    let _ = request_started.lock().expect("unpoisoned").send(Instant::now());
                    let _ = releases.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
                    let rejection =
                        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                    let _ = stream.write_all(rejection.as_bytes());
                }
            })
        };
        let mut setup = setup(endpoint());
        setup.endpoints.push(host("s-1", endpoint(), "SERVING"));
        let proxy = setup.start();
        let (disconnected_at, _half_closed) = send_and_disconnect(&proxy, disconnect, || {
            requests.recv_timeout(TEST_TIMEOUT).expect("the first attempt");
        });
        release.send(()).expect("the endpoint waits for it");
        let further = requests.recv_timeout(Duration::from_secs(1)).ok();
        assert!(
            further.is_none(),
            "{disconnect:?}: another attempt {:?} after the disconnect",
            further.map(|at| at - disconnected_at)
        );
        let _ = release.send(());
    }
}

#[test]
fn no_attempts_start_for_five_hundred_simultaneous_disconnects_on_a_busy_core() {
    let endpoint = FullBacklogEndpoint::new();
    let mut setup = setup(endpoint.address);
    setup.max_sockets = 4_096;
    let proxy = setup.start();
    let mut clients = Vec::new();
    for number in 0..500 {
        let mut stream = TcpStream::connect(proxy.address).expect("connects");
        stream.write_all(write(&format!("id-{number}"), 9_000, "x").as_bytes()).expect("written");
        clients.push(stream);
    }
    assert_eq!(proxy.request("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
    // Half of the clients send bytes behind their requests.
    for client in clients.iter_mut().step_by(2) {
        let _ = client.write_all(b"GET /read/1 HTTP/1.1\r\n");
    }
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let busy_threads: Vec<_> = (0..4)
        .map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || while !stop.load(std::sync::atomic::Ordering::Relaxed) {})
        })
        .collect();
    let guard = exclude_process_starts();
    drop(clients);
    drop(guard);
    let disconnected_at = Instant::now();
    let received = endpoint.open();
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    busy_threads.into_iter().for_each(|t| t.join().expect("no panic"));
    let last = received.iter().map(|(at, _)| at.saturating_duration_since(disconnected_at)).max();
    println!("{} attempts after the disconnects, the last after {last:?}", received.len());
    assert!(last.is_none_or(|last| last <= Duration::from_millis(100)), "{last:?}");
}

#[test]
fn a_disconnect_propagates_to_a_second_tier() {
    for disconnect in [Disconnect::Close, Disconnect::CloseAfterUnreadBytes] {
        let endpoint = MockEndpoint::new([Behavior::Hang]);
        let second = Setup::with_endpoints(&[&endpoint]).start();
        let first = setup(second.address).start();
        let mut number = 0;
        let (disconnected_at, _) = send_and_disconnect(&first, disconnect, || number = endpoint.request().0);
        assert_eq!(endpoint.wait_for_close(), number);
        println!(
            "{disconnect:?}: the second tier's attempt was closed {:?} after the client's disconnect",
            disconnected_at.elapsed()
        );
        assert!(
            disconnected_at.elapsed() < Duration::from_secs(2),
            "{disconnect:?}: {:?}",
            disconnected_at.elapsed()
        );
    }
}
