//! The hosted mode: many tenants in one process, isolated from each other by limits, changed all at once.
//!
//! A tenant's pools start with its first request and stop after `IDLE_TIMEOUT` without one, so that idle tenants cost
//! next to nothing. Pools that get their endpoints from discovery start at once, as they need a list before the first
//! request.

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
/// How often idle tenants are looked for.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// A command of the administration API to the data plane.
pub enum Command {
    /// Serve this version of the tenants from now on. `done` is notified once it is served.
    Apply { version: u64, tenants: Arc<Tenants>, done: oneshot::Sender<()> },
    /// Report the status of each tenant, by name.
    Status { reply: oneshot::Sender<BTreeMap<String, Status>> },
}

/// The status of a tenant.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The version under which its requests are routed.
    pub version: u64,
    /// Whether its pools are running.
    pub started: bool,
    /// What its requests have used.
    pub usage: Usage,
}

/// What a process in the hosted mode is started with.
pub struct Options<'a> {
    /// Listeners and what the tenants share.
    pub setup: &'a HostedSettings,
    /// The version of the tenants that are served first.
    pub version: u64,
    /// The tenants that are served first.
    pub tenants: Arc<Tenants>,
    /// Seeds request ids and the random numbers of the decisions.
    pub seed: u64,
    /// Commands of the administration API.
    pub commands: mpsc::UnboundedReceiver<Command>,
}

/// Serves tenants until SIGTERM or SIGINT, then shuts down gracefully: every accepted request gets its answer.
/// `on_started` gets the listeners' addresses.
///
/// # Errors
/// The process could not start.
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
    let hosted = Rc::new(HostedTenants::new(setup.shared.clone(), seed, operators));
    hosted.apply(version, &tenants);
    if let Some(listener) = operator_listener {
        let actions = Rc::clone(&hosted) as Rc<dyn OperatorActions>;
        spawn_local(operators::server::serve(listener, actions));
    }
    let serving = listeners.serve(max_downstream, |listener, index| {
        let new_ids = RequestIdGenerator::new(seed, index);
        Rc::new(TenantRouter { hosted: Rc::clone(&hosted), listener, new_ids })
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
            _ = hangup.recv() => log_line(format_args!("a hosted service is changed by its administration API")),
        }
    }
}
