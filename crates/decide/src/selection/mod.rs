//! The choice of the endpoint for an attempt: candidates are drawn from the ready endpoints, those that must
//! not get the request are skipped, and the rest are ranked by a score. The lowest score wins.

pub(crate) mod candidates;
pub(crate) mod latency;
pub(crate) mod locality;
pub(crate) mod outlier;
mod ranking;

pub(crate) use ranking::{Selected, Selector};
