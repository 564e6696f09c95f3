//! The sources of a pool's endpoints other than the configuration: discovery, or a watched file. Each source
//! applies its lists to an [`EndpointRegistry`], which passes them on to the balancer and the upstream pool.

mod discovery;
mod file;
mod registry;

pub use discovery::{Discovery, StatusReport};
pub use file::FileWatch;
pub use registry::{EndpointRegistry, MaintenanceApplier, RegisteredEndpoints, RegistryObserver};

/// The maximum size of a list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;
