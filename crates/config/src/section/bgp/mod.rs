//! Section `[bgp]`: the addresses that are announced by BGP, the peers, and the conditions of announcements.

mod address;
mod check;

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use crate::checker::SpannedString;

/// Settings of the BGP speaker.
#[derive(Clone, Debug, PartialEq)]
pub struct Bgp {
    /// The address that peers connect to; `None` if they may not connect.
    pub listen: Option<SocketAddr>,
    /// The loopback address of the operators' API, if there is one.
    pub api: Option<SocketAddr>,
    /// Whether the speaker connects to no peer and only shows what it would announce.
    pub dry_run: bool,
    /// The duration for which addresses are announced with the community GRACEFUL_SHUTDOWN before the process
    /// ends.
    pub leave: Duration,
    /// The shutdown communication (RFC 9003) to peers.
    pub shutdown_text: String,
    /// The age of the last update above which an endpoint list is stale.
    pub max_list_age: Duration,
    /// The duration without progress after which the data plane counts as stalled.
    pub stuck: Duration,
    /// The resident memory above which nothing is announced; `None` if there is no limit.
    pub memory_bytes: Option<u64>,
    /// The settings of health checks of endpoints.
    pub health_checks: bgp::HealthCheckSettings,
    /// The path that health checks request; `None` if they only connect.
    pub health_check_path: Option<String>,
    /// The peers.
    pub peers: Vec<BgpPeer>,
    /// The announced addresses.
    pub addresses: Vec<bgp::Address>,
}

/// The maximum number of concurrent connections to the API at `bgp.api`.
pub const MAX_OPERATOR_CONNECTIONS: usize = 4;

impl Bgp {
    /// The maximum number of sockets of the speaker.
    #[must_use]
    pub fn sockets(&self) -> usize {
        let listeners = usize::from(self.listen.is_some()) + usize::from(self.api.is_some());
        // Each peer has two connections, and a third that is being rejected or replaces one of them.
        3 * self.peers.len() + self.health_checks.max_in_flight + listeners + MAX_OPERATOR_CONNECTIONS
    }
}

/// A BGP peer.
#[derive(Clone, Debug, PartialEq)]
pub struct BgpPeer {
    /// The name.
    pub name: String,
    /// The address that the peer listens on and connects from.
    pub address: SocketAddr,
    /// The local address of connections; `None` if the system chooses it.
    pub source: Option<IpAddr>,
    /// The settings of the session.
    pub settings: bgp::PeerSettings,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
pub(crate) struct BgpFile {
    #[serde(rename = "as")]
    pub asn: Spanned<u32>,
    pub router_id: Spanned<Ipv4Addr>,
    pub listen: Option<SpannedString>,
    pub api: Option<SpannedString>,
    #[serde(default)]
    pub dry_run: bool,
    pub hold_time_s: Option<Spanned<usize>>,
    pub retry_ms: Option<Spanned<usize>>,
    pub retry_most_ms: Option<Spanned<usize>>,
    pub leave_ms: Option<Spanned<u64>>,
    pub shutdown_text: Option<SpannedString>,
    pub list_old_s: Option<Spanned<usize>>,
    pub stuck_ms: Option<Spanned<usize>>,
    pub memory_mb: Option<Spanned<usize>>,
    #[serde(default)]
    pub probe: HealthCheckFile,
    #[serde(default, rename = "peer")]
    pub peers: Vec<PeerFile>,
    #[serde(default, rename = "address")]
    pub addresses: Vec<AddressFile>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Probe")]
pub(crate) struct HealthCheckFile {
    pub every_ms: Option<Spanned<usize>>,
    pub timeout_ms: Option<Spanned<usize>>,
    pub failures: Option<Spanned<usize>>,
    pub at_once: Option<Spanned<usize>>,
    pub path: Option<SpannedString>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Peer")]
pub(crate) struct PeerFile {
    pub name: SpannedString,
    pub address: SpannedString,
    #[serde(rename = "as")]
    pub asn: Spanned<u32>,
    #[serde(default)]
    pub passive: bool,
    pub source: Option<IpAddr>,
    pub next_hop_v4: Option<Ipv4Addr>,
    pub next_hop_v6: Option<Ipv6Addr>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Address")]
pub(crate) struct AddressFile {
    pub prefix: SpannedString,
    pub pools: Spanned<Vec<SpannedString>>,
    pub announce_share: Option<Spanned<f64>>,
    pub withdraw_share: Option<Spanned<f64>>,
    pub degrade_share: Option<Spanned<f64>>,
    pub least_nodes: Option<Spanned<usize>>,
    pub hold_up_ms: Option<Spanned<u64>>,
    pub hold_up_most_ms: Option<Spanned<u64>>,
    pub half_life_ms: Option<Spanned<u64>>,
    pub med: Option<u32>,
    #[serde(default)]
    pub communities: Vec<SpannedString>,
    #[serde(default)]
    pub large_communities: Vec<SpannedString>,
    pub degraded: Option<DegradedFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Degraded")]
pub(crate) struct DegradedFile {
    pub med: Option<u32>,
    pub prepend: Option<Spanned<usize>>,
}
