//! Section `[operators]`: the address where operators connect.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::checker::{Checker, Word};

/// The most descriptors that the operators' address takes: the connections, the listener, and one connection that
/// replaces the oldest.
pub const OPERATORS_SOCKETS: usize = 18;

/// The address where operators connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operators {
    /// A loopback address, as there are no tokens.
    pub listen: SocketAddr,
    /// Where maintenance overrides outlive the process, if they do. Two processes may share it.
    pub folder: Option<PathBuf>,
}

impl Operators {
    /// The most sockets that the address takes, if there is one.
    pub(crate) fn sockets(operators: Option<&Operators>) -> usize {
        operators.map_or(0, |_| OPERATORS_SOCKETS)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
pub(crate) struct OperatorsFile {
    pub listen: Word,
    pub folder: Option<Word>,
}

impl Checker<'_> {
    /// `resolve_path` makes paths relative to the configuration file.
    pub(crate) fn operators(
        &mut self,
        section: &OperatorsFile,
        resolve_path: &dyn Fn(&str) -> PathBuf,
    ) -> Operators {
        let listen = self.loopback_address("[operators] ", "listen", &section.listen);
        if let Some(word) = section.folder.as_ref().filter(|word| word.get_ref().is_empty()) {
            self.report(word.span(), "[operators] `folder`: names none", None);
        }
        Operators { listen, folder: section.folder.as_ref().map(|word| resolve_path(word.get_ref())) }
    }
}
