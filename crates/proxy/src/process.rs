//! What a process of an own installation does whatever it serves: signals, listeners, one front for each, an end that
//! answers all that was taken.

use std::net::SocketAddr;
use std::rc::Rc;

use config::Listener;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};

use crate::downstream::{self, Frontend};
use crate::inherited_socket;
use crate::log::say;
use crate::request_ids::OpenRequestIds;
use crate::router::Router;

/// Runs something on one thread to its end.
///
/// # Errors
/// There is no runtime to be had, or what it says, in a line.
pub fn block_on(work: impl std::future::Future<Output = Result<(), String>>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, work)
}

/// The signals that a process obeys.
pub struct Signals {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    /// From here on these, and the one that asks for a reload, no longer end the process by themselves.
    pub fn new() -> Result<(Signals, Signal), String> {
        let signal = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
        let signals =
            Signals { term: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? };
        Ok((signals, signal(SignalKind::hangup())?))
    }

    /// Waits for the one to end.
    pub async fn end(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Listeners that are bound, in their order.
pub struct BoundListeners {
    bound: Vec<(Listener, TcpListener, SocketAddr)>,
    /// Somebody else holds them as well, and the next process has them.
    shared: bool,
}

impl BoundListeners {
    pub async fn bind(listeners: &[Listener]) -> Result<BoundListeners, String> {
        let mut bound = Vec::new();
        let addresses: Vec<SocketAddr> = listeners.iter().map(|l| l.address).collect();
        let passed = inherited_socket::listeners(&addresses)?;
        let shared = passed.is_some();
        let mut passed = passed.into_iter().flatten();
        for listener in listeners {
            let fault = |e| format!("cannot listen on {}: {e}", listener.address);
            let socket = match passed.next() {
                Some(socket) => TcpListener::from_std(socket).map_err(fault)?,
                None => TcpListener::bind(listener.address).await.map_err(fault)?,
            };
            let address = socket.local_addr().map_err(fault)?;
            bound.push((listener.clone(), socket, address));
        }
        Ok(BoundListeners { bound, shared })
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.bound.iter().map(|(_, _, address)| *address).collect()
    }

    /// Serves at each, with a router made for it, and an even part of the callers' sockets.
    pub fn open(self, callers: usize, router: impl Fn(Listener, usize) -> Rc<dyn Router>) -> OpenListeners {
        let callers = (callers / self.bound.len().max(1)).max(1);
        let (stop, stopped) = watch::channel(());
        let (ids, mut serving) = (OpenRequestIds::default(), JoinSet::new());
        for (place, (listener, socket, address)) in self.bound.into_iter().enumerate() {
            let protocol = listener.protocol;
            let router = router(listener, place);
            let gate = Frontend { router, ids: ids.clone(), protocol, is_socket_shared: self.shared };
            let mut stopped = stopped.clone();
            serving.spawn_local(downstream::run(gate, socket, callers, async move {
                let _ = stopped.changed().await;
            }));
            say(format_args!("listening on {address}"));
        }
        OpenListeners { stop, serving }
    }
}

/// Fronts that serve.
pub struct OpenListeners {
    stop: watch::Sender<()>,
    serving: JoinSet<()>,
}

impl OpenListeners {
    /// Takes nothing new, and waits until all that was taken has its answer.
    pub async fn close(mut self) {
        drop(self.stop);
        while self.serving.join_next().await.is_some() {}
    }
}
