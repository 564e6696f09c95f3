//! What a proxy is told at its start: the JSON file that `LB_CONFIG` names.

use std::net::SocketAddr;

use amberlever::settings::{self, Site};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::discovery::HostList;

/// Descriptors kept free for the listener, discovery, the runtime and standard streams (14 in all, as
/// measured), with some to spare.
const RESERVED_SOCKETS: usize = 32;
/// With fewer than this for callers and backends no proxy is of use.
const LEAST_SOCKETS: usize = 16;
/// The callers' part of the rest. More than half: a request that finds no socket for its backend is refused at
/// once, while one that no socket is left to accept waits until its time is up, and is lost.
const CALLERS_PART: f64 = 0.6;

pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Sockets for callers.
    pub callers: usize,
    /// Sockets for backends.
    pub backends: usize,
    pub known: Option<HostList>,
    /// Where peers' messages arrive, and the peers' addresses by rank; only where the settings allow them.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
    pub site: Site,
}

#[derive(Deserialize)]
struct File<'a> {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<HostList>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

impl Config {
    pub fn from_env() -> Result<Config, String> {
        let path = std::env::var_os("LB_CONFIG").ok_or("LB_CONFIG does not name a configuration file")?;
        let shown = path.to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {shown}: {e}"))?;
        Config::parse(&text).map_err(|e| format!("{shown}: {e}"))
    }

    fn parse(text: &str) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|e| format!("bad configuration: {e}"))?;
        let sockets = file.limits.sockets.saturating_sub(RESERVED_SOCKETS);
        if sockets < LEAST_SOCKETS {
            return Err(format!("limits.sockets: too few to serve with: {}", file.limits.sockets));
        }
        let callers = (sockets as f64 * CALLERS_PART) as usize;
        let site = settings::parse(file.settings.get())?;
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("seed: not a 64-bit number in hex digits: {:?}", file.seed))?,
            callers,
            backends: sockets - callers,
            known: file.known,
            peers: file.peer_listen.filter(|_| site.settings.peers).map(|listen| (listen, file.peers)),
            site,
        })
    }
}
