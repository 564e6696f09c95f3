//! The errors that prevent a process from starting.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::inherited_socket::InheritedSocketError;
use crate::platform::ConfigError;

/// The reason that a process cannot start.
#[derive(Debug)]
pub enum StartError {
    /// The asynchronous runtime cannot be created.
    Runtime(io::Error),
    /// A signal handler cannot be installed.
    Signals(io::Error),
    /// The process cannot listen on an address.
    Listen { address: SocketAddr, source: io::Error },
    /// The address of a bound socket cannot be read.
    LocalAddress(io::Error),
    /// An inherited listening socket cannot be used.
    InheritedSocket(InheritedSocketError),
    /// The folder of the maintenance state cannot be created.
    OperatorsFolder { path: PathBuf, source: io::Error },
    /// The socket for gossip cannot be bound.
    Gossip(String),
    /// The platform's configuration cannot be used.
    Config(ConfigError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Runtime(source) => write!(f, "cannot create the asynchronous runtime: {source}"),
            StartError::Signals(source) => write!(f, "cannot install a signal handler: {source}"),
            StartError::Listen { address, source } => write!(f, "cannot listen on {address}: {source}"),
            StartError::LocalAddress(source) => {
                write!(f, "cannot read the address of a listening socket: {source}")
            }
            StartError::InheritedSocket(source) => source.fmt(f),
            StartError::OperatorsFolder { path, source } => {
                write!(f, "[operators] cannot create the folder {}: {source}", path.display())
            }
            StartError::Gossip(message) => f.write_str(message),
            StartError::Config(source) => source.fmt(f),
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::Runtime(source) | StartError::Signals(source) | StartError::LocalAddress(source) => {
                Some(source)
            }
            StartError::Listen { source, .. } | StartError::OperatorsFolder { source, .. } => Some(source),
            StartError::InheritedSocket(source) => Some(source),
            StartError::Gossip(_) => None,
            StartError::Config(source) => Some(source),
        }
    }
}

impl From<InheritedSocketError> for StartError {
    fn from(error: InheritedSocketError) -> Self {
        StartError::InheritedSocket(error)
    }
}

impl From<ConfigError> for StartError {
    fn from(error: ConfigError) -> Self {
        StartError::Config(error)
    }
}
