//! The one normal form of hosts and paths. Requests are routed by it, and endpoints are sent it.
//!
//! Paths (RFC 3986, sections 5.2.4 and 6.2.2): percent-encoded unreserved characters are decoded, other codes are in
//! capitals, characters that need encoding are encoded, `.` and `..` segments are resolved, and repeated slashes are one.
//! Rejected are a path that climbs above the root, an encoded NUL or other control character, a broken code, and a segment
//! that would hold a dot segment once a reader decoded `%2F` or `%5C`.
//!
//! Hosts: lower case, no trailing dot, no port; an IPv6 address in its shortest form.

mod host;
mod path;

pub use self::host::{host, Host, MAX_HOST_BYTES};
pub use self::path::{path, MAX_SEGMENTS};

/// Why a path or host has no normal form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NormalizeError {
    /// The path does not begin with a slash.
    NotAbsolute,
    /// `..` above the root.
    AboveRoot,
    /// A percent sign that is not followed by two hex digits.
    BrokenEncoding,
    /// A control character, encoded or not.
    ControlCharacter,
    /// A dot segment hidden behind an encoded slash or backslash.
    HiddenDotSegment,
    /// More segments than [`MAX_SEGMENTS`].
    TooManySegments,
    /// Not a host name or address.
    InvalidHost,
    /// Not a port.
    InvalidPort,
}

impl std::fmt::Display for NormalizeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            NormalizeError::NotAbsolute => "a path begins with a slash",
            NormalizeError::AboveRoot => "the path climbs above the root",
            NormalizeError::BrokenEncoding => "a percent sign without two hex digits behind it",
            NormalizeError::ControlCharacter => "a control character in the path",
            NormalizeError::HiddenDotSegment => "a dot segment behind an encoded slash",
            NormalizeError::TooManySegments => return write!(f, "more than {MAX_SEGMENTS} segments"),
            NormalizeError::InvalidHost => "not a host name or address",
            NormalizeError::InvalidPort => "not a port",
        })
    }
}

impl std::error::Error for NormalizeError {}
