//! The normal form of paths.

use std::borrow::Cow;
use std::fmt::Write;

use super::NormalizeError;

/// The maximum number of segments of a path.
pub const MAX_SEGMENTS: usize = 128;

/// Normalizes a path without its query.
///
/// # Errors
/// If the path is rejected, returns the reason.
pub fn path(raw: &str) -> Result<Cow<'_, str>, NormalizeError> {
    if !raw.starts_with('/') {
        return Err(NormalizeError::NotAbsolute);
    }
    if is_normal(raw) {
        let segments = raw.bytes().filter(|byte| *byte == b'/').count();
        return if segments > MAX_SEGMENTS { Err(NormalizeError::TooManySegments) } else { Ok(raw.into()) };
    }
    normalize_segments(&raw[1..]).map(Cow::Owned)
}

/// Whether a path is certainly in normal form. The check is cheap and allocates nothing. It returns false also
/// for some normal paths, such as those with a dot after a slash, which are then normalized in full.
fn is_normal(raw: &str) -> bool {
    let mut previous = 0;
    raw.bytes().all(|byte| {
        let is_plain = match byte {
            b'/' | b'.' => previous != b'/',
            _ => is_unencoded(byte),
        };
        previous = byte;
        is_plain
    })
}

/// Normalizes the segments of a path and resolves dot segments; `raw` begins after the first slash.
fn normalize_segments(raw: &str) -> Result<String, NormalizeError> {
    let mut segments: Vec<String> = Vec::new();
    let mut ends_with_slash = false;
    let mut raw_segments = raw.split('/').peekable();
    while let Some(raw_segment) = raw_segments.next() {
        let is_last = raw_segments.peek().is_none();
        let segment = normalize_segment(raw_segment)?;
        ends_with_slash = false;
        match segment.as_str() {
            "." => ends_with_slash = true,
            ".." => {
                segments.pop().ok_or(NormalizeError::AboveRoot)?;
                ends_with_slash = true;
            }
            "" => ends_with_slash = is_last,
            _ => segments.push(segment),
        }
    }
    if segments.len() + usize::from(ends_with_slash) > MAX_SEGMENTS {
        return Err(NormalizeError::TooManySegments);
    }
    if ends_with_slash || segments.is_empty() {
        segments.push(String::new());
    }
    Ok(format!("/{}", segments.join("/")))
}

/// A byte of a segment, and whether it was percent-encoded.
struct DecodedByte {
    byte: u8,
    was_encoded: bool,
}

fn normalize_segment(raw: &str) -> Result<String, NormalizeError> {
    let decoded = percent_decode(raw)?;
    if hides_dot_segment(&decoded) {
        return Err(NormalizeError::HiddenDotSegment);
    }
    let mut normal = String::with_capacity(raw.len());
    for DecodedByte { byte, was_encoded } in decoded {
        if is_unreserved(byte) || (is_unencoded(byte) && !was_encoded) {
            normal.push(byte as char);
        } else {
            // Writing to a `String` cannot fail.
            let _ = write!(normal, "%{byte:02X}");
        }
    }
    Ok(normal)
}

/// Decodes the percent-encodings of a segment. Fails at the first byte that is not allowed.
fn percent_decode(raw: &str) -> Result<Vec<DecodedByte>, NormalizeError> {
    let mut decoded = Vec::with_capacity(raw.len());
    let mut bytes = raw.bytes();
    while let Some(raw_byte) = bytes.next() {
        let was_encoded = raw_byte == b'%';
        let byte = if was_encoded {
            let digits = bytes.next().zip(bytes.next());
            let byte = digits.and_then(|(high, low)| decode_hex(high, low));
            byte.ok_or(NormalizeError::BrokenEncoding)?
        } else {
            raw_byte
        };
        if byte.is_ascii_control() {
            return Err(NormalizeError::ControlCharacter);
        }
        decoded.push(DecodedByte { byte, was_encoded });
    }
    Ok(decoded)
}

fn decode_hex(high: u8, low: u8) -> Option<u8> {
    let digit = |byte: u8| (byte as char).to_digit(16);
    Some((digit(high)? * 16 + digit(low)?) as u8)
}

/// Whether a segment contains a dot segment once its slashes and backslashes are decoded.
fn hides_dot_segment(decoded: &[DecodedByte]) -> bool {
    let bytes: Vec<u8> = decoded.iter().map(|decoded| decoded.byte).collect();
    let is_slash = |byte: &u8| matches!(byte, b'/' | b'\\');
    bytes.iter().any(is_slash) && bytes.split(is_slash).any(|part| part == b"." || part == b"..")
}

/// Whether a byte is an unreserved character of RFC 3986.
fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~".contains(&byte)
}

/// Whether a byte is valid in a segment without being encoded.
fn is_unencoded(byte: u8) -> bool {
    is_unreserved(byte) || b"!$&'()*+,;=:@".contains(&byte)
}
