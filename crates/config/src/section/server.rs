//! Section `[server]`: listeners, sockets, the position among the proxies, and the idempotency keys.

use std::net::SocketAddr;

use route::HostPattern;
use serde::Deserialize;
use toml::Spanned;

use super::admin::CapacityFile;
use super::protocol::{Protocol, ProtocolKeys};
use crate::checker::{Checker, SpannedString};

const MIN_SOCKETS: usize = 48;
const MAX_SOCKETS: usize = 1_000_000;
const DEFAULT_SOCKETS: usize = 1024;
const MAX_IDEMPOTENCY_KEYS: usize = 100_000_000;
const MAX_IDEMPOTENCY_BYTES: usize = 1 << 40;

/// An address that clients connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// The address.
    pub address: SocketAddr,
    /// The zone of the clients that connect to the address.
    pub zone: String,
    /// The header field that overrides the zone of clients; for trusted clients only.
    pub zone_header: Option<String>,
    /// The tenant that owns the listener; `None` if it is not reserved for one.
    pub tenant: Option<String>,
    /// The protocol of the connections.
    pub protocol: Protocol,
    /// The host of JSON-RPC calls, which carry none themselves.
    pub host: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Server")]
pub(crate) struct ServerFile {
    pub listen: Spanned<Vec<ListenerFile>>,
    #[serde(default = "default_zone")]
    pub zone: String,
    #[serde(default = "default_sockets")]
    pub sockets: Spanned<usize>,
    #[serde(default)]
    pub proxies: ProxiesFile,
    #[serde(default)]
    pub tenants: Vec<SpannedString>,
    #[serde(default)]
    pub expectations: Vec<SpannedString>,
    /// The capacity of the whole process; for hosted services only.
    #[serde(default)]
    pub capacity: CapacityFile,
    /// The bounds of the idempotency table.
    #[serde(default, rename = "keys")]
    pub idempotency: IdempotencyFile,
}

fn default_zone() -> String {
    "local".to_owned()
}

fn default_sockets() -> Spanned<usize> {
    Spanned::new(0..0, DEFAULT_SOCKETS)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Listen")]
pub(crate) struct ListenerFile {
    pub address: SpannedString,
    pub zone: Option<String>,
    pub zone_header: Option<SpannedString>,
    pub tenant: Option<SpannedString>,
    pub protocol: Option<SpannedString>,
    pub framing: Option<SpannedString>,
    pub calls: Option<Spanned<usize>>,
    /// The host of JSON-RPC calls; for listeners of JSON-RPC only.
    pub host: Option<SpannedString>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Keys")]
pub(crate) struct IdempotencyFile {
    pub entries: Option<Spanned<usize>>,
    pub bytes: Option<Spanned<usize>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Proxies")]
pub(crate) struct ProxiesFile {
    pub count: Spanned<u32>,
    pub rank: Spanned<u32>,
}

impl Default for ProxiesFile {
    fn default() -> Self {
        ProxiesFile { count: Spanned::new(0..0, 1), rank: Spanned::new(0..0, 0) }
    }
}

/// The position of this proxy among those that share the pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyRank {
    /// The number of proxies.
    pub count: u32,
    /// The rank of this one, from 0.
    pub rank: u32,
}

impl Checker<'_> {
    pub(crate) fn listeners(
        &mut self,
        entries: &Spanned<Vec<ListenerFile>>,
        proxy_zone: &str,
    ) -> Vec<Listener> {
        if entries.get_ref().is_empty() {
            let help = "write listen = [{ address = \"127.0.0.1:8080\" }]".to_owned();
            self.report(entries.span(), "`listen`: no address to listen on", Some(help));
        }
        let mut listeners: Vec<Listener> = Vec::new();
        for entry in entries.get_ref() {
            let listener = self.listener(entry, proxy_zone, &listeners);
            listeners.push(listener);
        }
        listeners
    }

    fn listener(&mut self, entry: &ListenerFile, proxy_zone: &str, previous: &[Listener]) -> Listener {
        let address = self.address("address", &entry.address);
        if address.port() != 0 && previous.iter().any(|listener| listener.address == address) {
            self.report(entry.address.span(), format!("`listen`: {address} is listed twice"), None);
        }
        let zone = entry.zone.clone().unwrap_or_else(|| proxy_zone.to_owned());
        self.zones.intern(&zone);
        let zone_header = entry.zone_header.as_ref().map(|word| self.header("zone_header", word));
        let tenant = entry.tenant.as_ref().map(|word| word.get_ref().clone());
        let protocol = self.protocol(&ProtocolKeys {
            protocol: &entry.protocol,
            framing: &entry.framing,
            calls: &entry.calls,
        });
        let host = self.listener_host(entry, protocol, address);
        Listener { address, zone, zone_header, tenant, protocol, host }
    }

    /// The host of calls that arrive at a listener.
    fn listener_host(&mut self, entry: &ListenerFile, protocol: Protocol, address: SocketAddr) -> String {
        let Some(word) = &entry.host else { return address.ip().to_string() };
        if protocol == Protocol::Http {
            let help = "leave it out, or write protocol = \"json-rpc\"".to_owned();
            self.report(word.span(), "`host`: HTTP requests carry their own host", Some(help));
        }
        if let Err(error) = HostPattern::parse(word.get_ref()) {
            self.report(word.span(), format!("`host`: {error}"), None);
        }
        word.get_ref().clone()
    }

    /// The number of descriptors of the process.
    pub(crate) fn sockets(&mut self, server: &ServerFile) -> usize {
        let sockets = *server.sockets.get_ref();
        if !(MIN_SOCKETS..=MAX_SOCKETS).contains(&sockets) {
            let message = format!("`sockets`: {sockets} is not from {MIN_SOCKETS} to {MAX_SOCKETS}");
            self.report(server.sockets.span(), message, None);
        }
        sockets
    }

    pub(crate) fn proxy_rank(&mut self, server: &ServerFile) -> ProxyRank {
        let count = *server.proxies.count.get_ref();
        let rank = *server.proxies.rank.get_ref();
        if rank >= count {
            let help = format!("count proxies from 1, and ranks from 0 to {}", count.saturating_sub(1));
            let message = format!("`proxies`: rank {rank} of {count} proxies");
            self.report(server.proxies.rank.span(), message, Some(help));
        }
        ProxyRank { count, rank }
    }

    /// The bounds of the idempotency table.
    pub(crate) fn idempotency(&mut self, keys: &IdempotencyFile) -> idempotency::TableLimits {
        let default = idempotency::TableLimits::default();
        let max_keys = self.bounded("entries", &keys.entries, default.max_keys, MAX_IDEMPOTENCY_KEYS);
        let max_response_bytes =
            self.bounded("bytes", &keys.bytes, default.max_response_bytes, MAX_IDEMPOTENCY_BYTES);
        idempotency::TableLimits { max_keys, max_response_bytes }
    }
}
