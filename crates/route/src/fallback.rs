//! Which of a route's pools a request goes to, given their endpoints. The decision module of that pool then admits or
//! sheds it.

use crate::{PoolId, Route};

/// When a fallback pool is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FallbackCondition {
    /// The preferred pool has no ready endpoint that the route may use.
    NoneReady,
    /// As [`FallbackCondition::NoneReady`], and it has endpoints that drain.
    AllDraining,
    /// The decisions of the pool before rejected the request, for whatever reason.
    Rejected,
}

/// Another pool, and when it is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fallback {
    /// The pool.
    pub pool: PoolId,
    /// Any one of these.
    pub conditions: Vec<FallbackCondition>,
}

/// The endpoints of a pool that a route may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Those that are ready.
    pub ready: usize,
    /// Those that drain.
    pub draining: usize,
}

/// A pool of a route, and its position: the preferred pool, then the fallbacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolChoice {
    /// The pool.
    pub pool: PoolId,
    /// 0 for the preferred pool, n for the n-th fallback.
    pub position: usize,
}

impl Route {
    /// The pool that a request goes to first: the preferred one, or the first fallback whose condition holds and that has a
    /// ready endpoint. Where there is none, the preferred one, whose decisions then reject the request.
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

    /// The pool that a request goes to after it was rejected, if any. Only for a request that was surely not executed, or
    /// that may be executed again.
    pub fn after_rejection(
        &self,
        rejected_by: PoolChoice,
        count: impl Fn(PoolId) -> EndpointCounts,
    ) -> Option<PoolChoice> {
        let is_met = |condition: &FallbackCondition| *condition == FallbackCondition::Rejected;
        self.next_fallback(rejected_by.position, is_met, count)
    }

    /// All pools that a request may reach, in order: the first, and from each the next should it reject the request. A pool
    /// without a ready endpoint that the route may use is left out.
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

    /// The first fallback after this position with a condition that is met and a ready endpoint.
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
