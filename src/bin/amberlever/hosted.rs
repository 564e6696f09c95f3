//! A hosted service: tenants behind an administration API, their versions on disk.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::sync::Arc;

use admin::{DataPlane, Service, TenantStatus};
use config::{Document, HostedSettings, Tenants};
use proxy::hosting::{self, Command};
use proxy::log::log_line;
use store::DiskStore;
use tokio::sync::{mpsc, oneshot};

use crate::{failed, read, BAD_CONFIGURATION};

/// What serves, as the API sees it.
struct Serving(mpsc::UnboundedSender<Command>);

impl DataPlane for Serving {
    fn apply(&self, number: u64, tenants: Arc<Tenants>) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let (done, applied) = oneshot::channel();
        let _ = self.0.send(Command::Apply { version: number, tenants, done });
        Box::pin(async move {
            let _ = applied.await;
        })
    }

    fn status(&self) -> Pin<Box<dyn Future<Output = BTreeMap<String, TenantStatus>> + Send>> {
        let (reply, received) = oneshot::channel();
        let _ = self.0.send(Command::Status { reply });
        Box::pin(async move {
            let all = received.await.unwrap_or_default();
            let status =
                |s: hosting::Status| TenantStatus { version: s.version, started: s.started, usage: s.usage };
            all.into_iter().map(|(name, s)| (name, status(s))).collect()
        })
    }
}

/// Serves the tenants of a setup. `first` are those that it starts with where there is no state yet; `started` is told
/// the addresses of callers and of administrators.
///
/// # Errors
/// Why it could not start, in a line.
pub fn run(
    setup: &HostedSettings,
    first: Document,
    started: impl FnOnce(&[SocketAddr], SocketAddr),
) -> Result<(), String> {
    let opened = DiskStore::open(&setup.state).map_err(|e| format!("the state cannot be used: {e}"))?;
    let (commands, obeyed) = mpsc::unbounded_channel();
    let (service, warnings) = Service::open(
        setup.shared.clone(),
        Box::new(Serving(commands)),
        setup.tokens.clone(),
        setup.admin.ip().is_loopback(),
        Box::new(opened.disk),
        opened.newest,
        first,
    )?;
    opened.warnings.iter().chain(&warnings).for_each(|w| log_line(format_args!("state: {w}")));
    let service = Arc::new(service);
    let listener = admin::serve::bind(setup.admin)?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let first = futures_block(service.current());
    let (version, tenants) = first;
    let options = hosting::Options { setup, version, tenants, seed: crate::seed(), commands: obeyed };
    hosting::run(options, |callers| {
        // Administrators are let in once what they change is served.
        match admin::serve::start(listener, service) {
            Ok(()) => log_line(format_args!("administration on {address}")),
            Err(fault) => log_line(format_args!("no administration: {fault}")),
        }
        started(callers, address);
    })
    .map_err(|error| error.to_string())
}

/// Waits for something that nothing holds up.
fn futures_block<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime without I/O");
    runtime.block_on(future)
}

/// Serves a file if it is that of a hosted service. None where it is that of a single one.
pub fn serve(path: &Path) -> Option<std::process::ExitCode> {
    let (setup, first) = match HostedSettings::load(path, &read) {
        Ok(loaded) => loaded?,
        // What is wrong with it is said by whoever reads it for a single one.
        Err(faults) => return Some(failed(&faults.to_string(), BAD_CONFIGURATION)),
    };
    Some(match run(&setup, first, |_, _| {}) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(fault) => failed(&fault, BAD_CONFIGURATION),
    })
}
