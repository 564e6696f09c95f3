//! The configuration, checked completely before it is used, and the expectations that are stored beside it.
//!
//! Pure: no sockets, no clock. Files are read through a function ([`ReadFile`]), so that a test can stand for the file
//! system. The resulting [`Config`] is immutable and has the [`route::RouteTable`] that serves.
//!
//! Each section of the file is a module under `section`, with the form in the file, the checked model and the check.
//! `config_file` and `model` put the sections together, `standalone` and `hosted` check the two kinds of files, and
//! `load` reads all that a file names. Problems are collected as [`Diagnostics`].
#![warn(missing_docs)]

mod checker;
mod config_file;
mod diagnostics;
mod endpoint;
mod endpoint_list;
mod expect;
mod hosted;
mod load;
mod method;
mod model;
mod play;
mod pool_endpoints;
mod section;
mod sockets;
mod standalone;
mod tenant_limits;

pub use diagnostics::{Diagnostic, Diagnostics, ReadFile};
pub use endpoint::{EndpointSpec, EndpointState};
pub use endpoint_list::{
    parse_endpoint_list, parse_full_list, EndpointList, ListedEndpoint, ListedState, ParsedEndpointList,
};
pub use hosted::{Document, DocumentError, HostedSettings, SharedSettings, Tenant, TenantDocument, Tenants};
pub use load::{load, Loaded};
pub use method::{escape, HttpMethod, Member, Members, Method, Methods, PathTemplate};
pub use model::{Config, RouteOrigin};
pub use play::{Failure, Report, RoutingOutcome};
pub use pool_endpoints::PoolEndpoints;
pub use section::admin::{Role, Token};
pub use section::bgp::{Bgp, BgpPeer, MAX_OPERATOR_CONNECTIONS};
pub use section::class::Class;
pub use section::learned_state::LearnedStateSettings;
pub use section::limits::{Limits, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
pub use section::operators::{Operators, OPERATORS_SOCKETS};
pub use section::pool::{Pool, Source};
pub use section::protocol::Protocol;
pub use section::server::{Listener, ProxyRank};
pub use sockets::split_sockets;
pub use tenant_limits::TenantLimits;

/// Parses TOML into the same document in JSON.
///
/// # Errors
/// The problem, in a line.
pub fn toml_value(text: &str) -> Result<serde_json::Value, String> {
    toml::from_str(text).map_err(|error| error.message().to_owned())
}
