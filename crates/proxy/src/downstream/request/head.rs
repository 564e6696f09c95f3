//! Validates the head of a request against RFC 9112, so that no recipient behind this proxy can read it as a
//! different request (request smuggling). hyper is lenient in places (a bare LF, transfer codings before
//! `chunked`); a proxy that forwards requests to other parsers must not be.

/// Fields whose repeats mean the same as one comma-separated list (RFC 9110, section 5.3). Any other field
/// that is repeated is ambiguous.
const LIST_FIELDS: [&str; 24] = [
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "baggage",
    "cache-control",
    "connection",
    "forwarded",
    "if-match",
    "if-none-match",
    "keep-alive",
    "link",
    "pragma",
    "prefer",
    "te",
    "trailer",
    "tracestate",
    "upgrade",
    "via",
    "warning",
    "x-forwarded-for",
    "x-forwarded-host",
    "x-forwarded-port",
    "x-forwarded-proto",
];
/// The maximum number of fields; equals hyper's limit.
const MAX_FIELDS: usize = 100;
/// The number of fields that memory is reserved for; most requests have at most as many.
const TYPICAL_FIELDS: usize = 16;
/// The maximum number of digits of a `Content-Length`.
const MAX_LENGTH_DIGITS: usize = 19;

/// The reason that a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head is malformed or ambiguous.
    Malformed,
    /// The transfer codings are valid, but are not `chunked` alone.
    UnsupportedTransferCoding,
}

use HeadError::Malformed;

/// Validates the head at the start of `raw` and returns its length in bytes.
///
/// # Errors
/// Returns an error if the head is malformed or ambiguous, or has a transfer coding other than `chunked`.
pub fn validate_head(raw: &[u8]) -> Result<usize, HeadError> {
    // A server should skip an empty line before the request line (RFC 9112, section 2.2).
    let mut position = if raw.starts_with(b"\r\n") { 2 } else { 0 };
    let version = parse_request_line(next_line(raw, &mut position)?)?;
    let mut fields = Fields::new();
    loop {
        let line = next_line(raw, &mut position)?;
        if line.is_empty() {
            break;
        }
        fields.add(line)?;
    }
    fields.validate(version)?;
    Ok(position)
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Version {
    Http10,
    Http11,
}

/// The names of the fields of a head, and what the validation of all fields together needs.
struct Fields<'a> {
    names: Vec<&'a [u8]>,
    has_host: bool,
    has_content_length: bool,
    transfer_encoding: Option<&'a [u8]>,
}

impl<'a> Fields<'a> {
    fn new() -> Fields<'a> {
        Fields {
            names: Vec::with_capacity(TYPICAL_FIELDS),
            has_host: false,
            has_content_length: false,
            transfer_encoding: None,
        }
    }

    /// Validates one field line. White space before the colon and folded lines are malformed, because the
    /// name before the colon must be a token.
    fn add(&mut self, line: &'a [u8]) -> Result<(), HeadError> {
        let colon = line.iter().position(|byte| *byte == b':').ok_or(Malformed)?;
        let name = &line[..colon];
        let value = line[colon + 1..].trim_ascii();
        if !is_token(name) || !is_field_value(value) || self.names.len() == MAX_FIELDS {
            return Err(Malformed);
        }
        let is_repeated = self.names.iter().any(|other| other.eq_ignore_ascii_case(name));
        if is_repeated && !is_list_field(name) {
            return Err(Malformed);
        }
        self.names.push(name);
        if name.eq_ignore_ascii_case(b"host") {
            self.has_host = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            if !is_content_length(value) {
                return Err(Malformed);
            }
            self.has_content_length = true;
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.transfer_encoding = Some(value);
        }
        Ok(())
    }

    /// Validates all fields together.
    fn validate(&self, version: Version) -> Result<(), HeadError> {
        if !self.has_host && version == Version::Http11 {
            return Err(Malformed);
        }
        let Some(codings) = self.transfer_encoding else { return Ok(()) };
        if self.has_content_length || version == Version::Http10 {
            return Err(Malformed);
        }
        validate_transfer_codings(codings)
    }
}

/// Returns the next line without its end, which must be CR LF.
fn next_line<'a>(raw: &'a [u8], position: &mut usize) -> Result<&'a [u8], HeadError> {
    let rest = raw.get(*position..).ok_or(Malformed)?;
    let end = rest.iter().position(|byte| *byte == b'\n').ok_or(Malformed)?;
    let line = rest[..end].strip_suffix(b"\r").ok_or(Malformed)?;
    if line.contains(&b'\r') {
        return Err(Malformed);
    }
    *position += end + 1;
    Ok(line)
}

/// Validates `method SP target SP version`.
fn parse_request_line(line: &[u8]) -> Result<Version, HeadError> {
    let mut parts = line.split(|byte| *byte == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Malformed);
    };
    if !is_token(method) || !is_origin_form(target) {
        return Err(Malformed);
    }
    match version {
        b"HTTP/1.1" => Ok(Version::Http11),
        b"HTTP/1.0" => Ok(Version::Http10),
        _ => Err(Malformed),
    }
}

/// Whether the target is in origin form, in the characters of RFC 3986 with two hex digits after each percent
/// sign.
fn is_origin_form(target: &[u8]) -> bool {
    let is_valid_at = |(position, byte): (usize, &u8)| match byte {
        b'%' => {
            let digits = target.get(position + 1..position + 3);
            digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
        }
        b'"' | b'#' | b'<' | b'>' | b'[' | b'\\' | b']' | b'^' | b'`' | b'{' | b'|' | b'}' => false,
        byte => byte.is_ascii_graphic(),
    };
    target.first() == Some(&b'/') && target.iter().enumerate().all(is_valid_at)
}

fn is_token(name: &[u8]) -> bool {
    let is_token_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !name.is_empty() && name.iter().all(is_token_byte)
}

fn is_field_value(value: &[u8]) -> bool {
    value.iter().all(|byte| *byte == b'\t' || (*byte >= b' ' && *byte != 0x7f))
}

fn is_content_length(value: &[u8]) -> bool {
    (1..=MAX_LENGTH_DIGITS).contains(&value.len()) && value.iter().all(u8::is_ascii_digit)
}

fn is_list_field(name: &[u8]) -> bool {
    LIST_FIELDS.iter().any(|field| field.as_bytes().eq_ignore_ascii_case(name))
}

/// Accepts `chunked` alone. If `chunked` follows other codings, the request's end is known but its content is
/// encoded, so the codings are unsupported; otherwise the end is unknown, and the head is malformed.
fn validate_transfer_codings(codings: &[u8]) -> Result<(), HeadError> {
    let is_chunked = |coding: &[u8]| coding.eq_ignore_ascii_case(b"chunked");
    if is_chunked(codings) {
        return Ok(());
    }
    let mut codings: Vec<&[u8]> = codings.split(|byte| *byte == b',').map(<[u8]>::trim_ascii).collect();
    let last = codings.pop().unwrap_or_default();
    if is_chunked(last) && codings.iter().all(|coding| is_token(coding) && !is_chunked(coding)) {
        Err(HeadError::UnsupportedTransferCoding)
    } else {
        Err(Malformed)
    }
}

#[cfg(test)]
mod tests;
