//! The administration API of a hosted service: tenants, their configuration and limits, status, versions,
//! tokens.
//!
//! Requests are authenticated and authorized ([`auth`]). Each change results in a complete document that is
//! checked, stored on disk and then applied ([`Service`]). The data plane is behind the trait [`DataPlane`].
#![warn(missing_docs)]

pub mod announce;
mod api;
pub mod auth;
mod edit;
pub mod serve;
mod state;

pub use api::openapi;
pub use state::{DataPlane, Service, TenantStatus};
