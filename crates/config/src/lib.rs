//! The configuration, which is checked completely before it is used, and its expectations: statements of how
//! given requests must be routed, which are evaluated without sending any request.
//!
//! Uses no sockets and no clock. Files are read through a function ([`ReadFile`]), so that tests can replace
//! the file system. The resulting [`Config`] is immutable and contains the [`route::RouteTable`] for
//! requests.
//!
//! Each section of the file is a module under `section`, with its format in the file, its checked model and
//! its check. `config_file` and `model` combine the sections. `standalone` checks the file of a proxy with a
//! single configuration, and `hosted` that of a service with a configuration for each tenant. `load` reads
//! the files that a configuration names. Problems are collected as [`Diagnostics`].
#![warn(missing_docs)]

mod checker;
mod config_file;
mod diagnostics;
mod endpoint;
mod endpoint_list;
mod evaluation;
mod expect;
mod hosted;
mod load;
mod method;
mod model;
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
pub use evaluation::{Failure, Report, RoutingOutcome};
pub use hosted::{Document, DocumentError, HostedSettings, SharedSettings, Tenant, TenantDocument, Tenants};
pub use load::{load, Loaded};
pub use method::{escape, HttpMethod, Member, Members, Method, Methods, PathTemplate};
pub use model::{Config, RouteOrigin};
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

/// Converts a TOML document into JSON.
///
/// # Errors
/// If the text is not TOML, returns the parser's message.
pub fn toml_value(text: &str) -> Result<serde_json::Value, String> {
    toml::from_str(text).map_err(|error| error.message().to_owned())
}
