//! The standalone mode: listeners, routes and pools of one configuration file, reloaded on SIGHUP without
//! losing requests.
//!
//! `serve` assembles the process from the parts in the submodules.

mod announcer;
mod operations;
mod reload;
mod router;
mod state_saver;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use config::Config;
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::idempotency_keys::KeyTable;
use crate::operators::{self, OperatorEndpoint};
use crate::pool::PoolContext;
use crate::process::{self, BoundListeners, Signals};
use crate::request_ids::RequestIdGenerator;
use crate::snapshot::ServingSnapshot;
use crate::start_error::StartError;

pub use announcer::AddressAnnouncer;
use announcer::Announcing;
use operations::Operations;
pub use reload::LoadConfig;
use reload::Reloader;
use router::ListenerRouter;
use state_saver::StateSaver;

/// The snapshot that new requests are routed by.
type CurrentSnapshot = Rc<RefCell<Rc<ServingSnapshot>>>;

/// The start parameters of a process in the standalone mode.
pub struct Options {
    /// The configuration that is served first.
    pub config: Config,
    /// The seed of request ids and of the random numbers of the balancers.
    pub seed: u64,
    /// Loads the configuration on SIGHUP.
    pub load_config: LoadConfig,
    /// The announcer; `None` if the configuration announces no addresses.
    pub announcer: Option<Rc<dyn AddressAnnouncer>>,
}

/// Serves a configuration until SIGTERM or SIGINT, then shuts down gracefully: every accepted request gets
/// its response. `on_started` is called with the listeners' addresses.
///
/// # Errors
/// Returns an error if the process cannot start.
pub fn run(options: Options, on_started: impl FnOnce(&[SocketAddr])) -> Result<(), StartError> {
    process::block_on(serve(options, on_started))
}

async fn serve(options: Options, on_started: impl FnOnce(&[SocketAddr])) -> Result<(), StartError> {
    let Options { config, seed, load_config, announcer } = options;
    let Signals { mut shutdown, hangup } = Signals::install()?;
    let listeners = BoundListeners::bind(&config.listeners).await?;
    let addresses = listeners.addresses();
    let clock = Clock::new();
    let (max_downstream, max_upstream) = config.socket_budget();
    let keys = KeyTable::new(config.idempotency_keys, clock);
    let operator_endpoint = OperatorEndpoint::open(config.operators.as_ref()).await?;
    let (operator_listener, operators) = operator_endpoint.map(OperatorEndpoint::into_parts).unzip();
    let context = PoolContext { clock, seed, operators: operators.as_ref() };
    let first = ServingSnapshot::start(Arc::new(config), max_upstream, None, &context);
    let current: CurrentSnapshot = Rc::new(RefCell::new(Rc::new(first)));
    let shutting_down = Rc::<Cell<bool>>::default();
    if let (Some(listener), Some(context)) = (operator_listener, operators.clone()) {
        let operations = Operations::new(context, &current, &shutting_down);
        spawn_local(operators::server::serve(listener, Rc::new(operations)));
    }
    let state_saver = StateSaver::start(&current);
    let cut_offs = operators.as_ref().map(|context| context.metrics.cut_offs()).unwrap_or_default();
    let serving = listeners.serve(max_downstream, cut_offs, |listener, index| {
        let id_generator = RequestIdGenerator::new(seed, index);
        Rc::new(ListenerRouter { current: Rc::clone(&current), listener, id_generator, keys: keys.clone() })
    });
    let announcing = announcer.clone().map(|announcer| Announcing::start(announcer, &current));
    let reloader =
        Reloader { current: Rc::clone(&current), load_config, keys, clock, seed, operators, announcer };
    let reloading = spawn_local(reloader.run(hangup));

    on_started(&addresses);
    shutdown.received().await;
    shutting_down.set(true);
    reloading.abort();
    if let Some(announcing) = announcing {
        announcing.stop(&mut shutdown).await;
    }
    serving.shut_down().await;
    if let Some(state_saver) = state_saver {
        state_saver.finish(&current).await;
    }
    Ok(())
}
