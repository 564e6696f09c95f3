//! Section `[operators]`: the address that operators connect to.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::checker::{Checker, SpannedString};

/// The maximum number of sockets of the operators' address: 16 for connections, one for the listener, and one
/// for a connection that replaces the oldest.
pub const OPERATORS_SOCKETS: usize = 18;

/// Settings of the address that operators connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operators {
    /// The address. It must be on loopback, because requests are not authenticated.
    pub listen: SocketAddr,
    /// The folder that stores the changes that operators have made to the maintenance of endpoints, so that
    /// they survive a restart; `None` if they are not stored. Two processes may share the folder.
    pub folder: Option<PathBuf>,
}

impl Operators {
    /// The maximum number of sockets of the address; 0 without the section.
    pub(crate) fn sockets(operators: Option<&Operators>) -> usize {
        operators.map_or(0, |_| OPERATORS_SOCKETS)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
pub(crate) struct OperatorsFile {
    pub listen: SpannedString,
    pub folder: Option<SpannedString>,
}

impl Checker<'_> {
    /// Checks the section. `resolve_path` resolves paths relative to the configuration file.
    pub(crate) fn operators(
        &mut self,
        section: &OperatorsFile,
        resolve_path: &dyn Fn(&str) -> PathBuf,
    ) -> Operators {
        let listen = self.loopback_address("[operators] ", "listen", &section.listen);
        if let Some(word) = section.folder.as_ref().filter(|word| word.get_ref().is_empty()) {
            self.report(word.span(), "[operators] `folder`: must not be empty", None);
        }
        Operators { listen, folder: section.folder.as_ref().map(|word| resolve_path(word.get_ref())) }
    }
}
