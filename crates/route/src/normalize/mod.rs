//! The normal form of hosts and paths, which is used for routing and in the requests forwarded to endpoints.
//!
//! Paths (RFC 3986, sections 5.2.4 and 6.2.2): percent-encoded unreserved characters are decoded, the hex
//! digits of other encodings are in upper case, characters that need encoding are encoded, `.` and `..`
//! segments are resolved, and repeated slashes are merged. A path is rejected if it leads above the root, or
//! contains a control character (NUL included), a malformed percent-encoding, or a segment that contains a dot
//! segment once a recipient decodes `%2F` or `%5C`.
//!
//! Hosts: lower case, no trailing dot, no port; IPv6 addresses in their shortest form.

mod host;
mod path;

pub use self::host::{host, Host, MAX_HOST_BYTES};
pub use self::path::{path, MAX_SEGMENTS};

/// The reason why a path or host is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NormalizeError {
    /// The path does not begin with a slash.
    NotAbsolute,
    /// A `..` segment leads above the root.
    AboveRoot,
    /// A percent sign is not followed by two hex digits.
    BrokenEncoding,
    /// The path contains a control character, percent-encoded or not.
    ControlCharacter,
    /// A segment contains a dot segment once its encoded slashes or backslashes are decoded.
    HiddenDotSegment,
    /// The path has more than [`MAX_SEGMENTS`] segments.
    TooManySegments,
    /// The host is neither a valid name nor a valid address.
    InvalidHost,
    /// The port is not a number from 0 to 65535.
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
