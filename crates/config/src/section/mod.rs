//! The sections of the configuration file, one module each. A module contains the format in the file
//! (`…File`, whose keys are the operators' interface), the checked model, and the check that converts one
//! into the other.

pub(crate) mod admin;
pub(crate) mod bgp;
pub(crate) mod class;
pub(crate) mod learned_state;
pub(crate) mod limits;
pub(crate) mod methods;
pub(crate) mod operators;
pub(crate) mod pool;
pub(crate) mod protocol;
pub(crate) mod route;
pub(crate) mod server;
