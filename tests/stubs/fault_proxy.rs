//! A proxy that forwards bytes unchanged and pauses at chosen places of a connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The field of a request that names the pauses of its response: `OFFSET MILLISECONDS`.
pub const RESPONSE_PAUSE_FIELD: &str = "x-response-pause";

/// A pause before the byte at an offset of one direction of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// The number of bytes that are forwarded before the pause.
    pub offset: usize,
    pub duration: Duration,
}

/// Starts a proxy that pauses in each connection's bytes to `target`, and returns its address.
pub fn request_fault_proxy(target: SocketAddr, pause: Pause) -> SocketAddr {
    start(target, move |client, server| {
        let copies = (client.try_clone().expect("a copy"), server.try_clone().expect("a copy"));
        thread::spawn(move || forward(copies.1, copies.0, None));
        forward(client, server, Some(pause));
    })
}

/// Starts a proxy that pauses in the response on each connection as its first request says, and returns its address.
pub fn response_fault_proxy(target: SocketAddr) -> SocketAddr {
    start(target, |mut client, mut server| {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(1) = client.read(&mut byte) else { return };
            head.extend_from_slice(&byte);
        }
        let pause = response_pause(&String::from_utf8_lossy(&head));
        if server.write_all(&head).is_err() {
            return;
        }
        let copies = (client.try_clone().expect("a copy"), server.try_clone().expect("a copy"));
        thread::spawn(move || forward(copies.0, copies.1, None));
        forward(server, client, pause);
    })
}

/// The pause that the head of a request asks for.
fn response_pause(head: &str) -> Option<Pause> {
    let field = format!("{RESPONSE_PAUSE_FIELD}: ");
    let value = head.lines().find_map(|line| line.strip_prefix(&field))?;
    let (offset, milliseconds) = value.split_once(' ')?;
    let duration = Duration::from_millis(milliseconds.parse().ok()?);
    Some(Pause { offset: offset.parse().ok()?, duration })
}

fn start(target: SocketAddr, serve: impl Fn(TcpStream, TcpStream) + Copy + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for client in listener.incoming() {
            let client = client.expect("accepts");
            let Ok(server) = TcpStream::connect(target) else { continue };
            for stream in [&client, &server] {
                stream.set_nodelay(true).expect("set");
            }
            thread::spawn(move || serve(client, server));
        }
    });
    address
}

/// Forwards until the end of input or an error, and passes the end on.
fn forward(mut from: TcpStream, mut to: TcpStream, mut pause: Option<Pause>) {
    let mut buffer = vec![0; 16 << 10];
    let mut forwarded = 0;
    loop {
        if let Some(due) = pause.take_if(|pause| pause.offset <= forwarded) {
            thread::sleep(due.duration);
        }
        let until_pause = pause.map_or(buffer.len(), |pause| pause.offset - forwarded);
        let piece = until_pause.min(buffer.len());
        let Ok(count @ 1..) = from.read(&mut buffer[..piece]) else { break };
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
        forwarded += count;
    }
    let _ = to.shutdown(Shutdown::Write);
}
