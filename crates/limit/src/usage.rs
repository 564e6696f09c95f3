//! What a tenant has used.

use std::ops::{Index, IndexMut};

use crate::RejectReason;

/// Rejections by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts([u64; RejectReason::ALL.len()]);

impl RejectionCounts {
    /// The number of all rejections.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl From<[u64; RejectReason::ALL.len()]> for RejectionCounts {
    /// The counts in the order of [`RejectReason::ALL`].
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

/// What a tenant has used since it was added, and what it uses now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests and connections rejected.
    pub rejected: RejectionCounts,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Requests in flight now.
    pub in_flight: u64,
    /// Connections now.
    pub connections: u64,
    /// Bytes of request bodies now, as announced.
    pub body_bytes: u64,
}
