//! The real proxy: one process on real sockets, around the decisions of the library.
//!
//! `main` reads the configuration and waits for the signal to end, [`server`] talks to callers, [`backend`]
//! to backends and [`discovery`] to the list of them. [`driver`] stands between these and the decisions.
#![forbid(unsafe_code)]

mod backend;
mod config;
mod discovery;
mod driver;
mod server;
mod socket;

use std::process::ExitCode;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

use crate::config::Config;
use crate::driver::Driver;

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
            eprintln!("amberlever: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Runs until SIGTERM or SIGINT, and then until all that was taken has its answer.
async fn serve(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("no signals: {e}"))?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| format!("cannot listen: {e}"))?;
    let callers = config.sockets / 2;
    let driver = Rc::new(Driver::new(config));
    driver.start();
    eprintln!("listening on {address}");
    server::run(driver, listener, callers, async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
    .await;
    Ok(())
}
