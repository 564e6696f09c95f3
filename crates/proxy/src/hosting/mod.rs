//! The hosted mode: many tenants in one process, isolated from each other by limits. A version contains the
//! configurations of all tenants and is replaced as a whole.
//!
//! A tenant's pools start with its first request and stop after `IDLE_TIMEOUT` without a request, so that
//! idle tenants use almost no resources. If any of a tenant's pools gets its endpoints from discovery, the
//! pools start immediately, because that pool needs a list before the first request.

mod limits;
mod router;
mod tenant;
mod tenants;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use config::{HostedSettings, Tenants};
use limit::Usage;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::log::log_line;
use crate::operators::{self, OperatorActions, OperatorEndpoint};
use crate::process::{self, BoundListeners, Signals};
use crate::request_ids::RequestIdGenerator;
use crate::start_error::StartError;

use router::TenantRouter;
use tenants::HostedTenants;

/// The pools of a tenant are stopped after this time without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// The interval at which the pools of idle tenants are stopped.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// A command of the administration API to the data plane.
pub enum Command {
    /// Serves this version of the tenants from now on. `done` is notified once the version is in use.
    Apply { version: u64, tenants: Arc<Tenants>, done: oneshot::Sender<()> },
    /// Reports the status of each tenant, by name.
    Status { reply: oneshot::Sender<BTreeMap<String, Status>> },
}

/// The status of a tenant.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The version with which the tenant's current configuration took effect.
    pub version: u64,
    /// Whether the tenant's pools are running.
    pub started: bool,
    /// The resources that the tenant's requests have used.
    pub usage: Usage,
}

/// The start parameters of a process in the hosted mode.
pub struct Options<'a> {
    /// The listeners and the settings that all tenants share.
    pub setup: &'a HostedSettings,
    /// The version of the tenants that are served first.
    pub version: u64,
    /// The tenants that are served first.
    pub tenants: Arc<Tenants>,
    /// The seed of request ids and of the random numbers of the balancers.
    pub seed: u64,
    /// Commands of the administration API.
    pub commands: mpsc::UnboundedReceiver<Command>,
}

/// Serves tenants until SIGTERM or SIGINT, then shuts down gracefully: every accepted request gets its
/// response. `on_started` is called with the listeners' addresses.
///
/// # Errors
/// Returns an error if the process cannot start.
pub fn run(options: Options<'_>, on_started: impl FnOnce(&[SocketAddr])) -> Result<(), StartError> {
    process::block_on(serve(options, on_started))
}

async fn serve(options: Options<'_>, on_started: impl FnOnce(&[SocketAddr])) -> Result<(), StartError> {
    let Options { setup, version, tenants, seed, commands } = options;
    let Signals { mut shutdown, hangup } = Signals::install()?;
    let listeners = BoundListeners::bind(&setup.listeners).await?;
    let addresses = listeners.addresses();
    let (max_downstream, _) = config::split_sockets(setup.shared.sockets).unwrap_or((1, 1));
    let operator_endpoint = OperatorEndpoint::open(setup.operators.as_ref()).await?;
    let (operator_listener, operators) = operator_endpoint.map(OperatorEndpoint::into_parts).unzip();
    let cut_offs = operators.as_ref().map(|context| context.metrics.cut_offs()).unwrap_or_default();
    let hosted = Rc::new(HostedTenants::new(setup.shared.clone(), seed, operators));
    hosted.apply(version, &tenants);
    if let Some(listener) = operator_listener {
        let actions = Rc::clone(&hosted) as Rc<dyn OperatorActions>;
        spawn_local(operators::server::serve(listener, actions));
    }
    let serving = listeners.serve(max_downstream, cut_offs, |listener, index| {
        let id_generator = RequestIdGenerator::new(seed, index);
        Rc::new(TenantRouter { hosted: Rc::clone(&hosted), listener, id_generator })
    });
    let stopping_idle = spawn_local(stop_idle_tenants(Rc::clone(&hosted)));
    let executing = spawn_local(execute_commands(Rc::clone(&hosted), commands, hangup));

    on_started(&addresses);
    shutdown.received().await;
    hosted.begin_shutdown();
    serving.shut_down().await;
    executing.abort();
    stopping_idle.abort();
    Ok(())
}

/// Stops the pools of idle tenants, for as long as it is polled.
async fn stop_idle_tenants(hosted: Rc<HostedTenants>) {
    loop {
        sleep(IDLE_CHECK_INTERVAL).await;
        hosted.stop_idle(IDLE_TIMEOUT);
    }
}

/// Executes the commands of the administration API, for as long as it is polled.
async fn execute_commands(
    hosted: Rc<HostedTenants>,
    mut commands: mpsc::UnboundedReceiver<Command>,
    mut hangup: Signal,
) {
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::Apply { version, tenants, done }) => {
                    hosted.apply(version, &tenants);
                    let _ = done.send(());
                }
                Some(Command::Status { reply }) => drop(reply.send(hosted.status())),
                None => return,
            },
            _ = hangup.recv() => log_line(format_args!(
                "SIGHUP ignored: the configuration of a hosted service changes through its administration API"
            )),
        }
    }
}
