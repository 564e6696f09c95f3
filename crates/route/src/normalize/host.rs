//! The normal form of hosts.

use std::borrow::Cow;
use std::net::Ipv6Addr;

use super::NormalizeError;

/// The maximum length of a host name, in bytes.
pub const MAX_HOST_BYTES: usize = 253;
/// The maximum length of a label of a host name, in bytes.
const MAX_LABEL_BYTES: usize = 63;

/// A host in its normal form, and its port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host<'a> {
    /// The name; empty if the request names no host.
    pub name: Cow<'a, str>,
    /// The port, if one was given.
    pub port: Option<u16>,
}

/// Normalizes the value of a `Host` field.
///
/// # Errors
/// If the value is no valid host, returns the reason.
pub fn host(raw: &str) -> Result<Host<'_>, NormalizeError> {
    if let Some(rest) = raw.strip_prefix('[') {
        return ipv6_host(rest);
    }
    let (name, port) = match raw.split_once(':') {
        Some((name, digits)) => (name, parse_port(digits)?),
        None => (raw, None),
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    if raw.is_empty() {
        return Ok(Host { name: Cow::Borrowed(""), port });
    }
    if name.len() > MAX_HOST_BYTES || !name.split('.').all(is_label) {
        return Err(NormalizeError::InvalidHost);
    }
    Ok(Host { name: lower_case(name), port })
}

/// Normalizes an IPv6 address in brackets and its port; `rest` begins after the opening bracket.
fn ipv6_host(rest: &str) -> Result<Host<'_>, NormalizeError> {
    let (address, after) = rest.split_once(']').ok_or(NormalizeError::InvalidHost)?;
    let address: Ipv6Addr = address.parse().map_err(|_| NormalizeError::InvalidHost)?;
    let port = match after.strip_prefix(':') {
        Some(digits) => parse_port(digits)?,
        None if after.is_empty() => None,
        None => return Err(NormalizeError::InvalidHost),
    };
    Ok(Host { name: Cow::Owned(format!("[{address}]")), port })
}

fn is_label(label: &str) -> bool {
    (1..=MAX_LABEL_BYTES).contains(&label.len())
        && label.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_'))
}

fn lower_case(name: &str) -> Cow<'_, str> {
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

/// Parses a port in decimal digits; `None` if there are no digits, which means the default port.
fn parse_port(digits: &str) -> Result<Option<u16>, NormalizeError> {
    if digits.is_empty() {
        return Ok(None);
    }
    let is_plain = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| is_plain).map(Some).ok_or(NormalizeError::InvalidPort)
}
