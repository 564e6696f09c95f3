//! A BGP speaker that announces addresses according to the health of the data plane and of its endpoints.
//!
//! It runs on a thread and a runtime of its own, so that a busy data plane delays no KEEPALIVE, and so that a
//! data plane that has stalled is noticed. The decisions are those of the `bgp` crate; this crate adds
//! sockets and a clock. All it knows of the data plane is [`bgp::DataPlaneStatus`].
#![warn(missing_docs)]

mod clock;
mod connection;
mod data_plane;
mod event;
mod health_check;
mod manager;
mod sessions;
mod status;

use std::fmt;
use std::net::{SocketAddr, TcpListener};

use bgp::DataPlaneStatus;
use config::Bgp;
use ipnet::IpNet;
use tokio::sync::{mpsc, oneshot};

pub use status::{AddressStatus, PeerStatus, Status};

/// A request to the event loop.
pub(crate) enum Command {
    UpdateDataPlane(DataPlaneStatus),
    Reload(Box<Bgp>),
    Hold { prefix: IpNet, held: bool, found: oneshot::Sender<bool> },
    Status(oneshot::Sender<Status>),
    ShutDown(oneshot::Sender<()>),
    SkipShutdownDelay,
}

/// Why the speaker could not start.
#[derive(Debug)]
pub enum StartError {
    /// It cannot listen on the configured address.
    Listen(SocketAddr, std::io::Error),
    /// There is no thread or runtime for it.
    Thread(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            StartError::Thread(error) => write!(f, "no thread for BGP: {error}"),
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::Listen(_, error) | StartError::Thread(error) => Some(error),
        }
    }
}

/// A handle to the speaker, for any thread.
#[derive(Clone)]
pub struct Speaker {
    commands: mpsc::UnboundedSender<Command>,
}

impl Speaker {
    /// Starts the speaker. `log` receives lines for the log.
    ///
    /// # Errors
    /// It cannot listen, or cannot get a thread.
    pub fn start(config: Bgp, seed: u64, log: fn(&str)) -> Result<Speaker, StartError> {
        let (command_sender, commands) = mpsc::unbounded_channel();
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().map_err(StartError::Thread)?;
        let listener = config.listen.map(|address| bind(address, log)).transpose()?;
        let event_loop = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, manager::run(config, seed, listener, commands, log));
        };
        let thread = std::thread::Builder::new().name("bgp".to_owned());
        thread.spawn(event_loop).map_err(StartError::Thread)?;
        Ok(Speaker { commands: command_sender })
    }

    /// Updates the status of the data plane. It has to come more often than the configured `stuck` time.
    pub fn update_data_plane(&self, status: DataPlaneStatus) {
        self.send(Command::UpdateDataPlane(status));
    }

    /// Applies another configuration. Sessions and addresses that it does not change stay as they are.
    pub fn reload(&self, config: Bgp) {
        self.send(Command::Reload(Box::new(config)));
    }

    /// Withdraws an address until it is released, or releases it. False where there is no such address.
    pub async fn hold(&self, prefix: IpNet, held: bool) -> bool {
        let (found, reply) = oneshot::channel();
        self.send(Command::Hold { prefix, held, found });
        reply.await.unwrap_or(false)
    }

    /// The status of all sessions and addresses; an empty one if the speaker has ended.
    pub async fn status(&self) -> Status {
        let (status, reply) = oneshot::channel();
        self.send(Command::Status(status));
        reply.await.unwrap_or_default()
    }

    /// Shuts down gracefully: announces GRACEFUL_SHUTDOWN, waits, withdraws, and ends the sessions. Returns
    /// once that is written.
    pub async fn shut_down(&self) {
        let (finished, reply) = oneshot::channel();
        self.send(Command::ShutDown(finished));
        let _ = reply.await;
    }

    /// Ends the wait of a shutdown that has begun.
    pub fn skip_shutdown_delay(&self) {
        self.send(Command::SkipShutdownDelay);
    }

    /// A speaker that has ended takes no more commands; that is not an error of the caller.
    fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

fn bind(address: SocketAddr, log: fn(&str)) -> Result<TcpListener, StartError> {
    let listen_error = |error| StartError::Listen(address, error);
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    log(&format!("bgp: listening on {bound}"));
    Ok(listener)
}
