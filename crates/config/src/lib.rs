//! The own configuration file, checked whole before anybody sees it, and the expectations kept beside it.
//!
//! Pure: no sockets, no clock; files come in through a function ([`Reading`]), so that a test can be a file
//! system. The [`Config`] that comes out is an immutable value with the very [`route::RouteTable`] that serves.
#![warn(missing_docs)]

mod announce;
mod check;
mod expect;
mod fault;
mod file;
mod fleet;
mod hosted;
mod method;
mod model;
mod operators;
mod play;

pub use announce::{Bgp, BgpPeer, MOST_OPERATORS};
pub use fault::{Fault, Faults};
pub use fleet::{
    parse_endpoint_list, parse_full_list, EndpointList, Fleet, ListedEndpoint, ListedState, Node, NodeState,
    ParsedEndpointList,
};
pub use hosted::{Document, Refused, Role, Setup, Shared, Tenant, TenantDoc, TenantLimits, Tenants, Token};
pub use method::{escape, Member, Members, Method, Methods, Protocol, Template, Verb};
pub use model::{split_sockets, Class, Config, LearnedStateSettings, Limits, Listener, Pool, Source};
pub use model::{MOST_BODY_BYTES, WHOLE_BODY_BYTES};
pub use operators::{Operators, OPERATORS_SOCKETS};
pub use play::{Failure, Report, Verdict};

use std::path::{Path, PathBuf};

/// How files are read: the whole text, or why not.
pub type Reading<'a> = &'a dyn Fn(&Path) -> Result<String, String>;

/// A configuration that can be used, with its expectations.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The configuration.
    pub config: Config,
    /// What is known of the nodes of each pool.
    pub fleet: Fleet,
    expectations: Vec<expect::Expectation>,
}

impl Loaded {
    /// Plays every expectation. Sends nothing.
    #[must_use]
    pub fn play(&self) -> Report {
        play::play(&self.config, &self.expectations)
    }
}

/// TOML as the same document in JSON.
///
/// # Errors
/// What is wrong with it, in a line.
pub fn toml_value(text: &str) -> Result<serde_json::Value, String> {
    toml::from_str(text).map_err(|e| e.message().to_owned())
}

/// Reads a configuration and all that it names, and checks it. Expectations are read, not played.
///
/// # Errors
/// All that is wrong, each with file and line.
pub fn load(path: &Path, read: Reading<'_>) -> Result<Loaded, Faults> {
    load_as(path, read, false)
}

/// The same; `may_be_empty` where it may have no class, pool and route at all.
pub(crate) fn load_as(path: &Path, read: Reading<'_>, may_be_empty: bool) -> Result<Loaded, Faults> {
    let mut faults = Faults::default();
    let Some(text) = faults.read(path, read) else { return Err(faults) };
    let Some(file) = faults.parse::<file::File>(text) else { return Err(faults) };
    let beside = |name: &str| path.parent().unwrap_or(Path::new("")).join(name);
    let expectation_files: Vec<_> = file.server.expectations.clone();
    let config = check::check(file, text, &beside, may_be_empty, &mut faults);
    let fleet = config.as_ref().map(|config| Fleet::read(config, text, read, &mut faults));
    let mut expectations = Vec::new();
    for name in &expectation_files {
        let file: PathBuf = beside(name.get_ref());
        match faults.read(&file, read) {
            Some(text) => {
                if let (Some(raw), Some(config)) = (faults.parse::<expect::File>(text), &config) {
                    expectations.extend(expect::check(raw, text, config, fleet.as_ref(), &mut faults));
                }
            }
            None => faults.blame_last(text, name.span()),
        }
    }
    match (config, fleet) {
        (Some(config), Some(fleet)) if faults.is_empty() => Ok(Loaded { config, fleet, expectations }),
        _ => Err(faults),
    }
}
