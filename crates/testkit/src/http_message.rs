//! HTTP/1.1 messages and a parser for them that shares no code with the proxy.

use std::io::BufRead;

/// A complete request or response.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    /// The request or status line.
    pub line: String,
    /// The names and values of the headers, in order.
    pub headers: Vec<(String, String)>,
    /// The body, of the length that `Content-Length` gives, or decoded if it is chunked.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the first value of a header. The name is not case-sensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status line")
    }
}

/// Reads one message. Returns `None` if the connection ends before it is complete, or a header has no colon.
pub fn read_message(from: &mut impl BufRead) -> Option<HttpMessage> {
    let line = read_line(from)?;
    let mut headers = Vec::new();
    loop {
        let field = read_line(from)?;
        if field.is_empty() {
            break;
        }
        let (name, value) = field.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = HttpMessage { line, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        message.body = read_chunks(from)?;
        return Some(message);
    }
    let length = message.header("content-length").map_or(0, |value| value.parse().expect("a length"));
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a chunked body and its trailers. Returns `None` if the connection ends before it is complete.
fn read_chunks(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(from)?;
        let digits = line.split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(digits.trim(), 16).ok()?;
        if size == 0 {
            break;
        }
        let start = body.len();
        body.resize(start + size, 0);
        from.read_exact(&mut body[start..]).ok()?;
        read_line(from).filter(String::is_empty)?;
    }
    while !read_line(from)?.is_empty() {}
    Some(body)
}

fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = from.read_line(&mut line).ok()?;
    (length > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}
