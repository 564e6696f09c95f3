//! Where the nodes of a pool are told: by discovery's protocol, or in a file that is watched. Each source keeps a
//! [`EndpointRegistry`]; none decides what follows from it.

mod discovery;
mod file;
mod registry;

pub use discovery::Discovery;
pub use file::FileWatch;
pub use registry::{EndpointRegistry, RegisteredEndpoints, RegistryObserver, RegistryView};
