//! A hosted service: many tenants, each with hosts, limits and a configuration of its own. Each configuration
//! is compiled separately, so none can refer to anything of another tenant.

mod compile;
mod document;
mod settings;
mod tenants;

pub use document::{Document, DocumentError, TenantDocument};
pub use settings::{HostedSettings, SharedSettings};
pub use tenants::{Tenant, Tenants};
