//! An HTTP endpoint that serves every request after a fixed time.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http_message::read_message;

/// An endpoint that serves until the process ends.
pub struct FixedLatencyEndpoint {
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    served: Arc<AtomicUsize>,
}

impl FixedLatencyEndpoint {
    /// Starts an endpoint whose responses contain its name.
    ///
    /// # Errors
    /// If no port is available.
    pub fn start(name: &str, latency: Duration) -> io::Result<FixedLatencyEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let served = Arc::<AtomicUsize>::default();
        let name: Arc<str> = name.into();
        let counter = Arc::clone(&served);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, counter) = (Arc::clone(&name), Arc::clone(&counter));
                thread::spawn(move || serve(stream, &name, latency, &counter));
            }
        });
        Ok(FixedLatencyEndpoint { address, served })
    }

    /// Returns the number of requests served so far.
    pub fn served(&self) -> usize {
        self.served.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream, name: &str, latency: Duration, served: &AtomicUsize) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(request) = read_message(&mut reader) {
        if !latency.is_zero() {
            thread::sleep(latency);
        }
        let mut parts = request.line.split(' ');
        let method = parts.next().unwrap_or_default();
        let path = parts.next().unwrap_or_default();
        let body = format!("{name}: {method} {path}\n");
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Served-By: {name}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        served.fetch_add(1, Ordering::Relaxed);
        stream.write_all((head + &body).as_bytes()).ok()?;
    }
    None
}
