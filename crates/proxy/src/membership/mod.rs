//! The sources of a pool's endpoints: discovery's protocol, or a watched file. Each source feeds an [`EndpointRegistry`], which
//! passes lists on to the balancer and the connections.

mod discovery;
mod file;
mod registry;

pub use discovery::Discovery;
pub use file::FileWatch;
pub use registry::{EndpointRegistry, MaintenanceApplier, RegisteredEndpoints, RegistryObserver};

/// The largest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;
