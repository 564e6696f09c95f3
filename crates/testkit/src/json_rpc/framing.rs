//! The two framings of messages on a connection.

use std::io::BufRead;

/// The way in which messages are delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// One message per line.
    Lines,
    /// A `Content-Length` header before each message.
    ContentLength,
}

impl Framing {
    /// Returns the bytes of a message with its delimiter.
    pub fn encode(self, message: &str) -> Vec<u8> {
        match self {
            Framing::Lines => format!("{message}\n").into_bytes(),
            Framing::ContentLength => {
                format!("Content-Length: {}\r\n\r\n{message}", message.len()).into_bytes()
            }
        }
    }

    /// Reads the next message. Returns `None` if the connection ends before it is complete.
    pub fn read(self, from: &mut impl BufRead) -> Option<String> {
        match self {
            Framing::Lines => {
                let mut line = String::new();
                from.read_line(&mut line).ok()?;
                line.strip_suffix('\n').map(|line| line.trim_end_matches('\r').to_owned())
            }
            Framing::ContentLength => {
                let mut body = vec![0; read_content_length(from)?];
                from.read_exact(&mut body).ok()?;
                String::from_utf8(body).ok()
            }
        }
    }
}

/// Reads the header up to the empty line and returns its `Content-Length`.
fn read_content_length(from: &mut impl BufRead) -> Option<usize> {
    let mut length = None;
    let mut line = String::new();
    loop {
        line.clear();
        from.read_line(&mut line).ok()?;
        let field = line.strip_suffix("\r\n")?;
        if field.is_empty() {
            return length;
        }
        let (name, value) = field.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok();
        }
    }
}
