//! Selection among the pools of a route by the state of their endpoints. The decision module of the selected
//! pool then admits or sheds the request.

use crate::{PoolId, Route};

/// When a fallback pool is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FallbackCondition {
    /// The preferred pool has no ready endpoint that the route may use.
    NoneReady,
    /// The preferred pool has no ready endpoint that the route may use, but has draining ones.
    AllDraining,
    /// The decision module of the previously selected pool rejected the request, for any reason.
    Rejected,
}

/// A fallback pool, and the conditions of its use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fallback {
    /// The pool.
    pub pool: PoolId,
    /// The conditions, of which one must be met.
    pub conditions: Vec<FallbackCondition>,
}

/// The numbers of endpoints of a pool that a route may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// The number of ready endpoints.
    pub ready: usize,
    /// The number of draining endpoints.
    pub draining: usize,
}

/// A selected pool of a route, and its position among the preferred pool and the fallbacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolChoice {
    /// The pool.
    pub pool: PoolId,
    /// 0 for the preferred pool, n for the n-th fallback.
    pub position: usize,
}

impl Route {
    /// Selects the first pool for a request: the preferred one, or the first fallback with a condition that
    /// is met and a ready endpoint. If there is neither, returns the preferred one, whose decision module
    /// then rejects the request.
    pub fn first_pool(&self, preferred: PoolId, count: impl Fn(PoolId) -> EndpointCounts) -> PoolChoice {
        let preferred = PoolChoice { pool: preferred, position: 0 };
        if self.fallbacks.is_empty() {
            return preferred;
        }
        let EndpointCounts { ready, draining } = count(preferred.pool);
        if ready > 0 {
            return preferred;
        }
        let is_met = |condition: &FallbackCondition| match condition {
            FallbackCondition::NoneReady => true,
            FallbackCondition::AllDraining => draining > 0,
            FallbackCondition::Rejected => false,
        };
        self.next_fallback(preferred.position, is_met, count).unwrap_or(preferred)
    }

    /// Selects the pool for a request that a pool has rejected; `None` if there is no other pool. Use it only
    /// for a request that has certainly not been executed or that may be executed again.
    pub fn after_rejection(
        &self,
        rejected_by: PoolChoice,
        count: impl Fn(PoolId) -> EndpointCounts,
    ) -> Option<PoolChoice> {
        let is_met = |condition: &FallbackCondition| *condition == FallbackCondition::Rejected;
        self.next_fallback(rejected_by.position, is_met, count)
    }

    /// Returns the pools that a request can reach, in order: the first pool, then each next one if the pool
    /// before it rejects the request. Pools without a ready endpoint that the route may use are left out.
    #[must_use]
    pub fn reachable_pools(
        &self,
        preferred: PoolId,
        count: impl Fn(PoolId) -> EndpointCounts,
    ) -> Vec<PoolChoice> {
        let mut reachable = Vec::new();
        let mut next = Some(self.first_pool(preferred, &count));
        while let Some(choice) = next {
            if count(choice.pool).ready > 0 {
                reachable.push(choice);
            }
            next = self.after_rejection(choice, &count);
        }
        reachable
    }

    /// Finds the first fallback after this position that has a condition that is met and a ready endpoint.
    fn next_fallback(
        &self,
        position: usize,
        is_met: impl Fn(&FallbackCondition) -> bool,
        count: impl Fn(PoolId) -> EndpointCounts,
    ) -> Option<PoolChoice> {
        let is_usable =
            |fallback: &Fallback| fallback.conditions.iter().any(&is_met) && count(fallback.pool).ready > 0;
        let mut later = self.fallbacks.iter().enumerate().skip(position);
        let (index, fallback) = later.find(|(_, fallback)| is_usable(fallback))?;
        Some(PoolChoice { pool: fallback.pool, position: index + 1 })
    }
}
