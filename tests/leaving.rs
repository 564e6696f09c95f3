//! A client that has closed its connection, or its side of it, has gone: nothing is begun for it any more. Each order of
//! events is forced by the stand-ins.

mod stubs;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};
use stubs::*;

/// A backend whose connections do not come up, as its backlog is full.
struct Shut {
    listener: TcpListener,
    filler: TcpStream,
    address: SocketAddr,
}

impl Shut {
    fn new() -> Shut {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
        listener.listen(0).expect("listens");
        let listener = TcpListener::from(listener);
        let address = listener.local_addr().expect("bound");
        Shut { filler: TcpStream::connect(address).expect("connects"), listener, address }
    }

    /// There is room from now on, and the kernel tries again to connect what waits: all that is written to it until nothing
    /// more comes for three seconds, and when it came.
    fn open(self) -> Vec<(Instant, Vec<u8>)> {
        drop(self.filler);
        let heard = Arc::<Mutex<Vec<(Instant, Vec<u8>)>>>::default();
        let (told, last) = mpsc::channel();
        let (listener, kept) = (self.listener, Arc::clone(&heard));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, kept) = (stream.expect("accepts"), Arc::clone(&kept));
                let _ = told.send(());
                thread::spawn(move || {
                    let mut piece = [0; 4096];
                    while let Ok(n @ 1..) = stream.read(&mut piece) {
                        kept.lock().expect("unpoisoned").push((Instant::now(), piece[..n].to_vec()));
                    }
                });
            }
        });
        while last.recv_timeout(Duration::from_secs(3)).is_ok() {}
        let heard = heard.lock().expect("unpoisoned");
        heard.clone()
    }
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    /// Bytes lie unread behind its request, so that its end is behind them.
    ClosesBehindBytes,
    Resets,
    ResetsBehindBytes,
    /// It reads on, and sends nothing more: by the page an attempt is given up in that way too.
    EndsItsSide,
    EndsItsSideBehindBytes,
    InItsBody,
}

/// Sends a request, and goes once the proxy has taken it and `first` has come to pass. Its connection, where it only ends its
/// side of it.
fn ask_and_leave(proxy: &Process, leaves: Leaves, first: impl FnOnce()) -> (Instant, Option<TcpStream>) {
    let mut stream = TcpStream::connect(proxy.address).expect("listens");
    stream.set_nodelay(true).expect("set");
    let whole = write("id-1", 9_000, "what to do");
    let length = whole.len() - usize::from(matches!(leaves, Leaves::InItsBody)) * 4;
    stream.write_all(&whole.as_bytes()[..length]).expect("written");
    // Whoever is answered after it came after it.
    assert_eq!(proxy.request("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
    if matches!(
        leaves,
        Leaves::ClosesBehindBytes | Leaves::ResetsBehindBytes | Leaves::EndsItsSideBehindBytes
    ) {
        for _ in 0..3 {
            stream.write_all(b"GET /read/1 HTTP/1.1\r\nHost: a\r\n").expect("written");
            assert_eq!(proxy.request("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
        }
    }
    first();
    match leaves {
        Leaves::EndsItsSide | Leaves::EndsItsSideBehindBytes => {
            stream.shutdown(Shutdown::Write).expect("ended");
            return (Instant::now(), Some(stream));
        }
        Leaves::Resets | Leaves::ResetsBehindBytes => {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
        }
        _ => {}
    }
    drop(stream);
    (Instant::now(), None)
}

fn setup(address: SocketAddr) -> Setup {
    let mut setup = Setup::with_endpoints(&[]);
    setup.endpoints.push(host("s-0", address, "SERVING"));
    setup
}

#[test]
fn no_attempt_starts_for_a_client_that_disconnected_during_connect() {
    let ways = [
        Leaves::Closes,
        Leaves::ClosesBehindBytes,
        Leaves::Resets,
        Leaves::ResetsBehindBytes,
        Leaves::EndsItsSide,
        Leaves::EndsItsSideBehindBytes,
        Leaves::InItsBody,
    ];
    let cases = ways.map(|leaves| {
        thread::spawn(move || {
            let shut = Shut::new();
            let proxy = setup(shut.address).start();
            let (_, _kept) = ask_and_leave(&proxy, leaves, || {});
            let heard = shut.open();
            assert!(
                heard.is_empty(),
                "{leaves:?}: {:?}",
                heard.iter().map(|h| h.1.len()).collect::<Vec<_>>()
            );
        })
    });
    for case in cases {
        case.join().expect("as said");
    }
}

#[test]
fn no_retry_starts_for_a_client_that_disconnected_during_its_first_attempt() {
    for leaves in [Leaves::Closes, Leaves::ClosesBehindBytes, Leaves::Resets, Leaves::ResetsBehindBytes] {
        // Two backends: whichever has the request first waits for the word, and then turns it away unseen.
        let (asked, requests) = mpsc::channel();
        let (word, words) = mpsc::channel::<()>();
        let words = Arc::new(Mutex::new(words));
        let backend = || {
            let (asked, words) = (asked.clone(), Arc::clone(&words));
            let (asked, words) = (Mutex::new(asked), words);
            raw_endpoint(move |mut stream| {
                let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
                while read_message(&mut reader).is_some() {
                    let _ = asked.lock().expect("unpoisoned").send(Instant::now());
                    let _ = words.lock().expect("unpoisoned").recv_timeout(TEST_TIMEOUT);
                    let turned =
                        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                    let _ = stream.write_all(turned.as_bytes());
                }
            })
        };
        let mut setup = setup(backend());
        setup.endpoints.push(host("s-1", backend(), "SERVING"));
        let proxy = setup.start();
        let (left, _kept) = ask_and_leave(&proxy, leaves, || {
            requests.recv_timeout(TEST_TIMEOUT).expect("the first attempt");
        });
        word.send(()).expect("it waits");
        let further = requests.recv_timeout(Duration::from_secs(1)).ok();
        assert!(further.is_none(), "{leaves:?}: begun {:?} after", further.map(|at| at - left));
        let _ = word.send(());
    }
}

#[test]
fn no_attempts_start_for_five_hundred_simultaneous_disconnects_on_a_busy_core() {
    let shut = Shut::new();
    let mut setup = setup(shut.address);
    setup.max_sockets = 4_096;
    let proxy = setup.start();
    let mut clients = Vec::new();
    for number in 0..500 {
        let mut stream = TcpStream::connect(proxy.address).expect("listens");
        stream.write_all(write(&format!("id-{number}"), 9_000, "x").as_bytes()).expect("written");
        clients.push(stream);
    }
    assert_eq!(proxy.request("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n").status(), 200);
    // Half of them with bytes behind their requests.
    for client in clients.iter_mut().step_by(2) {
        let _ = client.write_all(b"GET /read/1 HTTP/1.1\r\n");
    }
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let busy: Vec<_> = (0..4)
        .map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || while !stop.load(std::sync::atomic::Ordering::Relaxed) {})
        })
        .collect();
    drop(clients);
    let left = Instant::now();
    let heard = shut.open();
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    busy.into_iter().for_each(|b| b.join().expect("no panic"));
    let last = heard.iter().map(|(at, _)| at.saturating_duration_since(left)).max();
    println!("from the clients' end to the last attempt that was begun: {last:?}, {} in all", heard.len());
    assert!(last.is_none_or(|last| last <= Duration::from_millis(100)), "{last:?}");
}

#[test]
fn a_disconnect_propagates_to_a_second_tier() {
    for leaves in [Leaves::Closes, Leaves::ClosesBehindBytes] {
        let backend = MockEndpoint::new([Behavior::Hang]);
        let second = Setup::with_endpoints(&[&backend]).start();
        let first = setup(second.address).start();
        let mut number = 0;
        let (left, _) = ask_and_leave(&first, leaves, || number = backend.request().0);
        assert_eq!(backend.wait_for_close(), number);
        println!(
            "{leaves:?}: the second tier's attempt was closed {:?} after its client had left",
            left.elapsed()
        );
        assert!(left.elapsed() < Duration::from_secs(2), "{leaves:?}: {:?}", left.elapsed());
    }
}
