//! Reload of the configuration on SIGHUP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use config::{Bgp, Config};
use tokio::signal::unix::Signal;

use super::{AddressAnnouncer, CurrentSnapshot};
use crate::clock::Clock;
use crate::idempotency_keys::KeyTable;
use crate::log::log_line;
use crate::operators::OperatorContext;
use crate::pool::PoolContext;
use crate::snapshot::ServingSnapshot;

/// Loads and checks the configuration. The error is one line for operators.
pub type LoadConfig = Box<dyn Fn() -> Result<Config, String>>;

/// Replaces the current snapshot when the configuration is reloaded.
pub(super) struct Reloader {
    pub current: CurrentSnapshot,
    pub load_config: LoadConfig,
    pub keys: KeyTable,
    pub clock: Clock,
    pub seed: u64,
    pub operators: Option<OperatorContext>,
    pub announcer: Option<Rc<dyn AddressAnnouncer>>,
}

impl Reloader {
    /// Reloads on each hangup, for as long as it is polled.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            self.reload();
        }
    }

    fn reload(&self) {
        let previous = Rc::clone(&self.current.borrow());
        match self.load_compatible(&previous.config) {
            Ok(config) => self.replace(config, &previous),
            Err(fault) => {
                let version = previous.version;
                log_line(format_args!("configuration reload failed, keeping version {version}: {fault}"));
            }
        }
        let current = self.current.borrow();
        self.keys.set_limits(current.config.idempotency_keys);
        if let (Some(announcer), Some(bgp)) = (&self.announcer, &current.config.bgp) {
            announcer.reconfigure(bgp);
        }
    }

    /// Loads the configuration; rejects one that a running process cannot change to.
    fn load_compatible(&self, previous: &Config) -> Result<Config, String> {
        let config = (self.load_config)()?;
        match setting_that_needs_restart(previous, &config) {
            Some(key) => Err(format!("a change of `{key}` requires a restart")),
            None => Ok(config),
        }
    }

    fn replace(&self, config: Config, previous: &ServingSnapshot) {
        let (_, max_upstream) = config.socket_budget();
        let context = PoolContext { clock: self.clock, seed: self.seed, operators: self.operators.as_ref() };
        let snapshot = ServingSnapshot::start(Arc::new(config), max_upstream, Some(previous), &context);
        let version = snapshot.version;
        let routes = snapshot.config.table.routes().len();
        let pools = snapshot.config.pools.len();
        *self.current.borrow_mut() = Rc::new(snapshot);
        log_line(format_args!("configuration reloaded: version {version}, {routes} routes, {pools} pools"));
    }
}

/// The first setting that differs and cannot be changed in a running process; `None` if there is no such
/// setting.
fn setting_that_needs_restart(previous: &Config, next: &Config) -> Option<&'static str> {
    if previous.listeners != next.listeners {
        Some("server.listen")
    } else if previous.sockets != next.sockets {
        Some("server.sockets")
    } else if previous.learned_state != next.learned_state {
        Some("knowledge")
    } else if previous.operators != next.operators {
        Some("operators")
    } else if previous.bgp.is_some() != next.bgp.is_some() {
        Some("bgp")
    } else if bgp_addresses(&previous.bgp) != bgp_addresses(&next.bgp) {
        Some("bgp.listen")
    } else {
        None
    }
}

/// The addresses that the BGP speaker listens on: for BGP sessions and for its API.
fn bgp_addresses(bgp: &Option<Bgp>) -> Option<[Option<SocketAddr>; 2]> {
    bgp.as_ref().map(|bgp| [bgp.listen, bgp.api])
}
