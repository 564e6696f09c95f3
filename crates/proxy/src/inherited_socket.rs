//! Listening sockets inherited from the process that started this one, so that a successor accepts on the
//! same sockets.
//!
//! There are two conventions: the platform passes one descriptor and names it in `LB_PASSED_SOCKET`;
//! systemd's socket activation (`LISTEN_FDS`, `LISTEN_PID`) passes one socket per configured listener, in the
//! order of the listeners.

use std::fmt;
use std::net::{SocketAddr, TcpListener};

use listenfd::ListenFd;

/// The environment variable with the number of the platform's descriptor.
const DESCRIPTOR_VARIABLE: &str = "LB_PASSED_SOCKET";
/// The first descriptor of systemd's socket activation (`SD_LISTEN_FDS_START`).
const FIRST_DESCRIPTOR: usize = 3;
/// The maximum number of inherited descriptors.
const MAX_DESCRIPTORS: usize = 64;

/// The reason that inherited sockets cannot be used.
#[derive(Debug)]
pub enum InheritedSocketError {
    /// The descriptor named in `LB_PASSED_SOCKET` cannot be used.
    Descriptor { value: String, reason: SocketFault },
    /// The number of inherited sockets differs from the number of configured listeners.
    Count { passed: usize, configured: usize },
    /// The socket of one listener cannot be used.
    Socket { index: usize, reason: SocketFault },
}

/// The reason that one inherited socket cannot be used.
#[derive(Debug)]
pub enum SocketFault {
    /// The value is not a number in the range of descriptors that can be inherited.
    BadDescriptor,
    /// There is no socket at the descriptor.
    Missing,
    /// The socket has already been taken.
    AlreadyTaken,
    /// The socket does not listen on the configured address.
    Address {
        bound: SocketAddr,
        configured: SocketAddr,
    },
    Io(std::io::Error),
}

impl fmt::Display for SocketFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SocketFault::BadDescriptor => {
                let last = FIRST_DESCRIPTOR + MAX_DESCRIPTORS - 1;
                write!(f, "not a descriptor number from {FIRST_DESCRIPTOR} to {last}")
            }
            SocketFault::Missing => f.write_str("no socket was inherited at this descriptor"),
            SocketFault::AlreadyTaken => f.write_str("the inherited socket was already taken"),
            SocketFault::Address { bound, configured } => {
                write!(f, "the inherited socket listens on {bound}, but `listen` is {configured}")
            }
            SocketFault::Io(source) => source.fmt(f),
        }
    }
}

impl fmt::Display for InheritedSocketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InheritedSocketError::Descriptor { value, reason } => {
                write!(f, "{DESCRIPTOR_VARIABLE}={value:?}: {reason}")
            }
            InheritedSocketError::Count { passed, configured } => {
                write!(
                    f,
                    "LISTEN_FDS: {passed} sockets were inherited, but `listen` has {configured} addresses"
                )
            }
            InheritedSocketError::Socket { index, reason } => {
                write!(f, "LISTEN_FDS: socket {}: {reason}", index + 1)
            }
        }
    }
}

impl std::error::Error for InheritedSocketError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            InheritedSocketError::Descriptor { reason: SocketFault::Io(source), .. }
            | InheritedSocketError::Socket { reason: SocketFault::Io(source), .. } => Some(source),
            _ => None,
        }
    }
}

/// Takes the platform's inherited socket; `None` if `LB_PASSED_SOCKET` is not set. Call this once, before any
/// other thread is started, because it sets environment variables.
///
/// # Errors
/// Returns an error if the value is not the number of an inheritable descriptor, or the descriptor is not a
/// listening socket.
pub fn platform_listener() -> Result<Option<TcpListener>, InheritedSocketError> {
    let Some(value) = std::env::var_os(DESCRIPTOR_VARIABLE) else { return Ok(None) };
    let value = value.to_string_lossy().into_owned();
    match take_descriptor(&value) {
        Ok(listener) => Ok(Some(listener)),
        Err(reason) => Err(InheritedSocketError::Descriptor { value, reason }),
    }
}

fn take_descriptor(value: &str) -> Result<TcpListener, SocketFault> {
    let range = FIRST_DESCRIPTOR..FIRST_DESCRIPTOR + MAX_DESCRIPTORS;
    let descriptor = value.trim().parse().ok().filter(|number| range.contains(number));
    let index = descriptor.ok_or(SocketFault::BadDescriptor)? - FIRST_DESCRIPTOR;
    // `listenfd` only reads systemd's variables, so the descriptor is passed to it in them.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", (index + 1).to_string());
    let listener = ListenFd::from_env().take_tcp_listener(index).map_err(SocketFault::Io)?;
    let listener = listener.ok_or(SocketFault::Missing)?;
    listener.set_nonblocking(true).map_err(SocketFault::Io)?;
    Ok(listener)
}

/// Takes the sockets inherited by systemd's socket activation for listeners at these addresses, in the same
/// order; `None` if no socket was inherited.
///
/// # Errors
/// Returns an error if the number of sockets or an address differs from the configuration, or if one is not a
/// listening socket.
pub fn systemd_listeners(
    configured: &[SocketAddr],
) -> Result<Option<Vec<TcpListener>>, InheritedSocketError> {
    let mut passed = ListenFd::from_env();
    if passed.len() == 0 {
        return Ok(None);
    }
    if passed.len() != configured.len() {
        return Err(InheritedSocketError::Count { passed: passed.len(), configured: configured.len() });
    }
    let mut listeners = Vec::with_capacity(configured.len());
    for (index, address) in configured.iter().enumerate() {
        let listener = take_listener(&mut passed, index, *address)
            .map_err(|reason| InheritedSocketError::Socket { index, reason })?;
        listeners.push(listener);
    }
    Ok(Some(listeners))
}

fn take_listener(
    passed: &mut ListenFd,
    index: usize,
    configured: SocketAddr,
) -> Result<TcpListener, SocketFault> {
    let listener = passed.take_tcp_listener(index).map_err(SocketFault::Io)?;
    let listener = listener.ok_or(SocketFault::AlreadyTaken)?;
    let bound = listener.local_addr().map_err(SocketFault::Io)?;
    if bound != configured && configured.port() != 0 {
        return Err(SocketFault::Address { bound, configured });
    }
    listener.set_nonblocking(true).map_err(SocketFault::Io)?;
    Ok(listener)
}
