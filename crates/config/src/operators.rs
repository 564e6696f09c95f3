//! The section that tells where operators call.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::file::Word;

/// Descriptors that the operators' address takes at most: connections, and the listener, and one more that comes in
/// place of the oldest.
pub const OPERATORS_SOCKETS: usize = 18;

/// Where operators call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operators {
    /// On loopback: there are no tokens.
    pub listen: SocketAddr,
    /// Where nodes that are out by hand outlive the process, if they do. Two processes may share it.
    pub folder: Option<PathBuf>,
}

impl Operators {
    /// The most sockets that the address takes, if there is one.
    pub(crate) fn sockets(operators: Option<&Operators>) -> usize {
        operators.map_or(0, |_| OPERATORS_SOCKETS)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    pub listen: Word,
    pub folder: Option<Word>,
}
