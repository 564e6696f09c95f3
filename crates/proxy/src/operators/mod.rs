//! The operators' HTTP address: readiness, metrics, and maintenance of endpoints.
//!
//! Each mode implements [`OperatorActions`]; [`server`] exposes them.

mod context;
pub mod server;

use std::future::Future;
use std::pin::Pin;

use membership::MaintenanceRejection;

use crate::maintenance::MaintenanceStore;

pub use context::{observe_maintenance, OperatorContext, OperatorEndpoint};

/// The actions that the operators' address exposes.
pub trait OperatorActions {
    /// Whether the process accepts client requests: it is ready and not shutting down.
    fn is_serving(&self) -> bool;

    /// All metrics in the OpenMetrics text format.
    fn metrics_text(&self) -> Pin<Box<dyn Future<Output = String> + '_>>;

    /// Resolves the endpoint that an operator names in a maintenance request.
    ///
    /// # Errors
    /// Returns an error if several pools have an endpoint with this name, or maintenance is not available.
    fn maintenance_target(&self, id: &str) -> Result<MaintenanceTarget<'_>, MaintenanceRejection>;
}

/// An endpoint that is put into maintenance or taken out of it.
pub struct MaintenanceTarget<'a> {
    pub store: &'a MaintenanceStore,
    /// The name of the endpoint within the store.
    pub endpoint: String,
}

/// Returns the only qualified name that matches `id`, or `id` itself if none matches.
///
/// # Errors
/// Returns an error if several endpoints match.
pub fn unique_endpoint(id: &str, mut matches: Vec<String>) -> Result<String, MaintenanceRejection> {
    match matches.pop() {
        None => Ok(id.to_owned()),
        Some(only) if matches.is_empty() => Ok(only),
        Some(_) => Err(MaintenanceRejection::AmbiguousName),
    }
}
