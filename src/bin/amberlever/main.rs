//! The real proxy: one process on real sockets, around the decisions of the library.
//!
//! `main` reads the configuration and waits for the signal to end, [`server`] talks to callers, whose
//! requests [`request`] reads, [`backend`] to backends, [`discovery`] to the list of them and [`peers`] to the other proxies of the tier. [`driver`]
//! stands between these and the decisions.
#![forbid(unsafe_code)]

mod backend;
mod config;
mod discovery;
mod driver;
mod peers;
mod request;
mod server;
mod socket;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, LocalSet};

use crate::backend::Backends;
use crate::config::Config;
use crate::discovery::Discovery;
use crate::driver::{Clock, Driver};
use crate::peers::Peers;
use crate::request::Ids;
use crate::server::Gate;

fn main() -> ExitCode {
    let result = Config::from_env().and_then(|config| {
        // A proxy has one core: more threads would only pass work between caches.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| format!("no runtime: {e}"))?;
        LocalSet::new().block_on(&runtime, serve(config))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            say(format_args!("amberlever: {fault}"));
            ExitCode::FAILURE
        }
    }
}

/// A line for the operators. Unlike `eprintln!` it does not panic when nobody reads the log any more.
fn say(line: std::fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// On each SIGHUP reads the configuration again and tells of the address of discovery, all that a running
/// proxy takes from it: the rest stands with sockets and figures in use, and is for the next start.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match Config::from_env() {
            Ok(config) => {
                say(format_args!("configuration read again: discovery is at {}", config.discovery));
                discovery.send_if_modified(|address| {
                    let before = std::mem::replace(address, config.discovery);
                    before != config.discovery
                });
            }
            Err(fault) => say(format_args!("going on with the old configuration: {fault}")),
        }
    }
}

/// Runs until SIGTERM or SIGINT, and then until all that was taken has its answer.
async fn serve(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("no signals: {e}"))?;
    // From here on SIGHUP no longer ends the process, which is what it does by itself.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("no signals: {e}"))?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
    let site = config.site;
    let clock = Clock::new();
    let backends = Rc::new(Backends::new(site.transport, config.backends));
    let subscribe = Rc::new(Notify::new());
    let ready = Rc::new(Cell::new(false));
    let peers = match config.peers {
        Some((listen, addresses)) => Some(Rc::new(Peers::bind(listen, addresses).await?)),
        None => None,
    };
    let driver = Driver::new(
        site.settings.clone(),
        config.seed,
        clock,
        Rc::clone(&backends),
        peers.clone(),
        Rc::clone(&subscribe),
    );
    let handle = driver.handle();
    if let Some(peers) = peers {
        let handle = handle.clone();
        spawn_local(async move { peers.receive(handle).await });
    }
    let (moved, address_of_discovery) = watch::channel(config.discovery);
    let discovery = Discovery {
        address: address_of_discovery,
        clock,
        names: site.names.clone(),
        handle: handle.clone(),
        backends: Rc::clone(&backends),
        subscribe: site.settings.ask_discovery.then_some(subscribe),
        ready: Rc::clone(&ready),
        seq: None,
        ids: BTreeMap::new(),
        complained: false,
    };
    spawn_local(driver.run());
    spawn_local(discovery.run(config.known));
    spawn_local(async move { backends.sweep().await });
    spawn_local(reload(hangup, moved));
    say(format_args!("listening on {address}"));
    let gate = Gate { handle, names: site.names, settings: site.settings, ids: Ids::default(), ready };
    server::run(gate, listener, config.callers, async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
    .await;
    Ok(())
}
