//! Which addresses are announced by BGP, to whom, and when: as it is written, and as it is used.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use crate::file::Word;

/// What is announced, and to whom.
#[derive(Clone, Debug, PartialEq)]
pub struct Bgp {
    /// Where peers connect, if they may.
    pub listen: Option<SocketAddr>,
    /// Where operators ask, on loopback, if they may.
    pub api: Option<SocketAddr>,
    /// Speaks to nobody, and says what it would announce.
    pub dry_run: bool,
    /// At the end, addresses are announced as leaving for so long.
    pub leave: Duration,
    /// What peers are told at the end.
    pub text: String,
    /// A list of nodes that nothing was heard of for so long is old.
    pub list_old: Duration,
    /// The data plane does not move on when it was silent for so long.
    pub stuck: Duration,
    /// With more resident memory than that, nothing is announced.
    pub memory_bytes: Option<u64>,
    /// How nodes are asked whether they answer.
    pub probe: bgp::HealthCheckSettings,
    /// By a GET of this path; else by a connection alone.
    pub probe_path: Option<String>,
    /// The routers.
    pub peers: Vec<BgpPeer>,
    /// The addresses.
    pub addresses: Vec<bgp::Address>,
}

/// Connections of operators to the API at once.
pub const MOST_OPERATORS: usize = 4;

impl Bgp {
    /// The most sockets that all this takes.
    #[must_use]
    pub fn sockets(&self) -> usize {
        // Each peer's two connections, and one more that is being turned away or comes in its place.
        let listeners = usize::from(self.listen.is_some()) + usize::from(self.api.is_some());
        3 * self.peers.len() + self.probe.max_in_flight + listeners + MOST_OPERATORS
    }
}

/// A router.
#[derive(Clone, Debug, PartialEq)]
pub struct BgpPeer {
    /// Its name.
    pub name: String,
    /// Where it listens, and whence it connects.
    pub address: SocketAddr,
    /// Our own end, where that is not for the system to choose.
    pub source: Option<IpAddr>,
    /// What is said there.
    pub settings: bgp::PeerSettings,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    #[serde(rename = "as")]
    pub asn: Spanned<u32>,
    pub router_id: Spanned<Ipv4Addr>,
    pub listen: Option<Word>,
    pub api: Option<Word>,
    #[serde(default)]
    pub dry_run: bool,
    pub hold_time_s: Option<Spanned<usize>>,
    pub retry_ms: Option<Spanned<usize>>,
    pub retry_most_ms: Option<Spanned<usize>>,
    pub leave_ms: Option<Spanned<u64>>,
    pub shutdown_text: Option<Word>,
    pub list_old_s: Option<Spanned<usize>>,
    pub stuck_ms: Option<Spanned<usize>>,
    pub memory_mb: Option<Spanned<usize>>,
    #[serde(default)]
    pub probe: Probe,
    #[serde(default, rename = "peer")]
    pub peers: Vec<Peer>,
    #[serde(default, rename = "address")]
    pub addresses: Vec<Address>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Probe {
    pub every_ms: Option<Spanned<usize>>,
    pub timeout_ms: Option<Spanned<usize>>,
    pub failures: Option<Spanned<usize>>,
    pub at_once: Option<Spanned<usize>>,
    pub path: Option<Word>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Peer {
    pub name: Word,
    pub address: Word,
    #[serde(rename = "as")]
    pub asn: Spanned<u32>,
    #[serde(default)]
    pub passive: bool,
    pub source: Option<IpAddr>,
    pub next_hop_v4: Option<Ipv4Addr>,
    pub next_hop_v6: Option<std::net::Ipv6Addr>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Address {
    pub prefix: Word,
    pub pools: Spanned<Vec<Word>>,
    pub announce_share: Option<Spanned<f64>>,
    pub withdraw_share: Option<Spanned<f64>>,
    pub degrade_share: Option<Spanned<f64>>,
    pub least_nodes: Option<Spanned<usize>>,
    pub hold_up_ms: Option<Spanned<u64>>,
    pub hold_up_most_ms: Option<Spanned<u64>>,
    pub half_life_ms: Option<Spanned<u64>>,
    pub med: Option<u32>,
    #[serde(default)]
    pub communities: Vec<Word>,
    #[serde(default)]
    pub large_communities: Vec<Word>,
    pub degraded: Option<Degraded>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Degraded {
    pub med: Option<u32>,
    pub prepend: Option<Spanned<usize>>,
}
