//! Positions in the tables of one balancer, one type for each table, so that they cannot be mixed up.
//!
//! The public structs carry classes, zones and machine kinds as `usize`; they are wrapped where an event enters.

/// The position of an endpoint in [`EndpointTable`](crate::endpoint_table::EndpointTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndpointIndex(pub usize);

/// The position of a request class in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassIndex(pub usize);

/// The number of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ZoneIndex(pub usize);

/// The number of a machine kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachineKindIndex(pub usize);
