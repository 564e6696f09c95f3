//! A hosted service: many tenants, each with hosts, limits and a configuration of its own that is compiled by itself.
//! Nothing in one tenant's configuration can refer to anything of another's.

mod compile;
mod document;
mod settings;
mod tenants;

pub use document::{Document, DocumentError, TenantDocument};
pub use settings::{HostedSettings, SharedSettings};
pub use tenants::{Tenant, Tenants};
