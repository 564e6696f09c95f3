//! Listening sockets that whoever started the process holds, and passes on to the next one: one that the platform names,
//! or as many as there are listeners, in their order, as systemd passes them.

use std::net::{SocketAddr, TcpListener};

use listenfd::ListenFd;

/// Names the descriptor.
const PASSED: &str = "LB_PASSED_SOCKET";
/// The first descriptor that can be passed on, as systemd counts them.
const FIRST: usize = 3;
/// Far more than anybody passes on.
const MOST: usize = 64;

/// The socket that was passed on, if one was. To be asked for once, before there is another thread.
///
/// # Errors
/// What was named is no listening socket, in a line.
pub fn listener() -> Result<Option<TcpListener>, String> {
    let Some(named) = std::env::var_os(PASSED) else { return Ok(None) };
    let named = named.to_string_lossy().into_owned();
    let fault = |e: String| format!("{PASSED}={named:?}: {e}");
    let number = named.trim().parse().ok().filter(|n| (FIRST..FIRST + MOST).contains(n));
    let number = number.ok_or_else(|| fault("not a descriptor that can be passed on".to_owned()))?;
    // As systemd would have said it; the library takes no other word.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", (number - FIRST + 1).to_string());
    let listener =
        ListenFd::from_env().take_tcp_listener(number - FIRST).map_err(|e| fault(e.to_string()))?;
    let listener = listener.ok_or_else(|| fault("nothing was passed on".to_owned()))?;
    listener.set_nonblocking(true).map_err(|e| fault(e.to_string()))?;
    Ok(Some(listener))
}

/// The sockets that were passed on as systemd does it (`LISTEN_FDS`, `LISTEN_PID`), for listeners at these addresses in
/// their order; none were if there is nothing of the kind.
///
/// # Errors
/// They are others, or no listening sockets, in a line.
pub fn listeners(wanted: &[SocketAddr]) -> Result<Option<Vec<TcpListener>>, String> {
    let mut passed = ListenFd::from_env();
    if passed.len() == 0 {
        return Ok(None);
    }
    if passed.len() != wanted.len() {
        return Err(format!(
            "LISTEN_FDS: {} sockets were passed on, and `listen` has {}",
            passed.len(),
            wanted.len()
        ));
    }
    let take = |(place, wanted): (usize, &SocketAddr)| {
        let fault = |e: String| format!("LISTEN_FDS: socket {}: {e}", place + 1);
        let listener = passed.take_tcp_listener(place).map_err(|e| fault(e.to_string()))?;
        let listener = listener.ok_or_else(|| fault("taken before".to_owned()))?;
        let address = listener.local_addr().map_err(|e| fault(e.to_string()))?;
        if address != *wanted && wanted.port() != 0 {
            return Err(fault(format!("listens on {address}, and `listen` says {wanted}")));
        }
        listener.set_nonblocking(true).map_err(|e| fault(e.to_string()))?;
        Ok(listener)
    };
    wanted.iter().enumerate().map(take).collect::<Result<_, _>>().map(Some)
}
