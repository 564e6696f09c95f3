//! The usage of a tenant.

use std::ops::{Index, IndexMut};

use crate::RejectReason;

/// The number of rejections by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts([u64; RejectReason::ALL.len()]);

impl RejectionCounts {
    /// Returns the total number of rejections.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl From<[u64; RejectReason::ALL.len()]> for RejectionCounts {
    /// Converts counts in the order of [`RejectReason::ALL`].
    fn from(counts: [u64; RejectReason::ALL.len()]) -> Self {
        RejectionCounts(counts)
    }
}

impl Index<RejectReason> for RejectionCounts {
    type Output = u64;

    fn index(&self, reason: RejectReason) -> &u64 {
        &self.0[reason as usize]
    }
}

impl IndexMut<RejectReason> for RejectionCounts {
    fn index_mut(&mut self, reason: RejectReason) -> &mut u64 {
        &mut self.0[reason as usize]
    }
}

/// The usage of a tenant: counts since it was added, and its present use of resources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of admitted requests.
    pub admitted: u64,
    /// The number of rejected requests and connections, by reason.
    pub rejected: RejectionCounts,
    /// The number of attempts beyond the first.
    pub retries: u64,
    /// The present number of requests in flight.
    pub in_flight: u64,
    /// The present number of connections.
    pub connections: u64,
    /// The present total size of request bodies, in bytes as announced.
    pub body_bytes: u64,
}
