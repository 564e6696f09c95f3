//! Ambiguous and malformed requests by RFC 9112: each is rejected with a status or a close, and no byte of it
//! is forwarded to the endpoint.
mod stubs;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use stubs::*;

/// An endpoint that records every byte that it receives and responds to each read.
fn raw_byte_recorder() -> (SocketAddr, Arc<Mutex<Vec<u8>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let bytes = Arc::<Mutex<Vec<u8>>>::default();
    let recorded = Arc::clone(&bytes);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, recorded) = (stream.expect("accepts"), Arc::clone(&recorded));
            thread::spawn(move || {
                let mut buffer = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut buffer) {
                    recorded.lock().expect("unpoisoned").extend(&buffer[..n]);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    (address, bytes)
}

/// The status of the first response. `None` if the proxy closes the connection without one.
fn status(address: SocketAddr, raw: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).expect("connects");
    stream.write_all(raw).expect("written");
    HttpClient::of(stream).try_receive().map(|response| response.status())
}

const POST: &str = "POST /write/7f3a HTTP/1.1\r\nHost: a\r\nX-Request-ID: id-1\r\n";
const GET: &str = "GET /read/7f3a HTTP/1.1\r\nHost: a\r\nX-Request-ID: id-1\r\n\r\n";

#[test]
fn ambiguous_requests_are_rejected() {
    let (address, bytes) = raw_byte_recorder();
    let mut setup = Setup::with_endpoints(&[]);
    setup.endpoints = vec![host("s-0", address, "SERVING")];
    let proxy = setup.start();
    let chunks = "3\r\nabc\r\n0\r\n\r\n";
    let coded = |codings: &str| format!("{POST}Transfer-Encoding: {codings}\r\n\r\n{chunks}");
    let with = |field: &str| GET.replace("\r\n\r\n", &format!("\r\n{field}\r\n\r\n"));
    let length = |lengths: &str| format!("{POST}{lengths}\r\n\r\nabc");
    let bad: Vec<(&str, String, u16)> = vec![
        // Transfer codings.
        ("a coding before chunked", coded("gzip, chunked"), 501),
        ("identity before chunked", coded("identity, chunked"), 501),
        ("chunked not last", coded("chunked, gzip"), 400),
        ("chunked twice", coded("chunked, chunked"), 400),
        ("an empty coding", coded(", chunked"), 400),
        ("an open list", coded("chunked,"), 400),
        ("a quoted coding", coded("\"chunked\""), 400),
        ("a parameter", coded("chunked;a=b"), 400),
        ("an unknown coding", coded("xchunked"), 400),
        ("two fields", coded("chunked\r\nTransfer-Encoding: chunked"), 400),
        ("two fields, the codings split", coded("gzip\r\nTransfer-Encoding: chunked"), 400),
        ("a length and chunks", coded("chunked\r\nContent-Length: 3"), 400),
        ("chunks in HTTP/1.0", coded("chunked").replace("HTTP/1.1", "HTTP/1.0"), 400),
        // Lengths.
        ("two lengths", length("Content-Length: 3\r\nContent-Length: 4"), 400),
        ("the same length twice", length("Content-Length: 3\r\nContent-Length: 3"), 400),
        ("a list of lengths", length("Content-Length: 3, 3"), 400),
        ("a sign", length("Content-Length: +3"), 400),
        ("a hex length", length("Content-Length: 0x3"), 400),
        ("an empty length", length("Content-Length:"), 400),
        ("a length that overflows every integer", length("Content-Length: 99999999999999999999"), 400),
        // The same field twice.
        ("two hosts", with("Host: b"), 400),
        ("the same host twice", with("host: a"), 400),
        ("two ids", with("X-Request-ID: id-1"), 400),
        ("two of an unknown field", with("X-Any: 1\r\nx-any: 1"), 400),
        ("two types", with("Content-Type: a/b\r\nContent-Type: a/b"), 400),
        ("two credentials", with("Authorization: a\r\nAuthorization: b"), 400),
        ("two cookies", with("Cookie: a\r\nCookie: b"), 400),
        // Line endings.
        ("a bare LF after a field", with("X-Any: 1").replace("X-Any: 1\r\n", "X-Any: 1\n"), 400),
        ("a bare LF after the request line", GET.replacen("\r\n", "\n", 1), 400),
        ("a bare LF as the head's end", GET.replace("\r\n\r\n", "\r\n\n"), 400),
        ("only bare LFs", GET.replace("\r\n", "\n"), 400),
        ("a bare CR in a value", with("X-Any: a\rb"), 400),
        ("two CRs", with("X-Any: a\r"), 400),
        ("a field hidden behind a bare LF", with("X-Any: 1\nTransfer-Encoding: chunked"), 400),
        // Fields.
        ("white space before the colon", with("X-Any : 1"), 400),
        ("a folded line", with("X-Any: 1\r\n  2"), 400),
        ("a folded first line", GET.replacen("\r\nHost", "\r\n Host", 1), 400),
        ("no colon", with("X-Any"), 400),
        ("an empty name", with(": 1"), 400),
        ("a name that is no token", with("X(Any): 1"), 400),
        ("a NUL in a value", with("X-Any: a\0b"), 400),
        ("a control character in a value", with("X-Any: a\u{1}b"), 400),
        ("DEL in a value", with("X-Any: a\u{7f}b"), 400),
        ("no host", GET.replace("Host: a\r\n", ""), 400),
        // The request line.
        ("two spaces", GET.replacen("GET ", "GET  ", 1), 400),
        ("a tab", GET.replacen("GET ", "GET\t", 1), 400),
        ("a space at the end", GET.replacen("HTTP/1.1", "HTTP/1.1 ", 1), 400),
        ("a space in the target", GET.replacen("7f3a", "7f 3a", 1), 400),
        ("no version", GET.replacen(" HTTP/1.1", "", 1), 400),
        ("another version", GET.replacen("HTTP/1.1", "HTTP/1.2", 1), 400),
        ("two digits of version", GET.replacen("HTTP/1.1", "HTTP/1.10", 1), 400),
        ("a version in lower case", GET.replacen("HTTP/1.1", "http/1.1", 1), 400),
        ("an absolute URL", GET.replacen("/read", "http://b/read", 1), 400),
        ("an authority", GET.replacen("GET /read/7f3a", "CONNECT b:80", 1), 400),
        ("an asterisk", GET.replacen("GET /read/7f3a", "OPTIONS *", 1), 400),
        ("a fragment", GET.replacen("7f3a", "7f3a#x", 1), 400),
        ("a broken percent sign", GET.replacen("7f3a", "7f%3", 1), 400),
        ("a percent sign before no hex", GET.replacen("7f3a", "7f%zz", 1), 400),
        ("a backslash", GET.replacen("7f3a", "7f\\3a", 1), 400),
        // Bodies.
        ("a chunk with a sign", coded("chunked").replace("3\r\nabc", "+3\r\nabc"), 400),
        ("a chunk with a bare LF", coded("chunked").replace("3\r\nabc", "3\nabc"), 400),
        ("a chunk longer than it says", coded("chunked").replace("abc", "abcd"), 400),
        ("a request behind the body", length("Content-Length: 3") + GET, 400),
        ("a request behind a GET", GET.to_owned() + GET, 400),
    ];
    for (name, raw, expected) in &bad {
        let got = status(proxy.address, raw.as_bytes());
        // A close without a response is accepted too.
        assert!(got.is_none() || got == Some(*expected), "{name}: {got:?}, not {expected}");
        assert!(bytes.lock().expect("unpoisoned").is_empty(), "{name}: forwarded");
    }
    // Each of these is unambiguously one request, so the requests above are rejected for their faults alone.
    let good: Vec<(&str, String)> = vec![
        ("plain", GET.to_owned()),
        ("an empty line first", format!("\r\n{GET}")),
        ("a list in two fields", with("Accept: a/b\r\nAccept: c/d")),
        ("chunks", coded("chunked")),
        ("chunks in capitals", coded("CHUNKED")),
        ("a length", length("Content-Length: 3")),
        ("white space around a value", with("X-Any: \t 1 \t")),
        ("a byte outside ASCII in a value", with("X-Any: \u{e9}")),
    ];
    for (name, raw) in &good {
        bytes.lock().expect("unpoisoned").clear();
        assert_eq!(status(proxy.address, raw.as_bytes()), Some(200), "{name}");
        let seen = String::from_utf8_lossy(&bytes.lock().expect("unpoisoned")).into_owned();
        assert_eq!(seen.matches("HTTP/1.1\r\n").count(), 1, "{name}: {seen}");
        let abc = raw.contains("abc");
        assert_eq!(seen.ends_with("\r\n\r\nabc"), abc, "{name}: {seen}");
        assert!(!seen.to_ascii_lowercase().contains("transfer-encoding"), "{name}: {seen}");
    }
}
