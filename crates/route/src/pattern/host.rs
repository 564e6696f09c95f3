//! Patterns of hosts.

use std::fmt;

use super::PatternError;
use crate::normalize;

/// A pattern of the hosts that a route matches.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HostPattern {
    /// Any host, and requests without one.
    #[default]
    Any,
    /// All subdomains of this name, at any depth, but not the name itself.
    Subdomains(String),
    /// This host only.
    Exact(String),
}

impl HostPattern {
    /// Parses `name`, `*.name` or `*`.
    ///
    /// # Errors
    /// If the text is no valid pattern, returns a message that states the fault and, if known, the correct
    /// form.
    pub fn parse(text: &str) -> Result<HostPattern, PatternError> {
        if text == "*" {
            return Ok(HostPattern::Any);
        }
        match text.strip_prefix("*.") {
            Some(name) => parse_name(name, text).map(HostPattern::Subdomains),
            None => parse_name(text, text).map(HostPattern::Exact),
        }
    }

    /// Whether a host in normal form matches.
    #[must_use]
    pub fn matches(&self, host: &str) -> bool {
        match self {
            HostPattern::Any => true,
            HostPattern::Exact(name) => host == name,
            HostPattern::Subdomains(name) => {
                host.strip_suffix(name.as_str()).is_some_and(|rest| rest.len() > 1 && rest.ends_with('.'))
            }
        }
    }
}

/// Parses the name in a pattern; `pattern` is the whole text, for the error.
fn parse_name(name: &str, pattern: &str) -> Result<String, PatternError> {
    let host = normalize::host(name).ok().filter(|host| !host.name.is_empty());
    let host =
        host.ok_or_else(|| PatternError(format!("{pattern:?} is no host; write `name`, `*.name` or `*`")))?;
    if host.port.is_some() {
        return Err(PatternError(format!("routes do not tell ports apart; write {:?}", host.name)));
    }
    Ok(host.name.into_owned())
}

impl fmt::Display for HostPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostPattern::Any => f.write_str("*"),
            HostPattern::Subdomains(name) => write!(f, "*.{name}"),
            HostPattern::Exact(name) => f.write_str(name),
        }
    }
}
