//! Callers that write what they are told to, well-formed or not.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

use crate::message::{hear, Heard};
use crate::PATIENCE;

/// A connection to the proxy.
pub struct Caller(BufReader<TcpStream>);

impl Caller {
    pub fn of(stream: TcpStream) -> Caller {
        Caller(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        assert!(self.try_send(text), "written");
    }

    /// The same, where the other side may have gone.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// The next answer; None where the proxy has closed the connection.
    pub fn try_hear(&mut self) -> Option<Heard> {
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).expect("set");
        hear(&mut self.0)
    }

    /// The next answer.
    #[track_caller]
    pub fn hear(&mut self) -> Heard {
        self.try_hear().expect("a whole answer")
    }

    #[track_caller]
    pub fn ask(&mut self, request: &str) -> Heard {
        self.send(request);
        self.hear()
    }

    /// Has the proxy closed the connection? Waits until it does, or sends something.
    pub fn is_closed(&mut self) -> bool {
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).expect("set");
        !matches!(self.0.fill_buf(), Ok(data) if !data.is_empty())
    }
}

/// A request that may be repeated.
pub fn read(id: &str, timeout_ms: u32) -> String {
    format!(
        "GET /read/7f3a?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
X-Priority-Class: read\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n"
    )
}

/// One that must not run twice.
pub fn write(id: &str, timeout_ms: u32, body: &str) -> String {
    format!(
        "POST /write/7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
X-Priority-Class: write\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// One whose repeats are dropped.
pub fn put(id: &str, key: &str, timeout_ms: u32, body: &str) -> String {
    format!(
        "POST /put/7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nIdempotency-Key: {key}\r\n\
X-Priority-Class: put\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
