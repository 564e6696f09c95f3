//! Which endpoint an attempt goes to: candidates are drawn from the ready endpoints, those that may not get
//! the request are passed over, and the rest are ranked by a score; the lowest wins.

pub(crate) mod candidates;
pub(crate) mod latency;
pub(crate) mod locality;
pub(crate) mod outlier;
mod ranking;

pub(crate) use ranking::{Selected, Selector};
