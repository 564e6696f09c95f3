//! Message headers and NOTIFICATIONs (RFC 4271 sections 4.1, 4.5 and 6).

use std::fmt;

/// The length of a header in octets.
pub const HEADER_LENGTH: usize = 19;
/// The maximum length of a message in octets. The extended messages of RFC 8654 are not negotiated.
pub const MAX_MESSAGE_LENGTH: usize = 4096;
/// The maximum length of a shutdown text in octets (RFC 9003); longer texts are truncated.
const MAX_SHUTDOWN_TEXT_LENGTH: usize = 255;

/// The type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum MessageType {
    Open,
    Update,
    Notification,
    Keepalive,
    RouteRefresh,
}

/// Parses a message header. Returns the length of the whole message in octets, and its type.
///
/// # Errors
/// Returns the NOTIFICATION to send before the connection is closed.
pub fn parse_header(header: &[u8; HEADER_LENGTH]) -> Result<(usize, MessageType), Notification> {
    if header[..16].iter().any(|octet| *octet != 0xff) {
        // Code 1 is a message header error; the subcodes are those of RFC 4271 section 6.1.
        return Err(Notification::new(1, 1, &[]));
    }
    let length = usize::from(u16::from_be_bytes([header[16], header[17]]));
    let (kind, min_length, max_length) = match header[18] {
        1 => (MessageType::Open, 29, MAX_MESSAGE_LENGTH),
        2 => (MessageType::Update, 23, MAX_MESSAGE_LENGTH),
        3 => (MessageType::Notification, 21, MAX_MESSAGE_LENGTH),
        4 => (MessageType::Keepalive, HEADER_LENGTH, HEADER_LENGTH),
        5 => (MessageType::RouteRefresh, 23, 23),
        other if (HEADER_LENGTH..=MAX_MESSAGE_LENGTH).contains(&length) => {
            return Err(Notification::new(1, 3, &[other]));
        }
        // An unknown type with an invalid length. The check below reports the length, and the type is unused.
        _ => (MessageType::Open, HEADER_LENGTH, MAX_MESSAGE_LENGTH),
    };
    if !(min_length..=max_length).contains(&length) {
        return Err(Notification::new(1, 2, &header[16..18]));
    }
    Ok((length, kind))
}

/// A NOTIFICATION: the error or request for which its sender ends the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The error code.
    pub code: u8,
    /// The error subcode.
    pub subcode: u8,
    /// The faulty field, or a shutdown text.
    pub data: Vec<u8>,
}

impl Notification {
    /// Creates a NOTIFICATION with these codes.
    #[must_use]
    pub fn new(code: u8, subcode: u8, data: &[u8]) -> Notification {
        Notification { code, subcode, data: data.to_vec() }
    }

    /// Creates a NOTIFICATION of an expired hold timer.
    #[must_use]
    pub fn hold_timer_expired() -> Notification {
        Notification::new(4, 0, &[])
    }

    /// Creates a Cease with this subcode (RFC 4486) and shutdown text (RFC 9003); an empty text is omitted.
    #[must_use]
    pub fn cease(subcode: u8, text: &str) -> Notification {
        let mut end = text.len().min(MAX_SHUTDOWN_TEXT_LENGTH);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let mut data = Vec::new();
        if end > 0 {
            data.push(end as u8);
            data.extend_from_slice(&text.as_bytes()[..end]);
        }
        Notification { code: 6, subcode, data }
    }

    /// Parses the body of a NOTIFICATION. [`parse_header`] ensures that it has at least two octets.
    #[must_use]
    pub fn read(body: &[u8]) -> Notification {
        let octet = |i: usize| body.get(i).copied().unwrap_or(0);
        Notification { code: octet(0), subcode: octet(1), data: body.get(2..).unwrap_or_default().to_vec() }
    }

    /// Returns whether the error is an unsupported version.
    #[must_use]
    pub fn is_version_error(&self) -> bool {
        (self.code, self.subcode) == (2, 1)
    }

    /// Returns the shutdown text, if there is one. Control characters, which a peer may send, are replaced by
    /// spaces because the text is shown on terminals.
    #[must_use]
    pub fn text(&self) -> Option<String> {
        if self.code != 6 || !matches!(self.subcode, 2 | 4) {
            return None;
        }
        let (&length, rest) = self.data.split_first()?;
        let text = rest.get(..usize::from(length))?;
        let text = String::from_utf8_lossy(text);
        Some(text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect())
    }
}

impl fmt::Display for Notification {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match (self.code, self.subcode) {
            (1, 1) => "connection not synchronized",
            (1, 2) => "bad message length",
            (1, 3) => "bad message type",
            (1, _) => "message header error",
            (2, 1) => "unsupported version",
            (2, 2) => "bad peer AS",
            (2, 3) => "bad BGP identifier",
            (2, 4) => "unsupported optional parameter",
            (2, 6) => "unacceptable hold time",
            (2, 7) => "unsupported capability",
            (2, _) => "OPEN message error",
            (3, 1) => "malformed attribute list",
            (3, 2) => "unrecognized well-known attribute",
            (3, 9) => "optional attribute error",
            (3, 10) => "invalid network field",
            (3, _) => "UPDATE message error",
            (4, _) => "hold timer expired",
            (5, _) => "finite state machine error",
            (6, 1) => "cease: maximum number of prefixes reached",
            (6, 2) => "cease: administrative shutdown",
            (6, 3) => "cease: peer de-configured",
            (6, 4) => "cease: administrative reset",
            (6, 5) => "cease: connection rejected",
            (6, 6) => "cease: other configuration change",
            (6, 7) => "cease: connection collision resolution",
            (6, 8) => "cease: out of resources",
            (6, _) => "cease",
            _ => "unknown error",
        };
        write!(f, "{name} ({}/{})", self.code, self.subcode)?;
        match self.text() {
            Some(text) => write!(f, ": {text}"),
            None => Ok(()),
        }
    }
}
