//! Positions in the tables of one balancer, with one type per table, so that they cannot be confused.
//!
//! The public structs hold classes, zones and machine kinds as `usize`. They are converted when an event is
//! handled.

/// The position of an endpoint in [`EndpointTable`](crate::endpoint_table::EndpointTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointIndex(pub usize);

/// The position of a request class in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassIndex(pub usize);

/// The index of a zone in the names of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ZoneIndex(pub usize);

/// The index of a machine kind in the names of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachineKindIndex(pub usize);
