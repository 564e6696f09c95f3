//! Endpoints whose connections a test controls.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use testkit::*;

/// The address of an endpoint that handles each connection with `serve`.
pub fn raw_endpoint(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
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

/// An endpoint that records when each request arrived.
pub fn recording_endpoint() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let seen = Arc::<Mutex<Vec<Instant>>>::default();
    let recorder = Arc::clone(&seen);
    let address = raw_endpoint(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while read_message(&mut reader).is_some() {
            recorder.lock().expect("unpoisoned").push(Instant::now());
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    });
    (address, seen)
}

/// An endpoint that can be stopped and restarted at the same address. It accepts connections and closes them.
pub struct RestartableEndpoint {
    pub address: SocketAddr,
    running: Option<AcceptThread>,
}

/// The thread that accepts connections, and the flag that stops it.
struct AcceptThread {
    is_stopping: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl RestartableEndpoint {
    /// Starts the endpoint on a free port.
    pub fn start() -> RestartableEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        RestartableEndpoint { address, running: Some(AcceptThread::spawn(listener)) }
    }

    /// Stops the endpoint, so that connections to it are refused. Returns the time at which it had stopped.
    pub fn stop(&mut self) -> Instant {
        if let Some(AcceptThread { is_stopping, thread }) = self.running.take() {
            is_stopping.store(true, Ordering::Relaxed);
            let _ = TcpStream::connect(self.address);
            thread.join().expect("no panic");
        }
        Instant::now()
    }

    /// Restarts the endpoint on the same port. Returns the time at which the restart began.
    pub fn restart(&mut self) -> Instant {
        let restarted_at = Instant::now();
        self.running = Some(AcceptThread::spawn(TcpListener::bind(self.address).expect("its port")));
        restarted_at
    }
}

impl AcceptThread {
    fn spawn(listener: TcpListener) -> AcceptThread {
        let is_stopping = Arc::<AtomicBool>::default();
        let stop_flag = Arc::clone(&is_stopping);
        let thread = thread::spawn(move || {
            for stream in listener.incoming() {
                drop(stream);
                if stop_flag.load(Ordering::Relaxed) {
                    return;
                }
            }
        });
        AcceptThread { is_stopping, thread }
    }
}
