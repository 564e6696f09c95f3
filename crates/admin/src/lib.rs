//! The administration API of a hosted service: tenants, their configuration and limits, status, versions, tokens.
//!
//! It authenticates and authorizes ([`auth`]), and turns each change into a complete document that is checked, stored on
//! disk and then applied ([`Service`]). What serves is behind the trait [`DataPlane`].
#![warn(missing_docs)]

pub mod announce;
mod api;
pub mod auth;
mod edit;
pub mod serve;
mod state;

pub use api::openapi;
pub use state::{DataPlane, Service, TenantStatus};
