//! Splits a stream of bytes into messages, and frames messages for sending.

use bytes::{Buf, Bytes, BytesMut};

use crate::Limits;

/// The way in which messages are delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// One message per line, which ends with LF or CR LF.
    Line,
    /// A header with `Content-Length`, as in the language server protocol.
    ContentLength,
}

/// An error after which a stream can no longer be split into messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// A message exceeds [`Limits::message_bytes`].
    TooLarge,
    /// A header is malformed.
    InvalidHeader,
    /// The stream ended inside a message.
    UnexpectedEnd,
}

impl std::fmt::Display for FramingError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            FramingError::TooLarge => "a message of more bytes than are taken",
            FramingError::InvalidHeader => "a head that is none",
            FramingError::UnexpectedEnd => "the bytes ended inside a message",
        })
    }
}

impl std::error::Error for FramingError {}

/// The maximum length of a header of [`Framing::ContentLength`], in bytes.
const MAX_HEADER_BYTES: usize = 512;
/// The delimiter at the end of a header.
const HEADER_END: &[u8] = b"\r\n\r\n";
/// The maximum number of digits of a `Content-Length`.
const MAX_LENGTH_DIGITS: usize = 18;

/// Splits a stream of bytes into messages. Buffers at most one message and the bytes that arrived with it.
#[derive(Debug)]
pub struct FrameDecoder {
    framing: Framing,
    limits: Limits,
    buffer: BytesMut,
    /// The number of bytes already searched for the end of a line or header, so that none is searched twice.
    searched_bytes: usize,
    /// The length of the current message, once its header has been read.
    content_length: Option<usize>,
    error: Option<FramingError>,
}

impl FrameDecoder {
    /// Creates a decoder for a new connection.
    #[must_use]
    pub fn new(framing: Framing, limits: Limits) -> FrameDecoder {
        FrameDecoder {
            framing,
            limits,
            buffer: BytesMut::new(),
            searched_bytes: 0,
            content_length: None,
            error: None,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next complete message, or `None` if it has not arrived yet. Skips empty lines with
    /// [`Framing::Line`].
    ///
    /// # Errors
    /// If the stream can no longer be split. Later calls return the same error.
    pub fn next_frame(&mut self) -> Result<Option<Bytes>, FramingError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let frame = match self.framing {
            Framing::Line => self.next_line(),
            Framing::ContentLength => self.next_with_length(),
        };
        if let Err(error) = frame {
            self.error = Some(error);
            self.buffer = BytesMut::new();
        }
        frame
    }

    /// Checks that the stream ended between two messages.
    ///
    /// # Errors
    /// If it ended inside a message, or could no longer be split before it ended.
    pub fn finish(&self) -> Result<(), FramingError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        if self.content_length.is_some() || !self.buffer.iter().all(u8::is_ascii_whitespace) {
            return Err(FramingError::UnexpectedEnd);
        }
        Ok(())
    }

    fn next_line(&mut self) -> Result<Option<Bytes>, FramingError> {
        loop {
            self.skip_empty_lines();
            let unsearched = &self.buffer[self.searched_bytes..];
            let Some(offset) = unsearched.iter().position(|byte| *byte == b'\n') else {
                self.searched_bytes = self.buffer.len();
                // One byte more than the limit, for the CR.
                let is_too_large = self.buffer.len() > self.limits.message_bytes + 1;
                return if is_too_large { Err(FramingError::TooLarge) } else { Ok(None) };
            };
            let end = self.searched_bytes + offset;
            self.searched_bytes = 0;
            let mut line = self.buffer.split_to(end + 1).freeze();
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.truncate(end - 1);
            }
            if line.len() > self.limits.message_bytes {
                return Err(FramingError::TooLarge);
            }
            if !line.iter().all(u8::is_ascii_whitespace) {
                return Ok(Some(line));
            }
        }
    }

    /// Skips the line ends at the beginning of the buffer at once, because taking each of them as a line costs many
    /// times as much as sending it.
    fn skip_empty_lines(&mut self) {
        if self.searched_bytes == 0 {
            let is_line_end = |byte: &&u8| matches!(byte, b'\n' | b'\r');
            let count = self.buffer.iter().take_while(is_line_end).count();
            // A single CR may belong to the next line.
            let line_ends = self.buffer[..count].iter().rposition(|byte| *byte == b'\n');
            self.buffer.advance(line_ends.map_or(0, |last| last + 1));
        }
    }

    fn next_with_length(&mut self) -> Result<Option<Bytes>, FramingError> {
        if self.content_length.is_none() {
            self.content_length = self.next_header()?;
        }
        let Some(length) = self.content_length.filter(|length| self.buffer.len() >= *length) else {
            return Ok(None);
        };
        self.content_length = None;
        Ok(Some(self.buffer.split_to(length).freeze()))
    }

    /// Consumes the next header and returns the length of its message, or `None` if the header is incomplete.
    fn next_header(&mut self) -> Result<Option<usize>, FramingError> {
        // The delimiter may start within the last bytes that were already searched.
        let from = self.searched_bytes.saturating_sub(HEADER_END.len() - 1);
        let mut windows = self.buffer[from..].windows(HEADER_END.len());
        let Some(offset) = windows.position(|window| window == HEADER_END) else {
            self.searched_bytes = self.buffer.len();
            let is_too_long = self.buffer.len() > MAX_HEADER_BYTES;
            return if is_too_long { Err(FramingError::InvalidHeader) } else { Ok(None) };
        };
        let end = from + offset;
        if end > MAX_HEADER_BYTES {
            return Err(FramingError::InvalidHeader);
        }
        let length = parse_content_length(&self.buffer[..end]).ok_or(FramingError::InvalidHeader)?;
        if length > self.limits.message_bytes {
            return Err(FramingError::TooLarge);
        }
        self.buffer.advance(end + HEADER_END.len());
        self.searched_bytes = 0;
        Ok(Some(length))
    }
}

/// Returns the `Content-Length` of a header, or `None` if the header is malformed, has no such field, or has
/// more than one. Other fields are ignored.
fn parse_content_length(header: &[u8]) -> Option<usize> {
    let header = std::str::from_utf8(header).ok()?;
    let mut length = None;
    for line in header.split("\r\n") {
        let (name, value) = line.split_once(':')?;
        let is_name = !name.is_empty() && name.chars().all(|character| character.is_ascii_graphic());
        if line.contains(['\r', '\n']) || !is_name {
            return None;
        }
        if !name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        if length.is_some() {
            return None;
        }
        length = Some(parse_digits(value.trim_matches([' ', '\t']))?);
    }
    length
}

fn parse_digits(digits: &str) -> Option<usize> {
    let is_plain =
        (1..=MAX_LENGTH_DIGITS).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_plain.then(|| digits.parse().ok())?
}

/// Frames a message for sending.
#[must_use]
pub fn encode_frame(framing: Framing, message: &[u8]) -> Vec<u8> {
    match framing {
        Framing::Line => {
            // JSON escapes line ends inside strings, so all others are whitespace between tokens.
            let as_space = |byte: &u8| if matches!(byte, b'\n' | b'\r') { b' ' } else { *byte };
            message.iter().map(as_space).chain([b'\n']).collect()
        }
        Framing::ContentLength => {
            let mut frame = format!("Content-Length: {}\r\n\r\n", message.len()).into_bytes();
            frame.extend_from_slice(message);
            frame
        }
    }
}
