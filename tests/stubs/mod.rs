//! Runs the proxy under test as a process on loopback addresses, with the mock peers of `testkit`.
#![allow(dead_code, unused_imports)]

mod endpoints;
mod files;
mod modes;
mod platform;
mod process;
mod standalone;

pub use testkit::*;

pub use endpoints::*;
pub use files::temp_folder;
pub use modes::*;
pub use platform::*;
pub use process::{unique_request_id, wait_until, Process};
pub use standalone::*;
