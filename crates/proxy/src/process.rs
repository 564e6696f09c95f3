//! The parts that all modes share: the runtime, the signals, and the listeners with their graceful shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use config::Listener;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};

use crate::downstream::{self, CutOffLog, Frontend};
use crate::inherited_socket;
use crate::log::log_line;
use crate::memory::MemoryBudget;
use crate::metrics::CutOffCounters;
use crate::request_ids::OpenRequestIds;
use crate::router::Router;
use crate::start_error::StartError;

/// Runs a future on a single-threaded runtime until it completes.
///
/// # Errors
/// Returns an error if the runtime cannot be created, or the error of the future.
pub fn block_on(work: impl std::future::Future<Output = Result<(), StartError>>) -> Result<(), StartError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, work)
}

/// The signals that the process handles. Once the handlers are installed, none of the signals ends the
/// process directly.
pub struct Signals {
    pub shutdown: ShutdownSignal,
    /// SIGHUP, which requests a reload of the configuration.
    pub hangup: Signal,
}

/// SIGTERM and SIGINT, which request a graceful shutdown.
pub struct ShutdownSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Returns an error if a handler cannot be installed.
    pub fn install() -> Result<Signals, StartError> {
        let install = |kind| signal(kind).map_err(StartError::Signals);
        let shutdown = ShutdownSignal {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        };
        Ok(Signals { shutdown, hangup: install(SignalKind::hangup())? })
    }
}

impl ShutdownSignal {
    /// Completes when either signal arrives.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// A configured listener with its socket.
struct BoundListener {
    config: Listener,
    socket: TcpListener,
    address: SocketAddr,
}

/// The configured listeners in their order, bound but not served yet.
pub struct BoundListeners {
    listeners: Vec<BoundListener>,
    /// Whether the sockets were inherited, so that the next process accepts on them too.
    shared: bool,
}

impl BoundListeners {
    /// Takes the inherited sockets, or binds the configured addresses if no socket is inherited.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound or an inherited socket does not match.
    pub async fn bind(configured: &[Listener]) -> Result<BoundListeners, StartError> {
        let addresses: Vec<SocketAddr> = configured.iter().map(|listener| listener.address).collect();
        let inherited = inherited_socket::systemd_listeners(&addresses)?;
        let shared = inherited.is_some();
        let mut inherited = inherited.into_iter().flatten();
        let mut listeners = Vec::with_capacity(configured.len());
        for config in configured {
            let listen_error = |source| StartError::Listen { address: config.address, source };
            let socket = match inherited.next() {
                Some(socket) => TcpListener::from_std(socket).map_err(listen_error)?,
                None => TcpListener::bind(config.address).await.map_err(listen_error)?,
            };
            let address = socket.local_addr().map_err(listen_error)?;
            listeners.push(BoundListener { config: config.clone(), socket, address });
        }
        Ok(BoundListeners { listeners, shared })
    }

    /// The bound addresses, in the order of the listeners.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().map(|listener| listener.address).collect()
    }

    /// Serves each listener with the router that `router` creates for the listener and its index.
    /// `max_connections` is divided evenly between the listeners. What they end early is counted by `cut_offs`.
    pub fn serve(
        self,
        max_connections: usize,
        cut_offs: CutOffCounters,
        router: impl Fn(Listener, usize) -> Rc<dyn Router>,
    ) -> ServingListeners {
        let max_connections = (max_connections / self.listeners.len().max(1)).max(1);
        let (stop, stopped) = watch::channel(());
        let ids = OpenRequestIds::default();
        let memory = MemoryBudget::without_limit();
        let cut_offs = Rc::new(CutOffLog::new(cut_offs));
        let mut tasks = JoinSet::new();
        for (index, BoundListener { config, socket, address }) in self.listeners.into_iter().enumerate() {
            let protocol = config.protocol;
            let router = router(config, index);
            let frontend = Frontend {
                router,
                ids: ids.clone(),
                protocol,
                is_socket_shared: self.shared,
                memory: Arc::clone(&memory),
                cut_offs: Rc::clone(&cut_offs),
            };
            let mut stopped = stopped.clone();
            tasks.spawn_local(downstream::run(frontend, socket, max_connections, async move {
                let _ = stopped.changed().await;
            }));
            log_line(format_args!("listening on {address}"));
        }
        ServingListeners { stop, tasks }
    }
}

/// Listeners that are being served.
pub struct ServingListeners {
    stop: watch::Sender<()>,
    tasks: JoinSet<()>,
}

impl ServingListeners {
    /// Shuts down gracefully; completes once every accepted request has its response.
    pub async fn shut_down(mut self) {
        drop(self.stop);
        while self.tasks.join_next().await.is_some() {}
    }
}
