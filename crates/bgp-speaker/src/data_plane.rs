//! The last reported status of the data plane (whether it accepts connections and makes progress, and the
//! endpoint lists of its pools), and the memory use of the process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bgp::{
    DataPlaneStatus, EndpointHealth, HealthChecker, ListedEndpoint, PoolEndpointList, PoolHealth,
    ProcessHealth,
};
use config::Bgp;
use tokio::time::Instant;

/// An endpoint list with the time when it was received.
struct ReceivedList {
    received_at: Instant,
    list: PoolEndpointList,
}

/// The last reported status of the data plane.
pub struct DataPlane {
    accepting: bool,
    updated_at: Instant,
    pools: BTreeMap<String, ReceivedList>,
    memory_limit_exceeded: bool,
}

impl DataPlane {
    /// Creates the status of a data plane that has not reported yet.
    pub fn new() -> DataPlane {
        DataPlane {
            accepting: false,
            updated_at: Instant::now(),
            pools: BTreeMap::new(),
            memory_limit_exceeded: false,
        }
    }

    /// Stores a reported status. Returns whether it may change which addresses are announced.
    pub fn update(&mut self, status: DataPlaneStatus) -> bool {
        let now = Instant::now();
        let accepting_changed = self.accepting != status.accepting;
        self.accepting = status.accepting;
        self.updated_at = now;
        let Some(pools) = status.pools else { return accepting_changed };
        let received = |(name, list)| (name, ReceivedList { received_at: now, list });
        self.pools = pools.into_iter().map(received).collect();
        true
    }

    /// Compares the resident memory of the process with this limit in bytes; `None` means no limit.
    pub fn check_memory(&mut self, limit: Option<u64>) {
        // An unknown use (`None`) is less than any limit.
        self.memory_limit_exceeded = limit.is_some_and(|limit| resident_bytes() > Some(limit));
    }

    /// Returns the health of the process. The data plane is alive if its last status is younger than
    /// `config.stuck`.
    pub fn process_health(&self, config: &Bgp) -> ProcessHealth {
        ProcessHealth {
            accepting: self.accepting,
            alive: self.updated_at.elapsed() < config.stuck,
            memory_limit_exceeded: self.memory_limit_exceeded,
        }
    }

    /// Returns the health of the pools that the configured addresses depend on.
    pub fn pool_health(&self, config: &Bgp, health_checker: &HealthChecker) -> BTreeMap<String, PoolHealth> {
        let pools = self.required_pools(config);
        pools.map(|(name, pool)| (name.clone(), pool.health(config, health_checker))).collect()
    }

    /// Returns the endpoints of the pools that the configured addresses depend on.
    pub fn endpoints<'a>(&'a self, config: &'a Bgp) -> impl Iterator<Item = SocketAddr> + 'a {
        let pools = self.required_pools(config);
        pools.flat_map(|(_, pool)| pool.list.endpoints.iter().map(|endpoint| endpoint.address))
    }

    fn required_pools<'a>(
        &'a self,
        config: &'a Bgp,
    ) -> impl Iterator<Item = (&'a String, &'a ReceivedList)> + 'a {
        let names = config.addresses.iter().flat_map(|address| &address.pools);
        names.filter_map(|name| Some((name, self.pools.get(name)?)))
    }
}

impl ReceivedList {
    fn health(&self, config: &Bgp, health_checker: &HealthChecker) -> PoolHealth {
        let endpoint_health = |endpoint: &ListedEndpoint| EndpointHealth {
            weight: endpoint.weight,
            ready: endpoint.ready,
            warm: endpoint.warm,
            healthy: health_checker.is_healthy(&endpoint.address),
        };
        let endpoints = self.list.received.then(|| self.list.endpoints.iter().map(endpoint_health).collect());
        PoolHealth { endpoints, stale: self.is_stale(config) }
    }

    fn is_stale(&self, config: &Bgp) -> bool {
        let silent_for = self.list.source_silent_for;
        silent_for.is_some_and(|silent_for| silent_for + self.received_at.elapsed() > config.max_list_age)
    }
}

/// Returns the resident memory of the process in bytes; `None` if the operating system does not report it.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes << 10)
}
