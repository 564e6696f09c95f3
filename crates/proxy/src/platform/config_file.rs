//! The platform's configuration file: the JSON form, the checks and the errors.

use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::net::SocketAddr;

use config::{parse_endpoint_list, split_sockets, ParsedEndpointList};
use decide::platform_settings::{self, PlatformSettings, PlatformSettingsError};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::memory::MemoryPlan;
use crate::operators;

/// The environment variable with the path of the configuration file.
const PATH_VARIABLE: &str = "LB_CONFIG";
/// The number of sockets of the process if the configuration does not set it.
const DEFAULT_SOCKETS: usize = 1024;
const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

/// The configuration of a process in the platform's mode.
pub struct Config {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The operators' address, if there is one.
    pub operators: Option<SocketAddr>,
    /// The seed of the random numbers of the balancer and of discovery.
    pub seed: u64,
    /// The maximum number of client connections.
    pub max_downstream_connections: usize,
    /// The maximum number of connections to endpoints.
    pub max_upstream_connections: usize,
    /// The memory for requests in flight, in bytes.
    pub request_memory_bytes: usize,
    /// The endpoint list to use before discovery has answered.
    pub initial_list: Option<ParsedEndpointList>,
    /// The gossip settings; `None` if gossip is not configured or not allowed by the platform's settings.
    pub gossip: Option<GossipConfig>,
    /// The platform's settings object.
    pub platform: PlatformSettings,
}

/// The gossip between the proxies of a tier.
pub struct GossipConfig {
    /// The address that receives messages of peers.
    pub listen: SocketAddr,
    /// The addresses of the proxies of the tier. The position of a proxy is its rank, which identifies it in
    /// gossip.
    pub peers: Vec<SocketAddr>,
}

/// The reason that the configuration cannot be loaded.
#[derive(Debug)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    NoPath,
    /// The file cannot be read.
    Read { path: String, source: io::Error },
    /// The content of the file is invalid.
    Invalid { path: String, source: InvalidConfig },
}

/// The reason that the content of a configuration file is invalid.
#[derive(Debug)]
pub enum InvalidConfig {
    /// The file is not JSON or does not have the expected form.
    Json(serde_json::Error),
    /// The number of sockets is too small to serve clients.
    Sockets(usize),
    /// The settings object is invalid.
    Settings(PlatformSettingsError),
    /// An address occurs twice among the peers, which are identified by their addresses.
    DuplicatePeer(SocketAddr),
    /// The seed is not a 64-bit number in hexadecimal digits.
    Seed(String),
    /// The initial endpoint list is invalid.
    InitialList(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::NoPath => {
                write!(f, "{PATH_VARIABLE} is not set; it must name the configuration file")
            }
            ConfigError::Read { path, source } => write!(f, "cannot read {path}: {source}"),
            ConfigError::Invalid { path, source } => write!(f, "{path}: {source}"),
        }
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ConfigError::NoPath => None,
            ConfigError::Read { source, .. } => Some(source),
            ConfigError::Invalid { source, .. } => Some(source),
        }
    }
}

impl fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidConfig::Json(source) => write!(f, "invalid configuration: {source}"),
            InvalidConfig::Sockets(sockets) => {
                write!(f, "limits.sockets: {sockets} sockets are too few to serve clients and endpoints")
            }
            InvalidConfig::Settings(source) => source.fmt(f),
            InvalidConfig::DuplicatePeer(address) => write!(f, "peers: {address} occurs twice"),
            InvalidConfig::Seed(seed) => {
                write!(f, "seed: {seed:?} is not a 64-bit number in hexadecimal digits")
            }
            InvalidConfig::InitialList(message) => write!(f, "known: {message}"),
        }
    }
}

impl std::error::Error for InvalidConfig {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            InvalidConfig::Json(source) => Some(source),
            InvalidConfig::Settings(source) => Some(source),
            _ => None,
        }
    }
}

/// The JSON form of the file.
#[derive(Deserialize)]
#[serde(expecting = "struct File")]
struct ConfigFile<'a> {
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(rename = "mgmt")]
    operators: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow, rename = "known")]
    initial_list: Option<&'a RawValue>,
    #[serde(rename = "peer_listen")]
    gossip_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    /// The memory limit of the process in MiB; `None` for no limit.
    memory_mb: Option<f64>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: DEFAULT_SOCKETS, memory_mb: None }
    }
}

impl Limits {
    fn memory_plan(&self) -> MemoryPlan {
        let bytes = self.memory_mb.map(|mebibytes| (mebibytes * BYTES_PER_MEBIBYTE) as usize);
        bytes.map_or(MemoryPlan::WITHOUT_LIMIT, |bytes| MemoryPlan::new(bytes, self.sockets))
    }
}

impl Config {
    /// Reads the file named by `LB_CONFIG`.
    ///
    /// # Errors
    /// Returns an error if `LB_CONFIG` is not set, or the file cannot be read or is invalid.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(ConfigError::NoPath)?;
        let shown_path = path.to_string_lossy().into_owned();
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Read { path: shown_path, source }),
        };
        Config::parse(&text).map_err(|source| ConfigError::Invalid { path: shown_path, source })
    }

    fn parse(text: &str) -> Result<Config, InvalidConfig> {
        let file: ConfigFile = serde_json::from_str(text).map_err(InvalidConfig::Json)?;
        let operator_sockets = if file.operators.is_some() { operators::server::SOCKETS } else { 0 };
        let memory = file.limits.memory_plan();
        let sockets = file.limits.sockets.min(memory.max_sockets);
        let (max_downstream_connections, max_upstream_connections) =
            split_sockets(sockets.saturating_sub(operator_sockets))
                .ok_or(InvalidConfig::Sockets(file.limits.sockets))?;
        let platform = platform_settings::parse(file.settings.get()).map_err(InvalidConfig::Settings)?;
        let gossip_allowed = platform.settings.gossip_allowed;
        if gossip_allowed {
            check_unique(&file.peers)?;
        }
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            operators: file.operators,
            seed: parse_seed(&file.seed)?,
            max_downstream_connections,
            max_upstream_connections,
            request_memory_bytes: memory.request_bytes,
            initial_list: file.initial_list.map(parse_initial_list).transpose()?,
            gossip: file
                .gossip_listen
                .filter(|_| gossip_allowed)
                .map(|listen| GossipConfig { listen, peers: file.peers }),
            platform,
        })
    }
}

fn parse_seed(seed: &str) -> Result<u64, InvalidConfig> {
    u64::from_str_radix(seed, 16).map_err(|_| InvalidConfig::Seed(seed.to_owned()))
}

fn parse_initial_list(json: &RawValue) -> Result<ParsedEndpointList, InvalidConfig> {
    parse_endpoint_list(json.get().as_bytes()).map_err(InvalidConfig::InitialList)
}

/// Checks that no peer occurs twice, because the sender of a gossip message is identified by its address.
fn check_unique(peers: &[SocketAddr]) -> Result<(), InvalidConfig> {
    let mut addresses = BTreeSet::new();
    match peers.iter().find(|peer| !addresses.insert(**peer)) {
        Some(duplicate) => Err(InvalidConfig::DuplicatePeer(*duplicate)),
        None => Ok(()),
    }
}
