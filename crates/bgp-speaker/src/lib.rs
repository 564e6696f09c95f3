//! A BGP speaker that announces addresses according to the health of the data plane and of its endpoints.
//!
//! It runs on a thread and a runtime of its own, so that a busy data plane does not delay KEEPALIVEs and a
//! stalled data plane is detected. The `bgp` crate makes the decisions; this crate adds sockets and a clock.
//! Its only input from the data plane is [`bgp::DataPlaneStatus`].
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

/// A command to the event loop.
pub(crate) enum Command {
    UpdateDataPlane(DataPlaneStatus),
    Reload(Box<Bgp>),
    Hold { prefix: IpNet, held: bool, found: oneshot::Sender<bool> },
    Status(oneshot::Sender<Status>),
    ShutDown(oneshot::Sender<()>),
    SkipShutdownDelay,
}

/// An error when starting the speaker.
#[derive(Debug)]
pub enum StartError {
    /// The speaker cannot listen on the configured address.
    Listen(SocketAddr, std::io::Error),
    /// The thread or the runtime of the speaker cannot be created.
    Thread(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, error) => {
                write!(f, "BGP speaker cannot listen on {address}: {error}")
            }
            StartError::Thread(error) => write!(f, "cannot create the thread of the BGP speaker: {error}"),
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
    /// Starts the speaker. `seed` is the seed of the jitter of timers, and `log` receives the log lines.
    ///
    /// # Errors
    /// Returns an error if the speaker cannot listen, or if its thread or runtime cannot be created.
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

    /// Updates the status of the data plane, which counts as stalled if no update arrives for the configured
    /// `stuck` time.
    pub fn update_data_plane(&self, status: DataPlaneStatus) {
        self.send(Command::UpdateDataPlane(status));
    }

    /// Applies a new configuration. Sessions and addresses that it does not change keep their state.
    pub fn reload(&self, config: Bgp) {
        self.send(Command::Reload(Box::new(config)));
    }

    /// Withdraws an address until it is released, or releases it. Returns false if there is no such address.
    pub async fn hold(&self, prefix: IpNet, held: bool) -> bool {
        let (found, reply) = oneshot::channel();
        self.send(Command::Hold { prefix, held, found });
        reply.await.unwrap_or(false)
    }

    /// Returns the status of all sessions and addresses; an empty one if the speaker has ended.
    pub async fn status(&self) -> Status {
        let (status, reply) = oneshot::channel();
        self.send(Command::Status(status));
        reply.await.unwrap_or_default()
    }

    /// Shuts down gracefully: announces GRACEFUL_SHUTDOWN, waits, withdraws the addresses, and ends the
    /// sessions. Returns once the last messages are written or have timed out.
    pub async fn shut_down(&self) {
        let (finished, reply) = oneshot::channel();
        self.send(Command::ShutDown(finished));
        let _ = reply.await;
    }

    /// Ends the delay of a shutdown that has begun.
    pub fn skip_shutdown_delay(&self) {
        self.send(Command::SkipShutdownDelay);
    }

    /// Sends a command. It is discarded if the speaker has ended, which is not an error.
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
