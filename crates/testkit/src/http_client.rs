//! HTTP/1.1 clients that send any text, well-formed or not.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

use crate::http_message::{read_message, HttpMessage};
use crate::TEST_TIMEOUT;

/// A connection to the proxy.
pub struct HttpClient(BufReader<TcpStream>);

impl HttpClient {
    /// Creates a client on a connection.
    pub fn of(stream: TcpStream) -> HttpClient {
        HttpClient(BufReader::new(stream))
    }

    /// Sends text unchanged.
    pub fn send(&mut self, text: &str) {
        assert!(self.try_send(text), "written");
    }

    /// Sends text unchanged. Returns false if the proxy has closed the connection.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Returns the next response, or `None` if the proxy has closed the connection.
    pub fn try_receive(&mut self) -> Option<HttpMessage> {
        self.0.get_ref().set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        read_message(&mut self.0)
    }

    /// Returns the next response.
    #[track_caller]
    pub fn receive(&mut self) -> HttpMessage {
        self.try_receive().expect("a complete response")
    }

    /// Sends a request and returns its response.
    #[track_caller]
    pub fn ask(&mut self, request: &str) -> HttpMessage {
        self.send(request);
        self.receive()
    }

    /// Waits until the proxy closes the connection or sends data. Returns false if it sends data, and true if
    /// the connection is closed or [`TEST_TIMEOUT`] has passed.
    pub fn is_closed(&mut self) -> bool {
        self.0.get_ref().set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        !matches!(self.0.fill_buf(), Ok(data) if !data.is_empty())
    }
}

/// Returns a request of an idempotent class.
pub fn read(id: &str, timeout_ms: u32) -> String {
    format!(
        "GET /read/7f3a?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
X-Priority-Class: read\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n"
    )
}

/// Returns a request of a class that must run at most once.
pub fn write(id: &str, timeout_ms: u32, body: &str) -> String {
    format!(
        "POST /write/7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
X-Priority-Class: write\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a request with an idempotency key.
pub fn put(id: &str, key: &str, timeout_ms: u32, body: &str) -> String {
    format!(
        "POST /put/7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nIdempotency-Key: {key}\r\n\
X-Priority-Class: put\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
