//! Announces addresses to routers by BGP, by what the data plane says and what nodes answer.
//!
//! All runs on a thread and a runtime of its own, so that a busy data plane costs no session its keepalives, and so that
//! one that does not move on is noticed. What is decided is decided in `bgp`; here are sockets and a clock. Nothing of
//! the data plane is known but [`bgp::Facts`].
#![warn(missing_docs)]

mod connection;
mod hub;
mod probe;
mod status;

use bgp::Facts;
use config::Bgp;
use ipnet::IpNet;
use tokio::sync::{mpsc, oneshot};

pub use status::{AddressStatus, PeerStatus, Status};

pub(crate) enum Command {
    Facts(Facts),
    Config(Box<Bgp>),
    Hold(IpNet, bool, oneshot::Sender<bool>),
    Status(oneshot::Sender<Status>),
    End(oneshot::Sender<()>),
    EndNow,
}

/// The speaker, from any thread.
#[derive(Clone)]
pub struct Speaker {
    commands: mpsc::UnboundedSender<Command>,
}

impl Speaker {
    /// Starts it. `say` is given lines for the log.
    ///
    /// # Errors
    /// It cannot listen, or there is no thread to be had, in a line.
    pub fn start(config: Bgp, seed: u64, say: fn(&str)) -> Result<Speaker, String> {
        let (commands, obeyed) = mpsc::unbounded_channel();
        let fault = |e: std::io::Error| format!("no thread for BGP: {e}");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(fault)?;
        let listener = match config.listen {
            None => None,
            Some(address) => {
                let fault = |e| format!("cannot listen on {address}: {e}");
                let listener = std::net::TcpListener::bind(address).map_err(fault)?;
                listener.set_nonblocking(true).map_err(fault)?;
                let bound = listener.local_addr().map_err(fault)?;
                say(&format!("bgp: listening on {bound}"));
                Some(listener)
            }
        };
        let work = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, hub::run(config, seed, listener, obeyed, say));
        };
        std::thread::Builder::new().name("bgp".to_owned()).spawn(work).map_err(fault)?;
        Ok(Speaker { commands })
    }

    /// What the data plane says.
    pub fn tell(&self, facts: Facts) {
        let _ = self.commands.send(Command::Facts(facts));
    }

    /// Another configuration: sessions and addresses that it does not change stay as they are.
    pub fn reload(&self, config: Bgp) {
        let _ = self.commands.send(Command::Config(Box::new(config)));
    }

    /// An operator holds an address down, or lets go of it. False where there is no such address.
    pub async fn hold(&self, prefix: IpNet, held: bool) -> bool {
        let (answer, told) = oneshot::channel();
        let _ = self.commands.send(Command::Hold(prefix, held, answer));
        told.await.unwrap_or(false)
    }

    /// What it does.
    pub async fn status(&self) -> Status {
        let (answer, told) = oneshot::channel();
        let _ = self.commands.send(Command::Status(answer));
        told.await.unwrap_or_default()
    }

    /// Announces that it leaves, waits, withdraws, ends its sessions; done when that is written.
    pub async fn end(&self) {
        let (done, ended) = oneshot::channel();
        let _ = self.commands.send(Command::End(done));
        let _ = ended.await;
    }

    /// The wait of an end that has begun is over.
    pub fn hurry(&self) {
        let _ = self.commands.send(Command::EndNow);
    }
}
