//! Serves a hosted service: tenants that are managed through an administration API, with their versions on
//! disk.

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

/// Sends the commands of the administration API to the data plane.
struct DataPlaneHandle(mpsc::UnboundedSender<Command>);

impl DataPlane for DataPlaneHandle {
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
            let statuses = received.await.unwrap_or_default();
            let status =
                |s: hosting::Status| TenantStatus { version: s.version, started: s.started, usage: s.usage };
            statuses.into_iter().map(|(name, s)| (name, status(s))).collect()
        })
    }
}

/// Serves the tenants of a hosted service. `initial` are the tenants to start with if there is no stored
/// state yet. When the service is up, `on_started` is called with the addresses of the listeners and of the
/// administration API.
///
/// # Errors
/// A one-line message if the service cannot start.
pub fn run(
    settings: &HostedSettings,
    initial: Document,
    on_started: impl FnOnce(&[SocketAddr], SocketAddr),
) -> Result<(), String> {
    let opened =
        DiskStore::open(&settings.state).map_err(|e| format!("cannot open the stored state: {e}"))?;
    let (sender, commands) = mpsc::unbounded_channel();
    let (service, warnings) = Service::open(
        settings.shared.clone(),
        Box::new(DataPlaneHandle(sender)),
        settings.tokens.clone(),
        settings.admin.ip().is_loopback(),
        Box::new(opened.disk),
        opened.newest,
        initial,
    )?;
    opened.warnings.iter().chain(&warnings).for_each(|w| log_line(format_args!("state: {w}")));
    let service = Arc::new(service);
    let listener = admin::serve::bind(settings.admin)?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (version, tenants) = block_on(service.current());
    let options = hosting::Options { setup: settings, version, tenants, seed: crate::seed(), commands };
    hosting::run(options, |listeners| {
        // The administration API opens only now, because its changes need a data plane that is serving.
        match admin::serve::start(listener, service) {
            Ok(()) => log_line(format_args!("administration API listening on {address}")),
            Err(error) => {
                log_line(format_args!(
                    "cannot serve the administration API: {error}; requests are served without it"
                ));
            }
        }
        on_started(listeners, address);
    })
    .map_err(|error| error.to_string())
}

/// Runs a future to completion. The future must need neither I/O nor timers.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime without I/O");
    runtime.block_on(future)
}

/// Serves the file of a hosted service until it ends. Returns `None` if it is the file of a standalone proxy.
pub fn serve(path: &Path) -> Option<std::process::ExitCode> {
    let (settings, initial) = match HostedSettings::load(path, &read) {
        Ok(loaded) => loaded?,
        // A file that cannot be read or parsed ends here, even if it was meant for a standalone proxy.
        Err(diagnostics) => return Some(failed(&diagnostics.to_string(), BAD_CONFIGURATION)),
    };
    Some(match run(&settings, initial, |_, _| {}) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => failed(&error, BAD_CONFIGURATION),
    })
}
